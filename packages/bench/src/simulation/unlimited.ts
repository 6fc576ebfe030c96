import type {LimitBook} from '@camphortack/policy';

/** Limits that admit everything. */
export const unlimited: LimitBook = {
	admitJob: () => ({isAdmitted: true}),
	requestAdmission(_request, onDecision) {
		onDecision({isAdmitted: true});
	},
	extendTask: () => true,
	addTaskEnd: () => undefined,
	addTaskNotRun: () => undefined,
	closeJob: () => undefined,
};
