/** Tasks that run now. */
export type RunningWork = {
	millicores: number;
	/** The run time to expect of each. */
	runMs: number;
};

/**
 * Gets the time in which as many cores come free as are taken now. A task that is somewhere in its run ends within the next
 * millisecond with the chance of one to its run time, so short tasks set the pace. The mean run time of what runs would
 * overstate it, since long tasks run for most of the time: jobs would be refused though room comes free in time.
 * @param running - What runs.
 *
 * @example
 * ```ts
 * getTurnoverMs([{millicores: 32_000, runMs: 900}, {millicores: 32_000, runMs: 60}]); // 112.5
 * ```
 */
export function getTurnoverMs(running: Iterable<RunningWork>): number {
	let takenMillicores = 0;
	let freedPerMs = 0;
	for (const {millicores, runMs} of running) {
		takenMillicores += millicores;
		freedPerMs += millicores / Math.max(1, runMs);
	}

	return takenMillicores === 0 ? 0 : takenMillicores / freedPerMs;
}
