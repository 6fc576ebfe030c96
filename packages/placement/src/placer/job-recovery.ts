import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import {
	isDone, isUnstarted, runNumbersPerGeneration, type PlacedJob, type PlacedTask,
} from '../jobs/placed-job.js';
import type {PlacementMessageOf} from '../messages/placement-messages.js';
import type {EarlierServers} from '../ports/earlier-servers.js';
import type {ServerIncarnation} from '../servers/backend-server-description.js';
import type {JobTable} from './job-table.js';
import type {NewJobHold} from './new-job-hold.js';
import type {ServerPool} from './server-pool.js';

/** Reattaches the jobs that an earlier placer started to their runs. */
export type JobRecovery = {
	/** Adopts the runs that are found, and ends the search for those whose runs are all known or whose deadline has passed. */
	recoverJobs(): void;
	/**
	 * Begins the search for the runs of a job that an earlier placer may have started. One that has reached this placer as new waits
	 * while it may still be found that an earlier placer is running it.
	 */
	addJob(job: PlacedJob): void;
	/**
	 * Ends the search for the runs of an open job if its entry daemon has learned that no placer started them, and begins it for a job
	 * that waits as new and is handed over by another entry daemon. A search takes all handovers of a job into account.
	 */
	handleResubmission(job: PlacedJob, entryId: string, message: PlacementMessageOf<'placement.submit'>): void;
	/** Records that a task is done whose run this placer did not start. */
	addDoneTask(taskName: string): void;
	/** Adopts the run of an earlier placer for a waiting task, or its result. Returns false if there is none. */
	adoptEarlierRun(task: PlacedTask): boolean;
};

export type JobRecoveryOptions = {
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	jobTable: JobTable;
	pool: ServerPool;
	earlierServers: EarlierServers;
	newJobHold: NewJobHold;
	/** Called with each job for which it cannot be determined which tasks run. */
	onUnknown: (job: PlacedJob) => void;
	/** Called with each job whose tasks are all done. */
	onCompleted: (job: PlacedJob) => void;
};

/**
 * How long to wait for backend servers that do not respond and for records. A placer on a small VM takes longer to send its
 * first claims; while these are under way, the search goes on for as long as the job could still be run in time.
 */
export const recoveryMs = 400;
/** How long a done task is remembered: until its caller has submitted the job again, as it does after a lost answer. */
const doneTaskRetentionMs = 5000;

/**
 * Creates the recovery.
 * @param options - The jobs and the backend servers.
 */
