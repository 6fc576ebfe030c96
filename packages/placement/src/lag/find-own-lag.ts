/** The response of a backend server to a request that it answers immediately. */
export type ResponseSample = {
	serverId: string;
	/** By how much the response took longer than is usual for the backend server. */
	excessMs: number;
};

export type LagObservations = {
	/** By how much the last ticks of a periodic timer of this process were late. */
	timerLatenessMs: readonly number[];
	/** The last responses. */
	responses: readonly ResponseSample[];
};

/** With responses of fewer backend servers, these rather than this VM may be slow. */
const minResponderCount = 5;
/** A single late tick, as after a long garbage collection, is over when it is noticed. */
const minTickCount = 3;

/**
 * Finds by how much a placer is itself behind: the larger of the median lateness of its timers and the median excess of its
 * response times. This handles the load of a whole availability zone on an entry VM that has taken over: its requests wait for
 * processor time before they are sent, and the responses before they are read. That delays requests to all backend servers
 * alike, whereas those that are slow, stand still or are cut off are a minority and do not move the median.
 * @param observations - What the placer has observed in the last fraction of a second.
 *
 * @example
 * ```ts
 * findOwnLagMs({timerLatenessMs: [], responses: ['a', 'b', 'c', 'd', 'e'].map(serverId => ({serverId, excessMs: 30}))}); // 30
 * ```
 */
export function findOwnLagMs({timerLatenessMs, responses}: LagObservations): number {
	const responderCount = new Set(responses.map(({serverId}) => serverId)).size;
	return Math.max(
		timerLatenessMs.length < minTickCount ? 0 : getMedian(timerLatenessMs),
		responderCount < minResponderCount ? 0 : getMedian(responses.map(({excessMs}) => excessMs)),
	);
}

/**
 * Gets the median, the lower one of two; 0 for no values.
 * @param values - The values.
 */
export function getMedian(values: readonly number[]): number {
	return values.toSorted((left, right) => left - right)[Math.floor((values.length - 1) / 2)] ?? 0;
}
