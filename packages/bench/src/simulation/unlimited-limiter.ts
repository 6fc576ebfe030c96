import type {Limiter} from '@camphortack/policy';

/** A limiter that admits every job. */
export const unlimitedLimiter: Limiter = {
	admitJob: () => ({isAdmitted: true}),
	requestAdmission(_request, onDecision) {
		onDecision({isAdmitted: true});
	},
	extendTask: () => true,
	endTask: () => undefined,
	releaseTask: () => undefined,
	closeJob: () => undefined,
};
