import {replayLoad, type ReplayOptions, type ReplayResult} from './load-replay.js';

/** The calm load of a deployment whose backend servers have three speeds and whose tasks are long by themselves at times. */
export const calmDay: Pick<ReplayOptions, 'load' | 'durationMs' | 'speeds' | 'longTaskShare'> = {
	load: 0.75, durationMs: 6000, speeds: [0.7, 0.7, 1.7], longTaskShare: 0.03,
};

/** The same load on equal backend servers, without long tasks. */
export const equalDay: Pick<ReplayOptions, 'load' | 'durationMs'> = {load: 0.75, durationMs: 6000};

const faultAtMs = 2500;
/** Backend servers of each of the three speeds. */
const faultyPositions = [4, 13, 16, 22, 25, 31, 40, 49, 58, 67];

/**
 * Counts the runs that were stopped as slow, and the backend servers that were ejected.
 * @param result - The replay.
 */
export function countStops({test}: ReplayResult): {runCount: number; stopCount: number; ejectedCount: number} {
	return {
		runCount: test.fleet.records.length,
		stopCount: test.metrics.getCount('task-slow'),
		ejectedCount: test.ejectedAtMs.size,
	};
}

/**
 * Replays a load in which some backend servers become slow, and gets the time after which each of them was ejected.
 * @param slowdownFactor - How many times slower they become.
 * @param options - The load.
 * @param faultyCount - How many become slow.
 */
export async function getFoundTimesMs(slowdownFactor: number, options: ReplayOptions, faultyCount = faultyPositions.length): Promise<number[]> {
	const positions = faultyPositions.slice(0, faultyCount);
	let startedAtMs = 0;
	const {test} = await replayLoad({
		...options,
		steps: [{
			atMs: faultAtMs,
			apply({timers, fleet}) {
				startedAtMs = timers.getNowMs();
				for (const position of positions) {
					fleet.servers[position]!.fault = {slowdownFactor};
				}
			},
		}],
	});
	return positions.map(position => (test.ejectedAtMs.get(`server-${position}`) ?? Number.POSITIVE_INFINITY) - startedAtMs);
}

/**
 * Gets the median.
 * @param values - The values in any order.
 */
export function getMedian(values: readonly number[]): number {
	return values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)]!;
}
