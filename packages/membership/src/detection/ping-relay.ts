import type {TimerService} from '@camphortack/core';

/** The pings that this daemon sends on behalf of others. */
export type PingRelay = {
	/** Notes a ping sent for another daemon. */
	add(sequence: number, requesterId: string): void;
	/** Takes the daemon that asked for a ping, if it was sent for one and not answered before. */
	take(sequence: number): string | undefined;
};

const relayTimeoutMs = 1000;

/**
 * Creates the relay.
 * @param timers - The source of time.
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