export function createJobRecovery({timers, events, metrics, jobTable, pool, earlierServers, newJobHold, onUnknown, onCompleted}: JobRecoveryOptions): JobRecovery {
	/** The times at which the tasks were found to be done, oldest first. */
	const doneAtMs = new Map<string, number>();
	/** Whether the runs on all backend servers of a record are known, in this pass. */
	const knownRecords = new Map<readonly ServerIncarnation[], boolean>();

	/** Many jobs share a record, and take a look at each of its backend servers. */
	function recoverJobs(): void {
		knownRecords.clear();
		for (const job of jobTable.getJobs()) {
			if (job.isHeld) {
				releaseIfPossible(job);
			} else if (job.recoveryDeadlineMs !== undefined) {
				recoverJob(job, job.recoveryDeadlineMs);
			} else if (job.handovers.length > 0) {
				settleHandover(job);
			}
		}
	}

	/** Adopts the runs that are found meanwhile, and lets the job go when all are found or no others can be in progress. */
	function releaseIfPossible(job: PlacedJob): void {
		const missing = job.tasks.filter(task => task.state === 'waiting' && !adoptEarlierRun(task));
		job.hasStarted ||= missing.length < job.tasks.length;
		if (missing.length > 0 && newJobHold.isNeeded(job)) {
			return;
		}

		job.isHeld = false;
		if (isDone(job)) {
			onCompleted(job);
		}
	}

	/** Takes a waiting job over from the entry daemon that submitted it to earlier placers. */
	function beginSearch(job: PlacedJob, {submissionId, generation}: PlacementMessageOf<'placement.submit'>): void {
		job.isHeld = false;
		job.hasStarted = true;
		job.submissionId = submissionId;
		job.recoveryDeadlineMs = timers.getNowMs() + recoveryMs;
		pool.hurryClaims();
		for (const task of job.tasks) {
			task.runNumber = Math.max(task.runNumber, generation * runNumbersPerGeneration);
		}
	}

	function addHandover(job: PlacedJob, entryId: string, {handover}: PlacementMessageOf<'placement.submit'>): void {
		if (handover !== undefined) {
			job.handovers = [...job.handovers.filter(other => other.entryId !== entryId), {...handover, entryId}];
		}
	}

	/** Ends the search for the runs of a job that no earlier placer has started, unless another entry daemon has handed it over too. */
	function removeHandover(job: PlacedJob, entryId: string, {submissionId}: PlacementMessageOf<'placement.submit'>): void {
		if (job.isHeld || submissionId !== job.submissionId || !isUnstarted(job)) {
			return;
		}

		job.handovers = job.handovers.filter(other => other.entryId !== entryId);
		if (job.handovers.length === 0) {
			job.recoveryDeadlineMs = undefined;
			job.hasStarted = false;
		}
	}

	/** Whether every run of earlier placers on the backend servers of a record is known. */
	function isRecordKnown(servers: readonly ServerIncarnation[]): boolean {
		const isKnown = knownRecords.get(servers) ?? servers.every(server => pool.hasTakenOver(server) || (earlierServers.hasLeft(server) && pool.isSilent(server.id)));
		knownRecords.set(servers, isKnown);
		return isKnown;
	}

	function isSearchOver(job: PlacedJob, deadlineMs: number): boolean {
		const nowMs = timers.getNowMs();
		const lastStartMs = job.arrivedAtMs + job.request.callerTimeoutMs - job.criticalPathMs;
		return nowMs >= deadlineMs && (nowMs >= lastStartMs || !pool.hasFirstClaimsPending());
	}

	function recoverJob(job: PlacedJob, deadlineMs: number): void {
		const missingCount = job.tasks.filter(task => task.state === 'waiting' && !adoptResult(task) && !adoptRun(task)).length;
		const hasTakenOver = areRunsKnown(job);
		const isKnown = missingCount === 0 || hasTakenOver;
		if (isKnown || isSearchOver(job, deadlineMs)) {
			endRecovery(job, missingCount, isKnown);
			job.handovers = hasTakenOver ? [] : job.handovers;
		} else {
			requestMissing(job);
		}
	}

	/**
	 * An earlier placer may start a task again whose run this one has adopted, for as long as it has a recorded backend server that
	 * this one has not claimed. Runs of a task that waits again are searched for until then.
	 */
	function settleHandover(job: PlacedJob): void {
		if (areRunsKnown(job)) {
			job.handovers = [];
			return;
		}

		requestMissing(job);
		if (job.tasks.some(({state}) => state === 'waiting')) {
			job.recoveryDeadlineMs = timers.getNowMs() + recoveryMs;
			pool.hurryClaims();
		}
	}

	function endRecovery(job: PlacedJob, missingCount: number, isKnown: boolean): void {
		job.recoveryDeadlineMs = undefined;
		events.write('job-recovered', {
			job: job.request.jobId,
			tasks: job.tasks.length,
			missing: missingCount,
			known: isKnown,
			...pool.getKnowledge(),
			isCovered: findRecords(job) !== undefined,
			recordedServers: findRecords(job)?.flat().length,
			earlierPlacers: [...new Set(job.handovers.flatMap(({placers}) => placers.map(({placerId}) => placerId)))].join(' '),
		});
		if (!isKnown) {
			onUnknown(job);
		} else if (isDone(job)) {
			onCompleted(job);
		}
	}

	/**
	 * Whether a task of the job of which no run is found certainly does not run. An entry daemon that has not handed over its jobs may
	 * have recorded further backend servers for this one.
	 */
	function areRunsKnown(job: PlacedJob): boolean {
		const records = findRecords(job);
		return records !== undefined && records.every(servers => isRecordKnown(servers)) && !newJobHold.isNeeded(job);
	}

	/** Finds what each entry daemon of a job has recorded; undefined if some of it is not known, or no entry daemon is. */
	function findRecords({handovers}: PlacedJob): Array<readonly ServerIncarnation[]> | undefined {
		const records = handovers.map(handover => earlierServers.findServers(handover)).filter(servers => servers !== undefined);
		return records.length === handovers.length && records.length > 0 ? records : undefined;
	}

	function requestMissing({handovers}: PlacedJob): void {
		for (const handover of handovers) {
			earlierServers.requestMissing(handover);
		}
	}

	function adoptRun(task: PlacedTask): boolean {
		const found = pool.findRun(task.name);
		if (found === undefined) {
			return false;
		}

		found.server.session.adoptRun(found.run, task.needs);
		task.state = 'running';
		task.session = found.server.session;
		task.runNumber = found.run.runNumber;
		task.startedAtMs = found.run.startedAtMs;
		task.isAdopted = true;
		return true;
	}

	/** A done task is never started again, whoever started it: no other run of it can be in progress. */
	function adoptResult(task: PlacedTask): boolean {
		if (!doneAtMs.has(task.name)) {
			return false;
		}

		task.state = 'done';
		return true;
	}

	function adoptEarlierRun(task: PlacedTask): boolean {
		return adoptResult(task) || (pool.findRun(task.name)?.run.needs === undefined && adoptRun(task));
	}

	function removeExpiredResults(): void {
		const oldestMs = timers.getNowMs() - doneTaskRetentionMs;
		for (const [taskName, atMs] of doneAtMs) {
			if (atMs > oldestMs) {
				return;
			}

			doneAtMs.delete(taskName);
		}
	}

	return {
		recoverJobs,
		addJob(job) {
			if (job.recoveryDeadlineMs !== undefined) {
				// The interval between claims of a silent backend server is longer than the search.
				pool.hurryClaims();
			} else if (newJobHold.isNeeded(job)) {
				job.isHeld = true;
				metrics.increment('new-job-held');
			}
		},
		handleResubmission(job, entryId, message) {
			if (message.mayHaveStarted) {
				addHandover(job, entryId, message);
				if (job.isHeld) {
					beginSearch(job, message);
				}
			} else {
				removeHandover(job, entryId, message);
			}
		},
		addDoneTask(taskName) {
			removeExpiredResults();
			doneAtMs.set(taskName, timers.getNowMs());
		},
		adoptEarlierRun,
	};
}
