import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import type {StartWindow} from '../lag/create-start-window.js';
import type {RefusalReason} from '../messages/job-outcome.js';
import {compareWaitingJobs} from '../queue/compare-waiting-jobs.js';
import {createDistanceEstimator} from '../queue/create-distance-estimator.js';
import {createWaitEstimator, type ServiceLoad} from '../queue/create-wait-estimator.js';
import {findRefusal} from '../queue/find-refusal.js';
import type {WaitingJob} from '../queue/waiting-job.js';
import type {CapacityTable} from './capacity-table.js';

/** A job with tasks to place, and the inputs to the queueing decisions. */
export type WaitingEntry = {
	job: PlacedJob;
	waitingJob: WaitingJob;
};

/** The jobs that share backend servers: those of a service, or of one of its queues in quarantine. */
export type JobGroup = {
	key: string;
	isQuarantined: boolean;
};

/** A job to refuse. */
export type Refusal = {
	job: PlacedJob;
	reason: RefusalReason;
	/** The wait that was estimated for the job. */
	waitMs: number;
	/** Whether there is capacity for the job, but the placer is too far behind to start its tasks in time. */
	isForLag: boolean;
};

export type RefusalContext = {
	/** The free capacity of each group of jobs that share backend servers. */
	tables: ReadonlyMap<string, CapacityTable>;
	/** Gets the group of a job. */
	getGroup: (job: PlacedJob) => JobGroup;
	startWindow: Pick<StartWindow, 'getWaitMs' | 'getAnnouncedWaitMs'>;
	nowMs: number;
};

/** The job of typical size whose estimated wait is reported as the load. */
const referenceJob: Pick<WaitingJob, 'waitingMillicores' | 'criticalPathMs'> = {waitingMillicores: 100_000, criticalPathMs: 200};
const referenceTaskCount = 3;
/** Share of the cores that tasks of typical size can use, given the fragmentation they cause. */
const packingEfficiency = 0.85;

/**
 * Gets the jobs that have tasks to place, in scheduling order.
 * @param jobs - The open jobs.
 * @param nowMs - The current time.
 */
export function getWaitingJobs(jobs: Iterable<PlacedJob>, nowMs: number): WaitingEntry[] {
	const waiting: WaitingEntry[] = [];
	for (const job of jobs) {
		if (job.recoveryDeadlineMs === undefined && !job.isHeld && job.tasks.some(task => task.state === 'waiting')) {
			waiting.push({job, waitingJob: getWaitingJob(job)});
		}
	}

	return waiting.toSorted((left, right) => compareWaitingJobs(left.waitingJob, right.waitingJob, nowMs));
}

function getWaitingJob(job: PlacedJob): WaitingJob {
	return {
		arrivedAtMs: job.arrivedAtMs,
		criticalPathMs: job.criticalPathMs,
		objectiveMs: job.objectiveMs,
		callerDeadlineMs: job.arrivedAtMs + job.request.callerTimeoutMs,
		waitingMillicores: getMillicores(job, 'waiting'),
		orderedWork: job.sizePlace.orderedWork,
		hasStarted: job.hasStarted,
	};
}

/**
 * Gets the CPU that the waiting tasks of some jobs need.
 * @param waiting - The waiting jobs.
 * @param isIncluded - Whether a job is one of them.
 */
export function getWaitingMillicores(waiting: readonly WaitingEntry[], isIncluded: (job: PlacedJob) => boolean): number {
	return waiting.reduce((sum, {job, waitingJob}) => sum + (isIncluded(job) ? waitingJob.waitingMillicores : 0), 0);
}

/**
 * Finds the jobs to refuse now, and estimates the wait of a further job of typical size behind the remaining ones.
 * @param jobs - The open jobs.
 * @param waiting - The waiting jobs, in scheduling order.
 * @param context - The capacity, the starts that the placer can send, and the time.
 */
export function findRefusals(jobs: Iterable<PlacedJob>, waiting: readonly WaitingEntry[], {tables, getGroup, startWindow, nowMs}: RefusalContext): {refusals: Refusal[]; loadMs: number} {
	const refusals: Refusal[] = [];
	const openJobs = [...jobs];
	const estimators = new Map([...tables].map(([key, table]) => [key, {
		estimator: createWaitEstimator(getServiceLoad(openJobs.filter(job => getGroup(job).key === key), table)),
		contention: table.contention,
		distanceEstimator: createDistanceEstimator(nowMs, table.remoteRunFactor, table.getRackLoad),
	}]));
	const sharedKeys = new Set(openJobs.map(job => getGroup(job)).filter(({isQuarantined}) => !isQuarantined).map(({key}) => key));
	let startsAhead = 0;
	for (const {job, waitingJob} of waiting) {
		const {estimator, distanceEstimator, contention} = estimators.get(getGroup(job).key)!;
		const distantJob = {...waitingJob, dataRack: findDataRack(job)};
		const waitMs = estimator.getWaitMs(waitingJob);
		const distance = distanceEstimator.getEstimate(distantJob, waitMs);
		// Without contention, nothing better can be done with free capacity than to run a job far, even if that is late.
		const waitAheadMs = contention > 0 ? Math.max(waitMs, distance.delayMs) : waitMs;
		const startCount = startsAhead + job.tasks.filter(({state}) => state === 'waiting').length;
		const startWaitMs = startWindow.getWaitMs(startCount);
		const reason = findRefusal(waitingJob, {nowMs, waitAheadMs, startWaitMs});
		if (reason === undefined) {
			distanceEstimator.addJob(distantJob, distance);
			estimator.addJob(waitingJob);
			startsAhead = startCount;
		} else {
			refusals.push({
				job, reason, waitMs: Math.max(waitAheadMs, startWaitMs), isForLag: findRefusal(waitingJob, {nowMs, waitAheadMs, startWaitMs: 0}) === undefined,
			});
		}
	}

	const shared = [...estimators].filter(([key]) => sharedKeys.has(key));
	const loadMs = Math.max(0, ...shared.map(([, {estimator}]) => estimator.getWaitMs(referenceJob)), startWindow.getAnnouncedWaitMs(startsAhead + referenceTaskCount));
	return {refusals, loadMs: Math.round(loadMs)};
}

/** Finds the rack that all steps of a job with a rack want. */
function findDataRack({request}: PlacedJob): string | undefined {
	return request.steps.find(({dataRack}) => dataRack !== undefined)?.dataRack;
}

function getServiceLoad(jobs: readonly PlacedJob[], table: CapacityTable): ServiceLoad {
	let runningMillicores = 0;
	let runningWork = 0;
	for (const job of jobs) {
		const millicores = getMillicores(job, 'running');
		runningMillicores += millicores;
		runningWork += millicores * job.criticalPathMs;
	}

	return {
		usableMillicores: table.getTotalMillicores() * packingEfficiency,
		freeMillicores: table.getFreeMillicores(),
		meanRunMs: runningMillicores === 0 ? 0 : runningWork / runningMillicores,
	};
}

function getMillicores(job: PlacedJob, state: PlacedTask['state']): number {
	let sum = 0;
	for (const task of job.tasks) {
		sum += task.state === state ? task.needs.cpuMillicores : 0;
	}

	return sum;
}
