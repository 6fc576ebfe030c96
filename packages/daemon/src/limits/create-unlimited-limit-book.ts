import type {LimitBook} from '@camphortack/policy';

/** Creates a limit book without limits. */
export function createUnlimitedLimitBook(): LimitBook {
	return {
		admitJob: () => ({isAdmitted: true}),
		addTaskEnd() {
			// Nothing is counted.
		},
		addTaskNotRun() {
			// Nothing is counted.
		},
		closeJob() {
			// Nothing is counted.
		},
	};
}
