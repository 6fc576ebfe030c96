import {setImmediate} from 'node:timers/promises';
import type {VirtualTimers} from '@camphortack/testkit';

/**
 * Advances virtual time in steps and lets pending promise callbacks run after each step.
 * @param timers - The clock.
 * @param durationMs - The total time to advance.
 * @param stepMs - The length of a step.
 */
export async function runFor(timers: VirtualTimers, durationMs: number, stepMs = 0.5): Promise<void> {
	const endMs = timers.getNowMs() + durationMs;
	while (timers.getNowMs() < endMs) {
		timers.advance(Math.min(stepMs, endMs - timers.getNowMs()));
		// eslint-disable-next-line no-await-in-loop -- Each step completes before the next one starts.
		await setImmediate();
	}
}
