import type {TimerService} from '@camphortack/core';
import type {CrashEvidence, CrashRecord, CrashState} from './crash-record.js';
import {getTaskVerdict, type TaskVerdict} from './get-task-verdict.js';
import {createRecordIndex} from './record-index.js';

/** What a daemon knows of the runs that ended with the processes of their backend servers, whoever placed them. */
export type CrashRegister = {
	/** Adds a record, or what it says of the crash if it is known. Returns false if it says nothing new, or is too old to matter. */
	addRecord(record: CrashRecord): boolean;
	/** Resolves the suspected crash of an incarnation of a backend server. Returns the changed records. */
	resolveCrash(resolution: CrashResolution): CrashRecord[];
	/** Gets all records, with their present ages. */
	getRecords(): CrashRecord[];
	/** Gets the records of a task, oldest first. */
	getRecordsOfTask(taskName: string): CrashRecord[];
	/** Whether crashes point to a task, as far as it is known. */
	isSuspected(taskName: string): boolean;
	/** Gets the suspected crashes, one record each. */
	getSuspectedCrashes(): CrashRecord[];
	/** Gets what may be done with a task. */
	getVerdict(taskName: string): TaskVerdict;
	/** Gets the tasks that crash backend servers, so that they must not be started again. */
	getGivenUpTasks(): string[];
	/** Gets the tasks that must not be started again, though it is not known whether they crash backend servers. */
	getUndecidedTasks(): string[];
	/** Gets the recent suspect runs of a queue, oldest first. */
	getSuspects(queueName: string): readonly SuspectRun[];
	/** Gets the queues with recent suspect runs. */
	getSuspectQueues(): string[];
};

/** What has become of an incarnation of a backend server that did not respond. */
export type CrashResolution = {
	serverId: string;
	bornMs: number;
	hasCrashed: boolean;
};

/** A run that probably crashed its backend server. */
export type SuspectRun = {
	taskName: string;
	serverId: string;
	bornMs: number;
	atMs: number;
};

