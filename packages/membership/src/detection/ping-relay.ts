import type {TimerService} from '@camphortack/core';

/** The indirect pings that this daemon has sent on behalf of others. */
export type PingRelay = {
	/** Adds a ping sent on behalf of another daemon. */
	add(sequence: number, requesterId: string): void;
	/** Removes a ping and returns the daemon that requested it, or undefined if there is no such pending ping. */
	take(sequence: number): string | undefined;
};

const relayTimeoutMs = 1000;

/**
 * Creates the ping relay.
 * @param timers - The clock.
 */
export function createPingRelay(timers: TimerService): PingRelay {
	const requests = new Map<number, {requesterId: string; atMs: number}>();

	function removeExpired(): void {
		for (const [sequence, {atMs}] of requests) {
			if (timers.getNowMs() - atMs <= relayTimeoutMs) {
				return;
			}

			requests.delete(sequence);
		}
	}

	return {
		add(sequence, requesterId) {
			removeExpired();
			requests.set(sequence, {requesterId, atMs: timers.getNowMs()});
		},
		take(sequence) {
			const request = requests.get(sequence);
			requests.delete(sequence);
			return request?.requesterId;
		},
	};
}
