import type {TimerService} from '@camphortack/core';
import type {MemoryRecordLog, RecordLog} from '@camphortack/storage';

/** Deliberate faults of a keeper's storage, which the checks of the schedules must notice. */
export type LogFault = 'acknowledges-before-sync' | 'forgets-votes';

/**
 * Gives a log a fault.
 * @param log - The log.
 * @param timers - The timers of the test.
 * @param fault - The fault, or undefined to leave the log as it is.
 */
export function addLogFault(log: MemoryRecordLog, timers: TimerService, fault: string | undefined): RecordLog {
	if (fault === 'acknowledges-before-sync') {
		return {
			...log,
			append(record, onSynced) {
				log.append(record);
				timers.addTimer(0, () => onSynced?.());
			},
		};
	}

	if (fault === 'forgets-votes') {
		return {
			...log,
			append(record, onSynced) {
				const isVote = typeof record === 'object' && record !== null && 'votedFor' in record;
				log.append(isVote ? {...record, votedFor: undefined} : record, onSynced);
			},
		};
	}

	return log;
}
