import type {TimerService} from '@camphortack/core';

/** Timeouts of calls to backend servers, adapted to the recent response times of all of them. */
export type CallTimeouts = {
	/** Records the response time of a call that the backend server answers immediately. */
	addResponse(durationMs: number): void;
	/** Records the response time of a claim. It shortens no timeout: the claims of a new placer are sent by a VM that may be behind. */
	addClaimResponse(durationMs: number): void;
	/** Records that a request to a claimed backend server went unanswered. */
	addUnansweredRequest(): void;
	/** Records that a renewal went unanswered, which is detected only after its wait. */
	addUnansweredRenewal(): void;
	/** Gets the time after which a start or stop request counts as unanswered and a claim determines its effect. */
	getRequestTimeoutMs(): number;
	/** Gets the time after which a further copy of an unanswered request is sent. */
	getResendDelayMs(): number;
	/** Whether responses take so long that an unanswered request is more likely late than lost. */
	areResponsesSlow(): boolean;
	/** Gets how long a renewal waits for the end of a run. */
	getRenewWaitMs(): number;
};

const minRequestTimeoutMs = 40;
const maxRequestTimeoutMs = 150;
/** Several times a round trip within a region, so that usual variations cause no copies. */
const minResendDelayMs = 10;
/**
 * Weights of the newest response time in the mean and the deviation, and the multiple of the deviation that the timeout
 * allows for.
 */
const meanWeight = 1 / 8;
const deviationWeight = 1 / 4;
const deviationFactor = 4;
/** Without any response, the timeout is the longest. */
const initialDeviationMs = maxRequestTimeoutMs / deviationFactor;
const normalRenewWaitMs = 300;
const reducedRenewWaitMs = 40;
/** Above this timeout, calls are slow because this VM is short of processor time, which more frequent calls would worsen. */
const slowTimeoutMs = 100;
const timeoutWindowMs = 2000;
/** Number of unanswered calls within `timeoutWindowMs` from which renewals wait less. */
const timeoutsForReducedWait = 3;

/**
 * Creates the timeouts. As in TCP, the timeout follows the mean and the deviation of the response times. An unanswered
 * request counts as a response that took as long as the timeout, so the timeout grows when calls become slow. After
 * several unanswered calls renewals wait less, so that a lost one is detected before the end of a run that it would have
 * reported is long past. This handles backend servers that leave some requests unanswered or execute them late.
 * While this VM is behind, an unanswered request proves little, and the claim after it adds to the lag: the timeout is the longest.
 * @param timers - The clock.
 * @param isBehind - Whether this VM is short of processor time.
 *
 * @example
 * ```ts
 * const callTimeouts = createCallTimeouts(timers, () => false);
 * callTimeouts.addResponse(2);
 * callTimeouts.getRequestTimeoutMs(); // 40
 * ```
 */
export function createCallTimeouts(timers: TimerService, isBehind: () => boolean): CallTimeouts {
	/** The durations of all calls, and of the answered ones only. */
	const callDurations = createDurationBound(0, initialDeviationMs);
	let responseDurations: DurationBound | undefined;
	let timeoutsAtMs: number[] = [];

	function getTimeoutMs(minMs: number, durations: DurationBound | undefined): number {
		const usualMs = isBehind() || durations === undefined ? maxRequestTimeoutMs : durations.getUpperMs();
		return Math.round(Math.min(maxRequestTimeoutMs, Math.max(minMs, usualMs)));
	}

	function getRequestTimeoutMs(): number {
		return getTimeoutMs(minRequestTimeoutMs, callDurations);
	}

	function getResendDelayMs(): number {
		return getTimeoutMs(minResendDelayMs, responseDurations);
	}

	function recordTimeout(): void {
		const nowMs = timers.getNowMs();
		timeoutsAtMs = [...timeoutsAtMs.filter(atMs => nowMs - atMs < timeoutWindowMs), nowMs].slice(-timeoutsForReducedWait);
	}

	function addResponseDuration(durationMs: number): void {
		responseDurations ??= createDurationBound(durationMs, durationMs / 2);
		responseDurations.addDuration(durationMs);
	}

	return {
		addResponse(durationMs) {
			callDurations.addDuration(durationMs);
			addResponseDuration(durationMs);
		},
		addClaimResponse: addResponseDuration,
		addUnansweredRequest() {
			callDurations.addDuration(getRequestTimeoutMs());
			recordTimeout();
		},
		addUnansweredRenewal: recordTimeout,
		getRequestTimeoutMs,
		getResendDelayMs,
		areResponsesSlow: () => isBehind() || getResendDelayMs() > slowTimeoutMs,
		getRenewWaitMs() {
			const nowMs = timers.getNowMs();
			const isReduced = timeoutsAtMs.length === timeoutsForReducedWait && nowMs - timeoutsAtMs[0]! < timeoutWindowMs;
			return isReduced && getRequestTimeoutMs() < slowTimeoutMs ? reducedRenewWaitMs : normalRenewWaitMs;
		},
	};
}

/** An upper bound of the usual duration of a call. */
type DurationBound = {
	addDuration(durationMs: number): void;
	getUpperMs(): number;
};

/** Creates a bound that follows the mean and the deviation of the durations, as the retransmission timeout of TCP does. */
function createDurationBound(firstMeanMs: number, firstDeviationMs: number): DurationBound {
	let meanMs = firstMeanMs;
	let deviationMs = firstDeviationMs;
	return {
		addDuration(durationMs) {
			deviationMs += (Math.abs(durationMs - meanMs) - deviationMs) * deviationWeight;
			meanMs += (durationMs - meanMs) * meanWeight;
		},
		getUpperMs: () => meanMs + (deviationMs * deviationFactor),
	};
}
