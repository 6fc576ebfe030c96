import type {TimerService} from '@camphortack/core';

/** How long to wait for backend servers, from how all of them have answered lately. */
export type CallWatch = {
	/** Notes how long the answer to a call took that needed no waiting there. */
	addAnswer(durationMs: number): void;
	/** Notes that an order to a backend server in use went unanswered. */
	addUnansweredOrder(): void;
	/** Notes that a renewal went unanswered, which is known only after its wait. */
	addUnansweredRenewal(): void;
	/** Gets how long an order may stay unanswered before its fate is found out. */
	getOrderTimeoutMs(): number;
	/** Gets how long a renewal may wait for an end. */
	getRenewWaitMs(): number;
};

const shortestOrderTimeoutMs = 40;
const longestOrderTimeoutMs = 150;
/** Weights of the newest answer, and the distance from the mean that a usual answer stays in. */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
const mostDeviations = 4;
const calmRenewWaitMs = 300;
const alertRenewWaitMs = 40;
/** Calls slower than this are slow for want of processor time here, which more renewals would take away. */
const longestAlertTimeoutMs = 100;
const alertMs = 2000;
/** Silences within the time above from which renewals wait less. */
const silencesUntilAlert = 3;

/**
 * Creates the watch. The timeout follows the mean and the deviation of answers, as those of TCP do, and an unanswered order
 * counts as an answer that took as long as the timeout: when calls become slow, the timeout grows with them. After several
 * silences renewals wait less, so that a lost one is noticed before the end that it would have told of is old. Answers
 * backend servers that leave some orders unanswered or carry them out late.
 * @param timers - The time.
 *
 * @example
 * ```ts
 * const watch = createCallWatch(timers);
 * watch.addAnswer(2);
 * watch.getOrderTimeoutMs(); // 40
 * ```
 */
export function createCallWatch(timers: TimerService): CallWatch {
	let meanMs = 0;
	let deviationMs = longestOrderTimeoutMs / mostDeviations;
	let silencesAtMs: number[] = [];

	function addDuration(durationMs: number): void {
		deviationMs += (Math.abs(durationMs - meanMs) - deviationMs) * deviationWeight;
		meanMs += (durationMs - meanMs) * meanWeight;
	}

	function getOrderTimeoutMs(): number {
		const usualMs = meanMs + (deviationMs * mostDeviations);
		return Math.round(Math.min(longestOrderTimeoutMs, Math.max(shortestOrderTimeoutMs, usualMs)));
	}

	function addSilence(): void {
		const nowMs = timers.getNowMs();
		silencesAtMs = [...silencesAtMs.filter(atMs => nowMs - atMs < alertMs), nowMs].slice(-silencesUntilAlert);
	}

	return {
		addAnswer: addDuration,
		addUnansweredOrder() {
			addDuration(getOrderTimeoutMs());
			addSilence();
		},
		addUnansweredRenewal: addSilence,
		getOrderTimeoutMs,
		getRenewWaitMs() {
			const nowMs = timers.getNowMs();
			const isAlert = silencesAtMs.length === silencesUntilAlert && nowMs - silencesAtMs[0]! < alertMs;
			return isAlert && getOrderTimeoutMs() < longestAlertTimeoutMs ? alertRenewWaitMs : calmRenewWaitMs;
		},
	};
}
