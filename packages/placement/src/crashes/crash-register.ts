import type {TimerService} from '@camphortack/core';
import type {CrashRecord} from './crash-record.js';

/** What a daemon knows of the runs that ended with the processes of their backend servers, whoever placed them. */
export type CrashRegister = {
	/** Adds a record. Returns false if it is known, or too old to matter. */
	addRecord(record: CrashRecord): boolean;
	/** Gets all records, with their present ages. */
	getRecords(): CrashRecord[];
	/** Gets the tasks under which so many backend servers have crashed that they must not be started again. */
	getGivenUpTasks(): ReadonlySet<string>;
	/** Gets the records of a task, oldest first. */
	getRecordsOfTask(taskName: string): CrashRecord[];
	/** Gets the recent suspect runs of a queue, oldest first. */
	getSuspects(queueName: string): readonly SuspectRun[];
	/** Gets the queues with recent suspect runs. */
	getSuspectQueues(): string[];
};

/** A run that probably crashed its backend server. */
export type SuspectRun = {
	taskName: string;
	serverId: string;
	bornMs: number;
	atMs: number;
};

type StoredRecord = Omit<CrashRecord, 'ageMs'> & {
	atMs: number;
};

/** A task that is suspected of this many crashes is given up. */
const maxSuspectCrashes = 2;
/** A task under which this many backend servers have crashed is given up, whatever may have caused the crashes. */
const maxCrashes = 3;
/** Callers have ceased to submit a job again after this time. */
const retentionMs = 120_000;
const maxRecords = 4096;
/** How long a crash counts against the queue of the suspect run. */
const suspicionMs = 30_000;

/**
 * Creates an empty register. It belongs to a daemon and outlives the terms of its placers; daemons exchange the records, so
 * that neither a new placer nor a second submission of a job makes a task start from zero.
 * @param timers - The clock.
 *
 * @example
 * ```ts
 * const register = createCrashRegister(timers);
 * register.addRecord({taskName: 'job.0.0.0', queueName: 'estimates', serverId: 'server-1', bornMs: 1, isSuspect: true, ageMs: 0}); // true
 * register.getGivenUpTasks().has('job.0.0.0'); // false
 * ```
 */
export function createCrashRegister(timers: TimerService): CrashRegister {
	/** The records by run, oldest first. */
	const records = new Map<string, StoredRecord>();
	const recordsByTask = new Map<string, StoredRecord[]>();
	const givenUpTasks = new Set<string>();
	/** The recent suspect runs by queue, oldest first. They are read in each pass of the placer. */
	const suspects = new Map<string, SuspectRun[]>();

	function toCrashRecord({atMs, ...record}: StoredRecord): CrashRecord {
		return {...record, ageMs: timers.getNowMs() - atMs};
	}

	function removeRecord(key: string, record: StoredRecord): void {
		records.delete(key);
		const remaining = recordsByTask.get(record.taskName)!.filter(other => other !== record);
		setRecordsOfTask(record.taskName, remaining);
	}

	function setRecordsOfTask(taskName: string, ofTask: StoredRecord[]): void {
		if (ofTask.length === 0) {
			recordsByTask.delete(taskName);
		} else {
			recordsByTask.set(taskName, ofTask);
		}

		if (ofTask.length >= maxCrashes || ofTask.filter(({isSuspect}) => isSuspect).length >= maxSuspectCrashes) {
			givenUpTasks.add(taskName);
		} else {
			givenUpTasks.delete(taskName);
		}
	}

	function removeExpired(): void {
		const oldestMs = timers.getNowMs() - retentionMs;
		for (const [key, record] of records) {
			if (record.atMs > oldestMs && records.size <= maxRecords) {
				return;
			}

			removeRecord(key, record);
		}
	}

	function removeExpiredSuspects(): void {
		for (const queueName of suspects.keys()) {
			if (getSuspects(queueName).length === 0) {
				suspects.delete(queueName);
			}
		}
	}

	function addSuspect({queueName, taskName, serverId, bornMs, atMs}: StoredRecord): void {
		const ofQueue = [...getSuspects(queueName), {
			taskName, serverId, bornMs, atMs,
		}];
		suspects.set(queueName, ofQueue.toSorted((left, right) => left.atMs - right.atMs));
		removeExpiredSuspects();
	}

	function getSuspects(queueName: string): SuspectRun[] {
		const oldestMs = timers.getNowMs() - suspicionMs;
		return (suspects.get(queueName) ?? []).filter(({atMs}) => atMs > oldestMs);
	}

	return {
		addRecord({ageMs, ...record}) {
			const key = `${record.taskName} ${record.serverId} ${record.bornMs}`;
			if (records.has(key) || ageMs >= retentionMs) {
				return false;
			}

			const stored = {...record, atMs: timers.getNowMs() - ageMs};
			records.set(key, stored);
			setRecordsOfTask(record.taskName, [...(recordsByTask.get(record.taskName) ?? []), stored]);
			if (stored.isSuspect) {
				addSuspect(stored);
			}

			removeExpired();
			return true;
		},
		getRecords: () => [...records.values()].map(record => toCrashRecord(record)),
		getRecordsOfTask: taskName => (recordsByTask.get(taskName) ?? []).map(record => toCrashRecord(record)),
		getGivenUpTasks: () => givenUpTasks,
		getSuspects,
		getSuspectQueues: () => [...suspects.keys()].filter(queueName => getSuspects(queueName).length > 0),
	};
}