type StoredRecord = Omit<CrashRecord, 'ageMs' | 'evidence' | 'state'> & {
	atMs: number;
	evidence: CrashEvidence;
	state: CrashState;
};

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
 * register.addRecord({
 *     taskName: 'job.0.0.0', queueName: 'estimates', serverId: 'server-1', bornMs: 1, isSuspect: true, evidence: 'strong', state: 'suspected', ageMs: 0,
 * }); // true
 * register.getVerdict('job.0.0.0'); // 'startable'
 * ```
 */
export function createCrashRegister(timers: TimerService): CrashRegister {
	/** The records, one of each run, in the order in which they were added. */
	const records = new Set<StoredRecord>();
	const recordsByTask = createRecordIndex<StoredRecord>(({taskName}) => taskName);
	const recordsByIncarnation = createRecordIndex<StoredRecord>(getIncarnationKey);
	/** The suspect runs by queue. They are read in each pass of the placer. */
	const suspects = createRecordIndex<StoredRecord>(({queueName}) => queueName);
	/** The tasks with several records: only these can be held or given up. */
	const repeatedTasks = new Set<string>();

	function toCrashRecord({atMs, ...record}: StoredRecord): CrashRecord {
		return {...record, ageMs: timers.getNowMs() - atMs};
	}

	function insertRecord(record: StoredRecord): void {
		records.add(record);
		recordsByTask.add(record);
		recordsByIncarnation.add(record);
		if (record.isSuspect) {
			suspects.add(record);
		}

		updateRepeatedTask(record.taskName);
	}

	function removeRecord(record: StoredRecord): void {
		records.delete(record);
		recordsByTask.remove(record);
		recordsByIncarnation.remove(record);
		suspects.remove(record);
		updateRepeatedTask(record.taskName);
	}

	function updateRepeatedTask(taskName: string): void {
		if (recordsByTask.get(taskName).length > 1) {
			repeatedTasks.add(taskName);
		} else {
			repeatedTasks.delete(taskName);
		}
	}

	function removeExpired(): void {
		const oldestMs = timers.getNowMs() - retentionMs;
		for (const record of records) {
			if (record.atMs > oldestMs && records.size <= maxRecords) {
				return;
			}

			removeRecord(record);
		}
	}

	/**
	 * Finds the record of the same run. A daemon of an earlier version passes records on without the number of the run, so that such
	 * a record stands for any run of the task on that incarnation.
	 */
	function findSameRun(record: CrashRecord): StoredRecord | undefined {
		const ofIncarnation = recordsByTask.get(record.taskName).filter(known => getIncarnationKey(known) === getIncarnationKey(record));
		const sameNumber = ofIncarnation.find(({runNumber}) => runNumber === record.runNumber);
		return sameNumber ?? (record.runNumber === undefined ? ofIncarnation.at(-1) : ofIncarnation.find(({runNumber}) => runNumber === undefined));
	}

	/** Replaces a record of an earlier version by the complete one. What is known of the crash stays known. */
	function completeRecord(known: StoredRecord, record: CrashRecord): void {
		const completed = toStoredRecord(record, timers.getNowMs());
		removeRecord(known);
		insertRecord({...completed, state: known.state === 'suspected' ? completed.state : known.state});
	}

	/** What is known of a crash does not become unknown again. */
	function updateState(known: StoredRecord, state: CrashState): boolean {
		if (known.state !== 'suspected' || state === 'suspected') {
			return false;
		}

		known.state = state;
		return true;
	}

	function getVerdict(taskName: string): TaskVerdict {
		return repeatedTasks.has(taskName) ? getTaskVerdict(recordsByTask.get(taskName)) : 'startable';
	}

	function getTasks(verdict: TaskVerdict): string[] {
		removeExpired();
		return [...repeatedTasks].filter(taskName => getVerdict(taskName) === verdict);
	}

	function getSuspects(queueName: string): SuspectRun[] {
		const oldestMs = timers.getNowMs() - suspicionMs;
		return suspects.get(queueName)
			.filter(({atMs, state}) => atMs > oldestMs && state !== 'refuted')
			.toSorted((left, right) => left.atMs - right.atMs);
	}

	return {
		addRecord(record) {
			const known = findSameRun(record);
			if (known !== undefined && known.runNumber === undefined && record.runNumber !== undefined) {
				completeRecord(known, record);
				return true;
			}

			if (known !== undefined) {
				return updateState(known, record.state ?? 'suspected');
			}

			if (record.ageMs >= retentionMs) {
				return false;
			}

			insertRecord(toStoredRecord(record, timers.getNowMs()));
			removeExpired();
			return true;
		},
		resolveCrash({hasCrashed, ...incarnation}) {
			const changed = recordsByIncarnation.get(getIncarnationKey(incarnation)).filter(record => updateState(record, hasCrashed ? 'confirmed' : 'refuted'));
			return changed.map(record => toCrashRecord(record));
		},
		getRecords: () => [...records].map(record => toCrashRecord(record)),
		getRecordsOfTask: taskName => recordsByTask.get(taskName).map(record => toCrashRecord(record)),
		isSuspected: taskName => recordsByTask.get(taskName).some(({evidence, state}) => evidence !== 'weak' && state !== 'refuted'),
		getSuspectedCrashes() {
			const suspected = [...records].filter(({state}) => state === 'suspected');
			return [...new Map(suspected.map(record => [getIncarnationKey(record), record])).values()].map(record => toCrashRecord(record));
		},
		getVerdict,
		getGivenUpTasks: () => getTasks('given-up'),
		getUndecidedTasks: () => getTasks('undecided'),
		getSuspects,
		getSuspectQueues: () => suspects.getKeys().filter(queueName => getSuspects(queueName).length > 0),
	};
}

function getIncarnationKey({serverId, bornMs}: Pick<CrashRecord, 'serverId' | 'bornMs'>): string {
	return `${serverId} ${bornMs}`;
}

/** Adds what daemons of earlier versions do not send. */
function toStoredRecord({ageMs, ...record}: CrashRecord, nowMs: number): StoredRecord {
	return {
		...record,
		evidence: record.evidence ?? (record.isSuspect ? 'medium' : 'weak'),
		state: record.state ?? 'suspected',
		atMs: nowMs - ageMs,
	};
}
