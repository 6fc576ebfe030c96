// Prints how the loads with short capacity are served, as means of the seeds that are given: print-sharing.ts 1 2 3
import process from 'node:process';
import {replayLoad} from './load-replay.js';
import {shortCapacityLoads} from './short-capacity-loads.js';
import {summarizeReplay, type JobsSummary} from './summarize-replay.js';

function format(summaries: readonly JobsSummary[]): string {
	const getMean = (getValue: (summary: JobsSummary) => number) => (summaries.reduce((sum, summary) => sum + getValue(summary), 0) / summaries.length).toFixed(3);
	return [
		getMean(({earnedShare}) => earnedShare),
		getMean(({servedShare}) => servedShare),
		getMean(({largestServedShare, servedShare}) => largestServedShare / servedShare),
		getMean(({secondServedShare, servedShare}) => secondServedShare / servedShare),
	].join(' | ');
}

const seeds = process.argv.slice(2).map(Number);
console.log('| load | kind | earned worth | served in time | largest tenth / kind | fifth below it / kind |');
for (const load of shortCapacityLoads) {
	const summaries: Array<Record<string, JobsSummary>> = [];
	for (const seed of seeds) {
		// eslint-disable-next-line no-await-in-loop -- Replays run one at a time.
		summaries.push(summarizeReplay(await replayLoad({...load, seed}), load));
	}

	for (const name of Object.keys(summaries[0]!)) {
		console.log(`| ${load.title} | ${name} | ${format(summaries.map(summary => summary[name]!))} |`);
	}
}
