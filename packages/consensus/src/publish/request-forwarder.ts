import type {RandomSource, TimerService, TimerSubscription} from '@camphortack/core';

/** Sends requests to the leader until a result arrives or the timeout expires. */
export type RequestForwarder<Request, Result> = {
	/**
	 * Submits a request. `isWanted` is called before each send; a request that is no longer wanted ends with the result of a
	 * timeout, without another send.
	 */
	submit(request: Request, onResult: (result: Result) => void, isWanted?: () => boolean): void;
	handleResult(requestId: string, result: Result): void;
	stop(): void;
};

export type RequestForwarderOptions<Request, Result> = {
	timers: TimerService;
	random: RandomSource;
	resendMs: number;
	timeoutMs: number;
	/** The result of a request that times out. */
	timeoutResult: Result;
	send: (requestId: string, request: Request) => void;
};

/** An interval that is longer than this many times `resendMs` shows that the process was suspended. */
const maxIntervalRatio = 2;

type PendingRequest<Result> = {
	subscriptions: TimerSubscription[];
	onResult: (result: Result) => void;
};

/**
 * Creates a request forwarder. The requests must be idempotent, since they are resent. A process that was suspended past
 * the timeout does not resend: the operator has sent the request to another daemon by then, and may have revoked it.
 * @param options - The timings and the function that sends a request.
 */
export function createRequestForwarder<Request, Result>(options: RequestForwarderOptions<Request, Result>): RequestForwarder<Request, Result> {
	const {timers, random, resendMs, timeoutMs, timeoutResult, send} = options;
	const pending = new Map<string, PendingRequest<Result>>();

	function finish(requestId: string, result: Result): void {
		const entry = pending.get(requestId);
		pending.delete(requestId);
		for (const subscription of entry?.subscriptions ?? []) {
			subscription.cancel();
		}

		entry?.onResult(result);
	}

	return {
		submit(request, onResult, isWanted = () => true) {
			const requestId = random.getIdentifier();
			const deadlineMs = timers.getNowMs() + timeoutMs;
			let lastRunMs = timers.getNowMs();
			const resend = timers.addInterval(resendMs, () => {
				const gapMs = timers.getNowMs() - lastRunMs;
				lastRunMs = timers.getNowMs();
				// After a suspension, timers run before a closed connection is noticed, so `isWanted` may be out of date.
				if (timers.getNowMs() < deadlineMs && gapMs < maxIntervalRatio * resendMs) {
					sendIfWanted();
				}
			});
			const timeout = timers.addTimer(timeoutMs, () => {
				finish(requestId, timeoutResult);
			});
			pending.set(requestId, {subscriptions: [resend, timeout], onResult});

			function sendIfWanted(): void {
				if (isWanted()) {
					send(requestId, request);
				} else {
					finish(requestId, timeoutResult);
				}
			}

			sendIfWanted();
		},
		handleResult: finish,
		stop() {
			for (const {subscriptions} of pending.values()) {
				for (const subscription of subscriptions) {
					subscription.cancel();
				}
			}

			pending.clear();
		},
	};
}
