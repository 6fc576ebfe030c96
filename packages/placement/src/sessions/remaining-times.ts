import type {TimerService} from '@camphortack/core';
import type {BackendServerDescription} from '../servers/backend-server-description.js';

/** The remaining times of a description, as times on the placer's clock. */
export type RemainingTimes = {
	/** Takes the times of a description that has just been received. */
	setDescription(description: BackendServerDescription): void;
	/** Gets the time until which the backend server runs tasks slowly. */
	getColdUntilMs(): number;
	/** Finds the earliest time at which the backend server is taken away; undefined if there is no notice of that. */
	findGoneAtMs(): number | undefined;
};

/**
 * Creates the remaining times of a backend server.
 * @param timers - The clock.
 * @param first - Its first description.
 */
export function createRemainingTimes(timers: TimerService, first: BackendServerDescription): RemainingTimes {
	let coldUntilMs = Number.NEGATIVE_INFINITY;
	let goneAtMs: number | undefined;

	function setDescription({coldMs, noticeMs}: BackendServerDescription): void {
		const nowMs = timers.getNowMs();
		coldUntilMs = coldMs === undefined ? Number.NEGATIVE_INFINITY : nowMs + coldMs;
		goneAtMs = noticeMs === undefined ? undefined : nowMs + noticeMs;
	}

	setDescription(first);
	return {setDescription, getColdUntilMs: () => coldUntilMs, findGoneAtMs: () => goneAtMs};
}
