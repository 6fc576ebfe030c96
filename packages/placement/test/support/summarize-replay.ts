import type {PatternJob} from './load-pattern.js';
import {getServedShare, type ReplayResult} from './load-replay.js';

/** How the jobs of one kind were served. Shares are of jobs unless stated otherwise. */
export type KindSummary = {
	jobCount: number;
	/** Share of worth, a late result counting a fifth. */
	earnedShare: number;
	servedShare: number;
	/** Share of the largest tenth by work that was served in time. */
	largestServedShare: number;
	/** The same for the fifth below the largest tenth. */
	secondServedShare: number;
	/** The slowest tenth of refusals took longer, as a multiple of the objective. */
	refusalAgeP90: number;
	meanRetryAfterMs: number;
};

export type SummaryOptions = {
	/** Only jobs that arrive in this time are counted. */
	fromMs: number;
	toMs: number;
	/** Only jobs of this entry daemon are counted. */
	entryId?: string;
};

/**
 * Summarizes how each kind of job was served during part of a replay.
 * @param result - The replay.
 * @param options - The part of the replay.
 */
export function summarizeReplay(result: ReplayResult, {fromMs, toMs, entryId}: SummaryOptions): Record<string, KindSummary> {
	const jobs = result.jobs.filter(job => job.arrivesAtMs >= fromMs && job.arrivesAtMs < toMs && (entryId === undefined || job.entryId === entryId));
	const names = [...new Set(jobs.map(({kind}) => kind.name))].toSorted();
	return Object.fromEntries(names.map(name => [name, summarizeKind(result, jobs.filter(({kind}) => kind.name === name))]));
}

function summarizeKind({test, startedAtMs}: ReplayResult, jobs: readonly PatternJob[]): KindSummary {
	const bySize = jobs.toSorted((left, right) => getWork(right) - getWork(left));
	const tenth = Math.ceil(jobs.length / 10);
	const getShare = (part: readonly PatternJob[]): number => part.filter(job => getServedShare(test, job, startedAtMs) === 1).length / part.length;
	const refusals = jobs.flatMap(job => {
		const result = test.results.get(job.request.jobId);
		const ageMs = (test.endedAtMs.get(job.request.jobId) ?? 0) - startedAtMs - job.arrivesAtMs;
		return result?.outcome === 'refused' ? [{retryAfterMs: result.retryAfterMs, ageShare: ageMs / job.objectiveMs}] : [];
	});
	const ages = refusals.map(({ageShare}) => ageShare).toSorted((left, right) => left - right);
	return {
		jobCount: jobs.length,
		earnedShare: getSum(jobs.map(job => job.worth * getServedShare(test, job, startedAtMs))) / getSum(jobs.map(({worth}) => worth)),
		servedShare: getShare(jobs),
		largestServedShare: getShare(bySize.slice(0, tenth)),
		secondServedShare: getShare(bySize.slice(tenth, 3 * tenth)),
		refusalAgeP90: ages[Math.floor(ages.length * 0.9)] ?? 0,
		meanRetryAfterMs: getSum(refusals.map(({retryAfterMs}) => retryAfterMs)) / Math.max(1, refusals.length),
	};
}

function getWork({request, taskDurationsMs}: PatternJob): number {
	return getSum(taskDurationsMs) * request.steps[0]!.cpuMillicores;
}

function getSum(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0);
}
