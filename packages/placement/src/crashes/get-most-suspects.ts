import {countSeparateSuspects} from './count-separate-suspects.js';
import type {SuspectRun} from './crash-register.js';

/**
 * Gets the highest number of separate crashes of a queue within any time of a given length.
 * @param suspects - The suspect runs of the queue, oldest first.
 * @param durationMs - The length of the time.
 *
 * @example
 * ```ts
 * getMostSuspects([{...suspect, atMs: 0}, {...other, atMs: 2000}, {...third, atMs: 4000}], 3000); // 2
 * ```
 */
export function getMostSuspects(suspects: readonly SuspectRun[], durationMs: number): number {
	let most = 0;
	for (const [position, {atMs}] of suspects.entries()) {
		const within = suspects.slice(position).filter(suspect => suspect.atMs - atMs < durationMs);
		most = Math.max(most, countSeparateSuspects(within));
	}

	return most;
}
