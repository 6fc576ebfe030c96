import type {PatternJob} from './load-pattern.js';
import {getServedShare, type ReplayResult} from './load-replay.js';

/** How some jobs were served. Shares are of jobs unless stated otherwise. */
export type JobsSummary = {
	jobCount: number;
	/** Share of worth, a late result counting a fifth. */
	earnedShare: number;
	servedShare: number;
	/** Share of the largest tenth by work that was served in time. */
	largestServedShare: number;
	/** The same for the fifth below the largest tenth. */
	secondServedShare: number;
};

export type ReplayPart = {
	/** Only jobs that arrive in this time are counted. */
	fromMs: number;
	toMs: number;
};

/**
 * Summarizes how the jobs of part of a replay were served: those of each kind, and all of them.
 * @param result - The replay.
 * @param part - The part of the replay.
 */
export function summarizeReplay(result: ReplayResult, {fromMs, toMs}: ReplayPart): Record<string, JobsSummary> {
	const jobs = result.jobs.filter(({arrivesAtMs}) => arrivesAtMs >= fromMs && arrivesAtMs < toMs);
	const names = [...new Set(jobs.map(({kind}) => kind.name))].toSorted();
	return Object.fromEntries([
		...names.map(name => [name, summarizeJobs(result, jobs.filter(({kind}) => kind.name === name))] as const),
		['all', summarizeJobs(result, jobs)],
	]);
}

/**
 * Summarizes how jobs of a replay were served.
 * @param result - The replay.
 * @param jobs - The jobs.
 */
export function summarizeJobs({test, startedAtMs}: ReplayResult, jobs: readonly PatternJob[]): JobsSummary {
	const bySize = jobs.toSorted((left, right) => getWork(right) - getWork(left));
	const tenth = Math.ceil(jobs.length / 10);
	const getShare = (part: readonly PatternJob[]): number => part.filter(job => getServedShare(test, job, startedAtMs) === 1).length / part.length;
	return {
		jobCount: jobs.length,
		earnedShare: getSum(jobs.map(job => job.worth * getServedShare(test, job, startedAtMs))) / getSum(jobs.map(({worth}) => worth)),
		servedShare: getShare(jobs),
		largestServedShare: getShare(bySize.slice(0, tenth)),
		secondServedShare: getShare(bySize.slice(tenth, 3 * tenth)),
	};
}

function getWork({request, taskDurationsMs}: PatternJob): number {
	return getSum(taskDurationsMs) * request.steps[0]!.cpuMillicores;
}

function getSum(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0);
}
