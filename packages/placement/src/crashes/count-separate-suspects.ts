import type {SuspectRun} from './crash-register.js';

/** Crashes within this time of each other may have one common cause, such as a rack without power. */
const commonCauseMs = 15;

/**
 * Counts the crashes of a queue that have separate causes: of different tasks, and not at the same moment.
 * @param suspects - The suspect runs of the queue, oldest first.
 *
 * @example
 * ```ts
 * countSeparateSuspects([{...suspect, atMs: 100}, {...other, atMs: 104}, {...third, atMs: 300}]); // 2
 * ```
 */
export function countSeparateSuspects(suspects: readonly SuspectRun[]): number {
	const taskNames = new Set<string>();
	let lastAtMs = Number.NEGATIVE_INFINITY;
	for (const {taskName, atMs} of suspects) {
		if (atMs - lastAtMs >= commonCauseMs) {
			taskNames.add(taskName);
		}

		lastAtMs = atMs;
	}

	return taskNames.size;
}
