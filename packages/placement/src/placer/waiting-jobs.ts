import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import type {RefusalReason} from '../messages/placement-messages.js';
import {compareWaitingJobs} from '../queue/compare-waiting-jobs.js';
import {createWaitBook, type ServiceLoad} from '../queue/create-wait-book.js';
import {findRefusal} from '../queue/find-refusal.js';
import type {WaitingJob} from '../queue/waiting-job.js';
import type {RoomTable} from './room-table.js';

/** A job with tasks to place, and what the decisions look at. */
export type Waiting = {
	job: PlacedJob;
	outlook: WaitingJob;
};

/** A job that is to be refused. */
export type Refusal = {
	job: PlacedJob;
	reason: RefusalReason;
	/** How long it would have waited. */
	waitMs: number;
};

/** What the load is told by. */
const usualJob: Pick<WaitingJob, 'waitingMillicores' | 'longestMs'> = {waitingMillicores: 100_000, longestMs: 200};
/** Share of the cores that tasks of usual size can fill, given the holes they leave. */
const fillableShare = 0.85;

/**
 * Gets the jobs that have tasks to place, in the order in which they get room.
 * @param jobs - The jobs in hand.
 * @param nowMs - The time.
 */
export function getWaitingJobs(jobs: Iterable<PlacedJob>, nowMs: number): Waiting[] {
	const waiting: Waiting[] = [];
	for (const job of jobs) {
		if (job.recoverUntilMs === undefined && job.tasks.some(task => task.state === 'waiting')) {
			waiting.push({job, outlook: getOutlook(job)});
		}
	}

	return waiting.toSorted((left, right) => compareWaitingJobs(left.outlook, right.outlook, nowMs));
}

function getOutlook(job: PlacedJob): WaitingJob {
	return {
		arrivedAtMs: job.arrivedAtMs,
		longestMs: job.longestMs,
		objectiveMs: job.objectiveMs,
		callerLeavesAtMs: job.arrivedAtMs + job.request.callerTimeoutMs,
		waitingMillicores: getMillicores(job, 'waiting'),
		relativeWork: job.relativeWork,
		hasStarted: job.hasStarted,
	};
}

/**
 * Finds the jobs that are to be refused now, and how long a further job of usual size would wait behind the others.
 * @param jobs - The jobs in hand.
 * @param waiting - Those that wait, in their order.
 * @param tables - The free room of each service.
 * @param nowMs - The time.
 */
export function findRefusals(jobs: Iterable<PlacedJob>, waiting: readonly Waiting[], tables: ReadonlyMap<string, RoomTable>, nowMs: number): {refusals: Refusal[]; loadMs: number} {
	const refusals: Refusal[] = [];
	const inHand = [...jobs];
	const queues = new Map([...tables].map(([service, table]) => [service, createWaitBook(getServiceLoad(inHand, service, table))]));
	for (const {job, outlook} of waiting) {
		const queue = queues.get(job.request.service)!;
		const waitAheadMs = queue.getWaitMs(outlook);
		const reason = findRefusal(outlook, {nowMs, waitAheadMs});
		if (reason === undefined) {
			queue.addJob(outlook);
		} else {
			refusals.push({job, reason, waitMs: waitAheadMs});
		}
	}

	const loadMs = Math.max(0, ...[...queues.values()].map(queue => queue.getWaitMs(usualJob)));
	return {refusals, loadMs: Math.round(loadMs)};
}

function getServiceLoad(jobs: readonly PlacedJob[], service: string, table: RoomTable): ServiceLoad {
	let runningMillicores = 0;
	let runningWork = 0;
	for (const job of jobs) {
		if (job.request.service === service) {
			const millicores = getMillicores(job, 'running');
			runningMillicores += millicores;
			runningWork += millicores * job.longestMs;
		}
	}

	return {
		usableMillicores: table.getUsableMillicores() * fillableShare,
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
