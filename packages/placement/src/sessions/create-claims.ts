import type {MetricSink, TimerService, TimerSubscription} from '@camphortack/core';
import type {StartWindow} from '../lag/create-start-window.js';
import type {
	BackendServerClient, RenewRequest, RenewResponse, RequestTarget,
} from '../ports/backend-server-client.js';
import type {CallTimeouts} from './create-call-timeouts.js';
import type {ClaimWindow} from './create-claim-window.js';
import type {RequestResender} from './create-request-resender.js';
import {maxClaimNumber} from './fencing-token.js';
import {maxClaimRetryDelayMs, maxClaimTimeoutMs, minClaimRetryDelayMs} from './session-timings.js';

/** Sends the claims of a session, one at a time, and repeats those that go unanswered. */
export type Claims = {
	/** Gets the number of the current claim. */
	getNumber(): number;
	/** Whether the term has no fencing token left for another claim. */
	isExhausted(): boolean;
	/** Starts the next claim, which replaces the current one. */
	start(reason: string): void;
	/** Repeats the current claim after a delay. Returns the number of consecutive claims without a useful response. */
	retryLater(reason: string): number;
	/** Repeats the current claim now, or soon after its response if it is under way. */
	hurry(): void;
};

export type ClaimsOptions = {
	backendServerClient: BackendServerClient;
	/** The number of the first claim. */
	firstClaim: number;
	timers: TimerService;
	metrics: MetricSink;
	callTimeouts: CallTimeouts;
	resender: RequestResender;
	claimWindow: ClaimWindow;
	startWindow: StartWindow;
	getTarget: () => RequestTarget;
	/** Gets the current claim. It grants no lease, so that earlier leases expire while claims go unanswered. */
	getRequest: () => RenewRequest;
	/** Whether claims are still of use: the session is neither closed nor fenced. */
	isOpen: () => boolean;
	isClosed: () => boolean;
	/** Called with the response to the current claim, or that there was none. */
	onResponse: (response: RenewResponse, reason: string) => void;
};

/**
 * Creates the claims of a session, none of them sent.
 * @param options - The session, and the limits that all sessions of the placer share.
 *
 * @example
 * ```ts
 * const claims = createClaims(options);
 * claims.start('initial claim');
 * ```
 */
export function createClaims(options: ClaimsOptions): Claims {
	const {backendServerClient, timers, metrics, callTimeouts, resender, claimWindow, startWindow, getTarget, getRequest, isOpen, isClosed, onResponse} = options;
	let claim = options.firstClaim - 1;
	let unansweredCount = 0;
	let isRetryUrgent = false;
	let pendingRetry: {timer: TimerSubscription; retry: () => void} | undefined;

	function isCurrent(ownClaim: number): boolean {
		return isOpen() && ownClaim === claim;
	}

	function schedule(ownClaim: number, reason: string): void {
		claimWindow.enter(unansweredCount > 0, () => {
			if (isCurrent(ownClaim)) {
				void send(ownClaim, reason);
			} else {
				claimWindow.leave(undefined);
			}
		});
	}

	/** The timeout doubles with each unanswered claim. */
	function getTimeoutMs(): number {
		return Math.min(maxClaimTimeoutMs, callTimeouts.getRequestTimeoutMs() * (2 ** unansweredCount));
	}

	async function send(ownClaim: number, reason: string): Promise<void> {
		const {serverId} = getTarget();
		metrics.increment('server-claimed');
		const {response, responseMs} = await resender.send<RenewResponse>({
			serverId,
			send: async () => backendServerClient.renew(getTarget(), getRequest(), getTimeoutMs()),
			isNeeded: () => isCurrent(ownClaim),
			minCopyCount: 1,
		});
		claimWindow.leave(responseMs);
		if (responseMs !== undefined) {
			callTimeouts.addClaimResponse(responseMs);
			startWindow.addResponse(serverId, responseMs);
		}

		if (isClosed() || ownClaim !== claim) {
			return;
		}

		unansweredCount = response.outcome === 'accepted' ? 0 : unansweredCount;
		onResponse(response, reason);
	}

	function getRetryDelayMs(): number {
		return isRetryUrgent ? minClaimRetryDelayMs : Math.min(maxClaimRetryDelayMs, minClaimRetryDelayMs * (2 ** (unansweredCount - 1)));
	}

	function retry(ownClaim: number, reason: string): void {
		pendingRetry = undefined;
		if (isCurrent(ownClaim)) {
			schedule(ownClaim, reason);
		}
	}

	return {
		getNumber: () => claim,
		isExhausted: () => claim >= maxClaimNumber,
		start(reason) {
			claim++;
			schedule(claim, reason);
		},
		retryLater(reason) {
			const ownClaim = claim;
			unansweredCount++;
			const delayMs = getRetryDelayMs();
			isRetryUrgent = false;
			const retryOwn = () => {
				retry(ownClaim, reason);
			};

			// No start or stop was sent with this token, so the retry can reuse it.
			pendingRetry = {timer: timers.addTimer(delayMs, retryOwn), retry: retryOwn};
			return unansweredCount;
		},
		hurry() {
			if (pendingRetry === undefined) {
				isRetryUrgent = true;
			} else {
				pendingRetry.timer.cancel();
				pendingRetry.retry();
			}
		},
	};
}
