import process from 'node:process';
import {replayLoad} from './load-replay.js';
import {
	calmDay, countStops, equalDay, getFoundTimesMs, getMedian,
} from './server-speed-replays.js';

/**
 * Prints the figures of docs/design/server-speed.md for the seeds that are given as arguments:
 * `node -C camphortack-source --import tsx packages/placement/test/support/print-server-speed.ts 1 2 3 4 5 6`.
 */
const seeds = process.argv.slice(2).map(Number);
const days = [['equal', equalDay], ['three speeds', calmDay]] as const;
const allFaulty = 10;
const microsecondsPerMs = 1000;

function print(...cells: Array<string | number>): void {
	process.stdout.write(`${cells.join(' | ')}\n`);
}

print('backend servers', 'seed', 'runs', 'stopped', 'ejected', 'worth', 'processor ms');
for (const [title, options] of days) {
	for (const seed of seeds) {
		const startedAt = process.cpuUsage();
		// eslint-disable-next-line no-await-in-loop -- One replay at a time.
		const result = await replayLoad({...options, seed});
		const {user, system} = process.cpuUsage(startedAt);
		const {runCount, stopCount, ejectedCount} = countStops(result);
		print(title, seed, runCount, stopCount, ejectedCount, result.earnedShare.toFixed(3), Math.round((user + system) / microsecondsPerMs));
	}
}

print('backend servers', 'slow ones', 'times slower', 'median ms until ejected', 'share ejected');
for (const [title, options] of days) {
	for (const faultyCount of [1, allFaulty]) {
		for (const slowdownFactor of [3, 5, 8]) {
			const timesMs: number[] = [];
			for (const seed of seeds) {
				// eslint-disable-next-line no-await-in-loop -- One replay at a time.
				timesMs.push(...await getFoundTimesMs(slowdownFactor, {...options, seed}, faultyCount));
			}

			const foundCount = timesMs.filter(timeMs => Number.isFinite(timeMs)).length;
			print(title, faultyCount, slowdownFactor, getMedian(timesMs), (foundCount / timesMs.length).toFixed(2));
		}
	}
}
