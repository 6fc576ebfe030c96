import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import {createResponseLog} from './create-response-log.js';
import {findOwnLagMs} from './find-own-lag.js';
import {
	getNextStartLimit, getStartWaitMs, isAtLimit, maxLagMs,
} from './start-limit.js';

/** Limits how many starts of a placer are in flight while it is itself behind. */
export type StartWindow = {
	/** Records a response to a request that the backend server answers immediately. */
	addResponse(serverId: string, durationMs: number): void;
	/**
	 * Records a start or stop that went unanswered. While there is a limit, it counts as a response that took as long as the
	 * timeout. At other times it says nothing about this VM: a rack with most of the starts may be cut off.
	 */
	addUnanswered(serverId: string, durationMs: number): void;
	addStart(): void;
	/** Records that a start was answered, or went unanswered. */
	endStart(): void;
	/** Whether the number of starts in flight is limited, because the placer was behind until a moment ago. */
	isLimited(): boolean;
	/** Whether a further start may be sent now. */
	isOpen(): boolean;
	/** Gets the expected wait until a number of starts have been answered, except for those that may be sent immediately. */
	getWaitMs(startCount: number): number;
	/** Gets the wait to announce to other shards for a job behind a number of starts; 0 while there is no limit. */
	getAnnouncedWaitMs(startCount: number): number;
	stop(): void;
};

export type StartWindowOptions = {
	term: number;
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	/** Called when a start that the limit held back may be sent. */
	onOpen: () => void;
};

const tickMs = 50;
const maxTickCount = 5;
/** Response times below this are those of a network within an availability zone. */
const minResponseMs = 1;

/**
 * Creates the window of a placer that keeps up. It observes the timers of this process and the responses of all backend
 * servers, and applies the decision of `getNextStartLimit` after each observation.
 * @param options - The clock and the logs.
 */
export function createStartWindow({term, timers, events, metrics, onOpen}: StartWindowOptions): StartWindow {
	const responseLog = createResponseLog(timers);
	let timerLatenessMs: number[] = [];
	let lastTickAtMs = timers.getNowMs();
	let startLimit = Number.POSITIVE_INFINITY;
	let startsInFlight = 0;
	let reducedAtMs = Number.NEGATIVE_INFINITY;
	let neededAtMs = Number.NEGATIVE_INFINITY;
	let limitedAtMs = 0;
	let isStopped = false;
	/** Both are kept between observations, since every waiting job needs them in every pass. */
	let lagMs = 0;
	let responseMs = minResponseMs;
	const tick = timers.addInterval(tickMs, () => {
		const nowMs = timers.getNowMs();
		timerLatenessMs = [...timerLatenessMs, nowMs - lastTickAtMs - tickMs].slice(-maxTickCount);
		lastTickAtMs = nowMs;
		update();
		metrics.setGauge('placer-lag', Math.round(lagMs));
	});

	function isLimited(): boolean {
		return startLimit !== Number.POSITIVE_INFINITY;
	}

	function update(): void {
		if (isStopped) {
			return;
		}

		const nowMs = timers.getNowMs();
		lagMs = findOwnLagMs({timerLatenessMs, responses: responseLog.getSamples()});
		responseMs = Math.max(minResponseMs, responseLog.getResponseMs());
		if (lagMs > maxLagMs || isAtLimit({startLimit, startsInFlight})) {
			neededAtMs = nowMs;
		}

		const next = getNextStartLimit({
			startLimit, startsInFlight, lagMs, sinceReducedMs: nowMs - reducedAtMs, sinceNeededMs: nowMs - neededAtMs,
		});
		reducedAtMs = next < startLimit ? nowMs : reducedAtMs;
		setLimit(next);
	}

	function setLimit(next: number): void {
		const wasLimited = isLimited();
		startLimit = next;
		if (!wasLimited && isLimited()) {
			limitedAtMs = timers.getNowMs();
			events.write('placer-lagging', {term, lagMs: Math.round(lagMs), startsInFlight});
		} else if (wasLimited && !isLimited()) {
			events.write('placer-caught-up', {term, limitedMs: Math.round(timers.getNowMs() - limitedAtMs)});
			onOpen();
		}
	}

	function addResponse(serverId: string, durationMs: number): void {
		responseLog.addResponse(serverId, durationMs);
		update();
	}

	return {
		addResponse,
		addUnanswered(serverId, durationMs) {
			if (isLimited()) {
				addResponse(serverId, durationMs);
			}
		},
		addStart() {
			startsInFlight++;
		},
		endStart() {
			const wasAtLimit = isAtLimit({startLimit, startsInFlight});
			startsInFlight--;
			if (wasAtLimit) {
				onOpen();
			}
		},
		isLimited,
		isOpen: () => !isAtLimit({startLimit, startsInFlight}),
		getWaitMs: startCount => getStartWaitMs({startLimit, startsInFlight, responseMs}, startCount),
		getAnnouncedWaitMs(startCount) {
			// Counts the starts that may be sent immediately too: other shards should not use up what the placer recovers.
			return isLimited() ? lagMs + getStartWaitMs({startLimit, startsInFlight: startLimit, responseMs}, startCount) : 0;
		},
		stop() {
			isStopped = true;
			tick.cancel();
		},
	};
}
