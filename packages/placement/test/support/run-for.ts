import {setImmediate} from 'node:timers/promises';
import type {VirtualTimers} from '@camphortack/testkit';

/**
 * Moves virtual time on, a step at a time, so that what waits for promises runs in between.
 * @param timers - The clock.
 * @param durationMs - How far.
 * @param stepMs - The length of a step.
 */
export async function runFor(timers: VirtualTimers, durationMs: number, stepMs = 0.5): Promise<void> {
	const endMs = timers.getNowMs() + durationMs;
	while (timers.getNowMs() < endMs) {
		timers.advance(Math.min(stepMs, endMs - timers.getNowMs()));
		// eslint-disable-next-line no-await-in-loop -- Each step ends before the next one begins.
		await setImmediate();
	}
}
