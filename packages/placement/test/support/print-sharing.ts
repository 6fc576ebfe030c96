// Prints how the loads with short capacity are served, with the seeds that are given: print-sharing.ts 1 2 3
import process from 'node:process';
import {replayLoad} from './load-replay.js';
import {shortCapacityLoads} from './short-capacity-loads.js';
import {summarizeReplay, type KindSummary} from './summarize-replay.js';

const priorityRows: ReadonlyArray<Record<string, number>> = [{}, {wide: 0, long: 1, small: 2}, {wide: 2, long: 1, small: 0}];

function format({jobCount, earnedShare, servedShare, largestServedShare, secondServedShare, refusalAgeP90, meanRetryAfterMs}: KindSummary): string {
	const shares = [earnedShare, servedShare, largestServedShare, secondServedShare, refusalAgeP90].map(share => share.toFixed(3));
	return [jobCount, ...shares, Math.round(meanRetryAfterMs)].join(' | ');
}

const seeds = process.argv.slice(2).map(Number);
for (const load of shortCapacityLoads) {
	for (const priorities of process.env.PRIORITIES === undefined ? [{}] : priorityRows) {
		for (const seed of seeds) {
			// eslint-disable-next-line no-await-in-loop -- Replays run one at a time.
			const result = await replayLoad({...load, priorities, seed});
			for (const [name, summary] of Object.entries(summarizeReplay(result, load))) {
				console.log(`| ${load.title} | ${seed} | ${Object.values(priorities).join(' ')} | ${name} | ${format(summary)} |`);
			}
		}
	}
}
