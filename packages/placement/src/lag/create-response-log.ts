import type {TimerService} from '@camphortack/core';
import {getMedian, type ResponseSample} from './find-own-lag.js';

/** The response times of the last requests to all backend servers. */
export type ResponseLog = {
	/** Adds the response time of a request to a backend server. */
	addResponse(serverId: string, durationMs: number): void;
	/** Gets the last responses and by how much each took longer than usual. */
	getSamples(): ResponseSample[];
	/** Gets the median of the last response times; 0 without responses. */
	getResponseMs(): number;
};

type TimedSample = ResponseSample & {
	durationMs: number;
	atMs: number;
};

/** The shortest response times of a period. */
type ShortestTimes = {
	overallMs: number;
	byServer: Map<string, number>;
};

/** Few enough that the median follows the lag within a response time, and more than the backend servers of one job. */
const maxSampleCount = 11;
const maxSampleAgeMs = 200;
/** By how much one backend server may usually respond later than the quickest: several times a way between availability zones. */
const maxDistanceMs = 10;
/** After one to two periods a changed network counts as usual. A lag is interrupted by shorter response times meanwhile. */
const periodMs = 10_000;

/**
 * Creates the log of a placer. What is usual for a backend server is its shortest response time, but not much more than the
 * shortest of all, since a new placer may be behind from its first request on.
 * @param timers - The clock.
 *
 * @example
 * ```ts
 * const responseLog = createResponseLog(timers);
 * responseLog.addResponse('near', 2);
 * responseLog.addResponse('far', 32);
 * responseLog.getSamples(); // Excesses of 0 and 20 ms.
 * ```
 */
export function createResponseLog(timers: TimerService): ResponseLog {
	let samples: TimedSample[] = [];
	let shortest = createShortestTimes();
	let earlierShortest = createShortestTimes();
	let periodStartMs = timers.getNowMs();

	function addToShortest(serverId: string, durationMs: number): void {
		if (timers.getNowMs() - periodStartMs >= periodMs) {
			earlierShortest = shortest;
			shortest = createShortestTimes();
			periodStartMs = timers.getNowMs();
		}

		shortest.overallMs = Math.min(shortest.overallMs, durationMs);
		shortest.byServer.set(serverId, Math.min(shortest.byServer.get(serverId) ?? durationMs, durationMs));
	}

	function getUsualMs(serverId: string): number {
		const overallMs = Math.min(shortest.overallMs, earlierShortest.overallMs);
		const ownMs = Math.min(...[shortest, earlierShortest].map(({byServer}) => byServer.get(serverId) ?? Number.POSITIVE_INFINITY));
		return Math.min(ownMs, overallMs + maxDistanceMs);
	}

	function getRecent(): TimedSample[] {
		const oldestMs = timers.getNowMs() - maxSampleAgeMs;
		samples = samples.filter(({atMs}) => atMs > oldestMs).slice(-maxSampleCount);
		return samples;
	}

	return {
		addResponse(serverId, durationMs) {
			addToShortest(serverId, durationMs);
			samples = [...getRecent(), {
				serverId, durationMs, excessMs: durationMs - getUsualMs(serverId), atMs: timers.getNowMs(),
			}];
		},
		getSamples: getRecent,
		getResponseMs: () => getMedian(getRecent().map(({durationMs}) => durationMs)),
	};
}

function createShortestTimes(): ShortestTimes {
	return {overallMs: Number.POSITIVE_INFINITY, byServer: new Map()};
}
