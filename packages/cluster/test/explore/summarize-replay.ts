import type {RunRecord} from '../../../placement/test/support/fake-server.js';
import type {PowerReturnResult} from '../support/power-return-schedule.js';

/** What a replay of one seed showed, as a worker process reports it. */
export type ReplaySummary = {
	seed: number;
	/** One line for each pair of runs of a task at the same time. */
	overlaps: string[];
	/** One line for each start by a placer after its successor had concluded. */
	lateStarts: string[];
	sharedTerms: number;
	outcomes: Record<string, number>;
	/** The error with which the replay ended, if it did not complete. */
	error?: string;
};

/**
 * Describes what a replay showed.
 * @param seed - The seed of the replay.
 * @param result - Its result.
 */
export function summarizeReplay(seed: number, {overlaps, lateStarts, sharedTerms, outcomes}: PowerReturnResult): ReplaySummary {
	return {
		seed,
		overlaps: overlaps.map(([first, second]) => `${first.taskName}: ${describeRun(first)} and ${describeRun(second)}`),
		lateStarts: lateStarts.map(({run, successorId, concludedAtMs}) => `${run.taskName}: ${describeRun(run)}, ${successorId} had concluded at ${concludedAtMs} ms`),
		sharedTerms,
		outcomes,
	};
}

function describeRun({runNumber, daemonId, serverId, startedAtMs}: RunRecord): string {
	return `run ${runNumber} by ${daemonId} on ${serverId} at ${startedAtMs} ms`;
}

/**
 * Describes what the replays of several seeds showed.
 * @param summaries - The replays.
 */
export function formatTotals(summaries: readonly ReplaySummary[]): string {
	const outcomes: Record<string, number> = {};
	for (const [outcome, count] of summaries.flatMap(summary => Object.entries(summary.outcomes))) {
		outcomes[outcome] = (outcomes[outcome] ?? 0) + count;
	}

	const jobCount = Object.values(outcomes).reduce((sum, count) => sum + count, 0);
	const shares = Object.entries(outcomes).toSorted(([left], [right]) => left.localeCompare(right)).map(([outcome, count]) => `${outcome} ${count} (${(100 * count / jobCount).toFixed(1)}%)`);
	return [
		`replays: ${summaries.length}`,
		`seeds with overlaps: ${formatSeeds(summaries.filter(({overlaps}) => overlaps.length > 0))}`,
		`seeds with late starts: ${formatSeeds(summaries.filter(({lateStarts}) => lateStarts.length > 0))}`,
		`seeds that ended with an error: ${formatSeeds(summaries.filter(({error}) => error !== undefined))}`,
		`jobs: ${jobCount}; ${shares.join(', ')}`,
		`shared terms: ${summaries.reduce((sum, {sharedTerms}) => sum + sharedTerms, 0)}`,
	].join('\n');
}

function formatSeeds(summaries: readonly ReplaySummary[]): string {
	const seeds = summaries.map(({seed}) => seed).toSorted((left, right) => left - right);
	return seeds.length === 0 ? '0' : `${seeds.length} (${seeds.join(' ')})`;
}
