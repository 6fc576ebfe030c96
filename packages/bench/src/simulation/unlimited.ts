import type {Limiter} from '@camphortack/policy';

/** Limits that admit everything. */
export const unlimited: Limiter = {
	admitJob: () => ({isAdmitted: true}),
	requestAdmission(_request, onDecision) {
		onDecision({isAdmitted: true});
	},
	extendTask: () => true,
	endTask: () => undefined,
	releaseTask: () => undefined,
	closeJob: () => undefined,
};
