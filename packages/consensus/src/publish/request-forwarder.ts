import type {RandomSource, TimerService, TimerSubscription} from '@camphortack/core';

/** Whether to send a request now, to wait for the next interval, or to end the request without another send. */
export type SendDecision = 'send' | 'wait' | 'end';

/** Sends requests to the leader until a result arrives or the timeout expires. */
export type RequestForwarder<Request, Result> = {
	/**
	 * Submits a request. `decideSend` is called before each send; a request that it ends has the result of a timeout.
	 */
	submit(request: Request, onResult: (result: Result) => void, decideSend?: () => SendDecision): void;
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
		submit(request, onResult, decideSend = () => 'send') {
			const requestId = random.getIdentifier();
			const deadlineMs = timers.getNowMs() + timeoutMs;
			let lastRunMs = timers.getNowMs();
			const resend = timers.addInterval(resendMs, () => {
				const gapMs = timers.getNowMs() - lastRunMs;
				lastRunMs = timers.getNowMs();
				// After a suspension, timers run before a closed connection is noticed, so `decideSend` may be out of date.
				if (timers.getNowMs() < deadlineMs && gapMs < maxIntervalRatio * resendMs) {
					sendOrEnd();
				}
			});
			const timeout = timers.addTimer(timeoutMs, () => {
				finish(requestId, timeoutResult);
			});
			pending.set(requestId, {subscriptions: [resend, timeout], onResult});

			function sendOrEnd(): void {
				const decision = decideSend();
				if (decision === 'send') {
					send(requestId, request);
				} else if (decision === 'end') {
					finish(requestId, timeoutResult);
				}
			}

			sendOrEnd();
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
