import type {TimerService} from '@camphortack/core';
import type {MemoryRecordLog, RecordLog} from '@camphortack/storage';

/** Injected faults of a keeper's storage, which the tests must detect. */
export type LogFault = 'acknowledges-before-sync' | 'forgets-votes';

/**
 * Injects a fault into a log.
 * @param log - The log.
 * @param timers - The timers of the process that uses the log.
 * @param fault - The fault, or undefined to return the log unchanged.
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
