import type {MetricSink} from '@camphortack/core';
import type {RenewResponse, UnansweredResponse} from '../ports/backend-server-client.js';
import type {CallTimeouts} from './create-call-timeouts.js';
import type {RequestResender} from './create-request-resender.js';
import {getRenewalCount} from './get-renewal-count.js';
import type {LossEstimator} from './loss-estimator.js';
import {minRenewalCopyCount, parallelRenewWaitMs} from './session-timings.js';

/** Keeps renewals waiting at a backend server while it is held. Each acknowledges the ends that an earlier one returned. */
export type Renewals = {
	/** Starts the renewals of a claim. Those of an earlier claim end with their next response. */
	startClaim(): void;
	/** Starts as many renewals at once as the loss of requests calls for. One is enough while nothing runs. */
	startMissing(): void;
	/** Sends a renewal that does not wait, in addition to those in flight, because these carry no lease. */
	renewNow(): void;
};

export type RenewalsOptions = {
	serverId: string;
	metrics: MetricSink;
	callTimeouts: CallTimeouts;
	resender: RequestResender;
	lossEstimator: LossEstimator;
	/** Sends a renewal with a wait, or without one if it is undefined. */
	sendRenewal: (waitMs: number | undefined, timeoutMs: number) => Promise<RenewResponse>;
	hasRuns: () => boolean;
	/** Whether the session is open and holds the backend server with the current claim. */
	isHeld: () => boolean;
	/** Gets the number of the current claim. */
	getClaim: () => number;
	onResponse: (response: RenewResponse) => void;
};

/**
 * Creates the renewals of a session, none of them in flight.
 * @param options - The state of the session and the measured loss.
 *
 * @example
 * ```ts
 * const renewals = createRenewals(options);
 * renewals.startClaim(); // After an accepted claim.
 * renewals.startMissing(); // After the start of a run.
 * ```
 */
export function createRenewals(options: RenewalsOptions): Renewals {
	const {serverId, metrics, callTimeouts, resender, lossEstimator, sendRenewal, isHeld, getClaim, onResponse} = options;
	let inFlight = 0;

	function startMissing(): void {
		if (!isHeld()) {
			return;
		}

		const count = options.hasRuns() ? getRenewalCount(lossEstimator.getLossShare()) : 1;
		while (inFlight < count) {
			inFlight++;
			void renewOnce();
		}
	}

	/** Creates the check whether the backend server is still held with the claim of now. */
	function createClaimCheck(): () => boolean {
		const ownClaim = getClaim();
		return () => isHeld() && ownClaim === getClaim();
	}

	async function renewOnce(): Promise<void> {
		const isCurrent = createClaimCheck();
		const waitMs = inFlight > 1 ? parallelRenewWaitMs : callTimeouts.getRenewWaitMs();
		let response = await sendRenewal(waitMs, waitMs + callTimeouts.getRequestTimeoutMs());
		if (isCurrent() && response.outcome === 'unanswered') {
			response = await handleUnanswered(response, isCurrent);
		}

		handleResponse(response, isCurrent);
	}

	async function renewWithoutWait(): Promise<void> {
		const isCurrent = createClaimCheck();
		handleResponse(await sendCopies(isCurrent), isCurrent);
	}

	function handleResponse(response: RenewResponse, isCurrent: () => boolean): void {
		if (isCurrent()) {
			inFlight--;
			onResponse(response);
			startMissing();
		}
	}

	/**
	 * Replaces an unanswered renewal by one without a wait: its response lists the ends that the lost one should have reported. Only
	 * while requests are lost elsewhere too. Otherwise the backend server has probably ended, and the claim that shows it comes first.
	 */
	async function handleUnanswered(unanswered: UnansweredResponse, isCurrent: () => boolean): Promise<RenewResponse> {
		metrics.increment('server-renewal-unanswered');
		callTimeouts.addUnansweredRenewal();
		lossEstimator.addUnanswered(serverId);
		if (!lossEstimator.hasLosses()) {
			return unanswered;
		}

		return sendCopies(isCurrent);
	}

	/** Sends copies of a renewal without a wait, until one is answered. */
	async function sendCopies(isNeeded: () => boolean): Promise<RenewResponse> {
		const {response} = await resender.send<RenewResponse>({
			serverId,
			minCopyCount: minRenewalCopyCount,
			send: async timeoutMs => sendRenewal(undefined, timeoutMs),
			isNeeded,
		});
		return response;
	}

	return {
		startClaim() {
			inFlight = 0;
			startMissing();
		},
		startMissing,
		renewNow() {
			if (isHeld()) {
				inFlight++;
				void renewWithoutWait();
			}
		},
	};
}
