import type {PlacedJob} from '../jobs/placed-job.js';
import {compareWaitingJobs, isLate} from '../queue/compare-waiting-jobs.js';
import {createSizeShares} from '../queue/create-size-shares.js';
import {createUsualDemand} from '../queue/create-usual-demand.js';
import {createWaitEstimator, type ServiceLoad} from '../queue/create-wait-estimator.js';
import {createWorkCredits} from '../queue/create-work-credits.js';
import {shareGroups, type ShareGroup} from '../queue/waiting-job.js';
import type {WaitingEntry} from './waiting-jobs.js';

/** Decides which jobs go first while capacity is short, from what queues and callers usually demand. */
export type CapacitySharing = {
	/** Records a job that has arrived. */
	addJob(job: PlacedJob, nowMs: number): void;
	/** Records a job of which the first task starts. */
	addStart(job: PlacedJob): void;
	/** Records the end of a job. */
	addEnd(job: PlacedJob, isServed: boolean, nowMs: number): void;
	/** Sorts the waiting jobs of a service. If capacity is short, this sets their standing before. */
	sortJobs(entries: WaitingEntry[], load: ServiceLoad, nowMs: number): WaitingEntry[];
};

/** Usual demand varies; without headroom a queue near its share would be beyond it about half of the time. */
const queueHeadroom = 1.1;
const queueDepthMs = 1000;
/** Work beyond a queue's share counts this much towards what is usual, so that a burst does not raise its own share. */
const unusualWorkWeight = 0.25;
const callerDepthMs = 4000;
/** A caller may send this multiple of its usual demand. */
const callerHeadroom = 1.5;
/** A caller may send this share of the queue's usual demand in addition, since few jobs tell little about what is usual. */
const minCallerShare = 0.1;
/** Free capacity between two shortages is not a sign that capacity for all is back. */
const shortMs = 1000;
const millicoresPerCore = 1000;

/** Creates the shares of a placer, which has seen no jobs yet. */
export function createCapacitySharing(): CapacitySharing {
	const queueDemand = createUsualDemand();
	const callerDemand = createUsualDemand();
	const queueCredits = createWorkCredits(queueDepthMs);
	const callerCredits = createWorkCredits(callerDepthMs);
	const sizeShares = createSizeShares();
	let shortUntilMs = Number.NEGATIVE_INFINITY;
	/** The queues that had used up their shares in the last pass. */
	const queuesBeyondShare = new Set<string>();
	const unusualJobs = new WeakSet<PlacedJob>();

	/** Whether a job exceeds the usual demand of its caller. Jobs within it use up the caller's credit. */
	function isUnusual({request, entryId, work}: PlacedJob, nowMs: number): boolean {
		const key = `${request.queueName} ${entryId}`;
		const cores = (callerDemand.getCores(key, nowMs) * callerHeadroom) + (queueDemand.getCores(request.queueName, nowMs) * minCallerShare);
		const isBeyond = callerCredits.getCredit(key, cores, nowMs) <= 0;
		if (!isBeyond) {
			callerCredits.useCredit(key, work);
		}

		return isBeyond && callerDemand.isLearned(nowMs);
	}

	function getShareGroup(job: PlacedJob, creditWork: number): ShareGroup {
		if (unusualJobs.has(job)) {
			return 'beyond-caller-share';
		}

		return creditWork > 0 || !queueDemand.isLearned(job.arrivedAtMs) ? 'within-share' : 'beyond-queue-share';
	}

	function getGuaranteedCores(queueName: string, {usableMillicores}: ServiceLoad, nowMs: number): number {
		const shareCores = queueDemand.getShare(queueName, nowMs) * usableMillicores / millicoresPerCore;
		return Math.max(shareCores, queueDemand.getCores(queueName, nowMs) * queueHeadroom);
	}

	/** Sets the standings. The entries are sorted by work, so that the smaller jobs of a queue use its credit first. */
	function setStandings(entries: readonly WaitingEntry[], load: ServiceLoad, nowMs: number): void {
		const credits = new Map<string, number>();
		const groups = new Map<ShareGroup, WaitingEntry[]>(shareGroups.map(group => [group, []]));
		for (const entry of entries) {
			const {job} = entry;
			const {queueName} = job.request;
			const credit = credits.get(queueName) ?? queueCredits.getCredit(queueName, getGuaranteedCores(queueName, load, nowMs), nowMs);
			groups.get(getShareGroup(job, credit))!.push(entry);
			credits.set(queueName, job.hasStarted ? credit : credit - job.work);
		}

		queuesBeyondShare.clear();
		for (const [queueName, credit] of credits) {
			if (credit <= 0) {
				queuesBeyondShare.add(queueName);
			}
		}

		const estimator = createWaitEstimator(load);
		for (const [shareGroup, group] of groups) {
			for (const {waitingJob} of group) {
				estimator.addJob(waitingJob);
			}

			const backlogMs = estimator.getWaitMs({waitingMillicores: 0, criticalPathMs: 0});
			for (const {job, waitingJob} of group) {
				const isUrgent = !canWait(waitingJob, backlogMs, nowMs);
				waitingJob.standing = {shareGroup, isUrgent, isUnderserved: sizeShares.isUnderserved(job.request.queueName, waitingJob.relativeWork)};
			}
		}
	}

	return {
		addJob(job, nowMs) {
			const {queueName} = job.request;
			const weight = nowMs < shortUntilMs && queuesBeyondShare.has(queueName) ? unusualWorkWeight : 1;
			queueDemand.addJob(queueName, job.work * weight, nowMs);
			sizeShares.addJob(queueName, job.relativeWork);
			if (isUnusual(job, nowMs)) {
				unusualJobs.add(job);
			}

			callerDemand.addJob(`${queueName} ${job.entryId}`, job.work, nowMs);
		},
		addStart({request: {queueName}, work}) {
			queueCredits.useCredit(queueName, work);
		},
		addEnd(job, isServed, nowMs) {
			const isInTime = isServed && nowMs - job.arrivedAtMs <= job.objectiveMs;
			sizeShares.addEnd(job.request.queueName, job.relativeWork, isInTime);
		},
		sortJobs(entries, load, nowMs) {
			const backlogMs = getBacklogMs(entries, load);
			const sorted = entries.toSorted((left, right) => compareWaitingJobs(left.waitingJob, right.waitingJob, nowMs));
			if (backlogMs > 0 && entries.some(({waitingJob}) => !waitingJob.hasStarted && !isLate(waitingJob, nowMs) && !canWait(waitingJob, backlogMs, nowMs))) {
				shortUntilMs = nowMs + shortMs;
			}

			if (nowMs >= shortUntilMs) {
				return sorted;
			}

			setStandings(sorted, load, nowMs);
			return sorted.toSorted((left, right) => compareWaitingJobs(left.waitingJob, right.waitingJob, nowMs));
		},
	};
}

function getBacklogMs(entries: readonly WaitingEntry[], load: ServiceLoad): number {
	const estimator = createWaitEstimator(load);
	for (const {waitingJob} of entries) {
		estimator.addJob(waitingJob);
	}

	return estimator.getWaitMs({waitingMillicores: 0, criticalPathMs: 0});
}

function canWait({arrivedAtMs, criticalPathMs, objectiveMs}: WaitingEntry['waitingJob'], waitMs: number, nowMs: number): boolean {
	return nowMs + waitMs + criticalPathMs <= arrivedAtMs + objectiveMs;
}
