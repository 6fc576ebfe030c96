import type {TimerService} from '@camphortack/core';
import type {PlacedJob} from '../jobs/placed-job.js';
import type {EntryProcess} from '../ports/server-recorder.js';

/** The entry daemons that are being stopped, and until when each can answer its callers. */
export type LeavingEntries = {
	/** Records for how long a process still answers its callers. An older message that arrives late changes nothing. */
	setRemainingMs(entry: EntryProcess, remainingMs: number): void;
	/** Whether any process is leaving. */
	isEmpty(): boolean;
	/** Finds the latest time at which the task of a job must start; undefined unless all processes that wait for the job are leaving. */
	findLastStartMs(job: PlacedJob): number | undefined;
};

/**
 * The least time from the start of a task until its entry daemon stops answering: a shorter run is improbable, and a lost refusal is
 * sent again within it.
 */
const lastStartMarginMs = 400;
/** Longer than messages of a process arrive after its end. */
const retentionMs = 10_000;

/**
 * Creates an empty set of leaving entry daemons.
 * @param timers - The clock.
 * @param onLastStart - Called when the tasks of jobs of a process can no longer be started in time.
 *
 * @example
 * ```ts
 * const leavingEntries = createLeavingEntries(timers, schedulePass);
 * leavingEntries.setRemainingMs({entryId: 'entry-1', incarnation: 'one'}, 5500);
 * ```
 */
export function createLeavingEntries(timers: TimerService, onLastStart: () => void): LeavingEntries {
	const lastStartsAtMs = new Map<string, number>();

	function getKey({entryId, incarnation = ''}: EntryProcess): string {
		return `${entryId} ${incarnation}`;
	}

	return {
		setRemainingMs(entry, remainingMs) {
			const key = getKey(entry);
			const lastStartMs = timers.getNowMs() + remainingMs - lastStartMarginMs;
			const known = lastStartsAtMs.get(key);
			lastStartsAtMs.set(key, Math.min(lastStartMs, known ?? lastStartMs));
			if (known === undefined) {
				timers.addTimer(Math.max(0, remainingMs - lastStartMarginMs), onLastStart);
				timers.addTimer(remainingMs + retentionMs, () => {
					lastStartsAtMs.delete(key);
				});
			}
		},
		isEmpty: () => lastStartsAtMs.size === 0,
		findLastStartMs({waiting}) {
			const lastStarts = [...waiting.getEntries()].map(entry => lastStartsAtMs.get(getKey(entry)));
			return lastStarts.length > 0 && lastStarts.every(lastStartMs => lastStartMs !== undefined) ? Math.max(...lastStarts) : undefined;
		},
	};
}
