// Prints how refused callers that return after the Retry-After are served, as means of the seeds that are given:
// print-returns.ts 1 2 3
import process from 'node:process';
import {replayLoad} from './load-replay.js';
import {shortCapacityLoads} from './short-capacity-loads.js';
import {summarizeJobs, summarizeReplay} from './summarize-replay.js';

/** Usual load goes on until the last callers have returned. */
const durationMs = 26_000;
const peakWindowMs = 100;

function getMean(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}

/** Gets the largest number of arrivals in a window, as a multiple of their mean over the windows in which any arrive. */
function getPeak(arrivalsMs: readonly number[]): number {
	const counts = new Map<number, number>();
	for (const arrivalMs of arrivalsMs) {
		const window = Math.floor(arrivalMs / peakWindowMs);
		counts.set(window, (counts.get(window) ?? 0) + 1);
	}

	return Math.max(0, ...counts.values()) / Math.max(1, getMean([...counts.values()]));
}

const seeds = process.argv.slice(2).map(Number);
const titles = [
	'load',
	'refused',
	'mean Retry-After',
	'returned in the burst',
	'peak of returns',
	'returns served in time',
	'their worth',
	'worth of first attempts in the burst',
	'of all first attempts',
	'served at first or on return',
];
console.log(`| ${titles.join(' | ')} |`);
for (const load of shortCapacityLoads) {
	const rows: number[][] = [];
	for (const seed of seeds) {
		// eslint-disable-next-line no-await-in-loop -- Replays run one at a time.
		const result = await replayLoad({
			...load, durationMs, seed, doCallersReturn: true,
		});
		const {returnedJobs, jobs} = result;
		const retriesMs = [...result.test.results].flatMap(([jobId, outcome]) => (outcome.outcome === 'refused' && !jobId.endsWith('-again') ? [outcome.retryAfterMs] : []));
		const returns = summarizeJobs(result, returnedJobs);
		const all = summarizeJobs(result, jobs);
		rows.push([
			returnedJobs.length,
			getMean(retriesMs),
			returnedJobs.filter(({arrivesAtMs}) => arrivesAtMs < load.toMs).length / Math.max(1, returnedJobs.length),
			getPeak(returnedJobs.map(({arrivesAtMs}) => arrivesAtMs)),
			returns.servedShare || 0,
			returns.earnedShare || 0,
			summarizeReplay(result, load).all!.earnedShare,
			all.earnedShare,
			((all.servedShare * jobs.length) + ((returns.servedShare || 0) * returnedJobs.length)) / jobs.length,
		]);
	}

	console.log(`| ${load.title} | ${rows[0]!.map((_, column) => getMean(rows.map(row => row[column]!))).map((value, column) => value.toFixed(column < 2 ? 0 : 3)).join(' | ')} |`);
}
