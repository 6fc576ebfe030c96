import {fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import process from 'node:process';
import {parseArgs} from 'node:util';
import type {PowerReturnOptions} from '../support/power-return-schedule.js';
import {formatTotals, type ReplaySummary} from './summarize-replay.js';

const zoneNames = [...'abcdefgh'];

const {values} = parseArgs({
	options: {
		from: {type: 'string', default: '1'},
		to: {type: 'string', default: '100'},
		'late-links': {type: 'string', default: '0.9'},
		'broken-links': {type: 'string', default: '0.9'},
		zones: {type: 'string', default: '3'},
		'second-keepers': {type: 'boolean', default: false},
		entries: {type: 'string', default: '2'},
		servers: {type: 'string', default: '105'},
		'lost-disks': {type: 'string', default: '0'},
		resubmissions: {type: 'boolean', default: false},
		'dark-ms': {type: 'string', default: '1300'},
		workers: {type: 'string', default: '4'},
	},
});

const options: Omit<PowerReturnOptions, 'seed'> = {
	serverCount: Number(values.servers),
	hasSecondKeepers: values['second-keepers'],
	availabilityZones: zoneNames.slice(0, Number(values.zones)),
	entriesPerZone: Number(values.entries),
	lateLinkShare: Number(values['late-links']),
	brokenLinkShare: Number(values['broken-links']),
	lostDiskCount: Number(values['lost-disks']),
	hasResubmissions: values.resubmissions,
	darkMs: Number(values['dark-ms']),
};
const lastSeed = Number(values.to);
const summaries: ReplaySummary[] = [];
let nextSeed = Number(values.from);

function printFindings({seed, overlaps, lateStarts, error}: ReplaySummary): void {
	const lines = [...overlaps.map(line => `overlap, ${line}`), ...lateStarts.map(line => `late start, ${line}`), ...(error === undefined ? [] : [error])];
	for (const line of lines) {
		process.stdout.write(`seed ${seed}: ${line}\n`);
	}
}

/** Lets a worker process replay one seed after the other until none is left. */
async function runWorker(): Promise<void> {
	const worker = fork(fileURLToPath(new URL('replay-worker.ts', import.meta.url)));
	const replayNext = () => {
		if (nextSeed > lastSeed) {
			worker.disconnect();
			return;
		}

		worker.send({...options, seed: nextSeed});
		nextSeed++;
	};

	worker.on('message', (summary: ReplaySummary) => {
		summaries.push(summary);
		printFindings(summary);
		replayNext();
	});
	replayNext();
	return new Promise((resolve, reject) => {
		worker.on('error', reject);
		worker.on('exit', code => {
			if (code === 0) {
				resolve();
			} else {
				reject(new Error(`a worker process ended with code ${code}`));
			}
		});
	});
}

// An interrupted command finishes the replays in progress and prints the totals so far.
process.on('SIGTERM', () => {
	nextSeed = lastSeed + 1;
});

await Promise.all(Array.from({length: Number(values.workers)}, async () => runWorker()));
process.stdout.write(`${formatTotals(summaries)}\n`);
if (summaries.some(({overlaps, lateStarts, error}) => overlaps.length > 0 || lateStarts.length > 0 || error !== undefined)) {
	process.exitCode = 1;
}
