import type {MetricSink, TimerService} from '@camphortack/core';
import type {UnansweredResponse} from '../ports/backend-server-client.js';
import type {CallTimeouts} from './create-call-timeouts.js';
import {getCopyCount} from './get-copy-count.js';
import type {LossEstimator} from './loss-estimator.js';

/** An idempotent request to a backend server: a further copy of it has no effect there if an earlier one had. */
export type IdempotentRequest<Response> = {
	serverId: string;
	/** The least number of copies that are sent before the request counts as unanswered. */
	minCopyCount: number;
	/** Sends a copy. */
	send(timeoutMs: number): Promise<Response | UnansweredResponse>;
	/** Whether the effect of the request is still of interest. */
	isNeeded(): boolean;
};

/** The first response to any copy of a request. */
export type CopiedResponse<Response> = {
	response: Response | UnansweredResponse;
	/** The response time of the answered copy; undefined without a response. */
	responseMs: number | undefined;
	/** Whether an earlier copy than the answered one may have had an effect, or may still have it. */
	isRepeated: boolean;
};

/** Sends copies of idempotent requests until one is answered. */
export type RequestResender = {
	send<Response extends {outcome: string}>(request: IdempotentRequest<Response>): Promise<CopiedResponse<Response>>;
};

export type RequestResenderOptions = {
	timers: TimerService;
	metrics: MetricSink;
	callTimeouts: CallTimeouts;
	lossEstimator: LossEstimator;
};

/** The accepted probability that all copies of a request are lost, so that a claim has to determine its effect. */
const failureShare = 0.01;
const maxCopyCount = 8;
/** The most copies beyond the first that a placer has in flight. */
const maxExtraCopies = 128;

/**
 * Creates the resender of a placer. A copy follows after a delay somewhat longer than usual response times, while the
 * earlier ones may still be answered, so that a slow response costs one message and no connection.
 * @param options - The clock, the timeouts and the measured loss.
 *
 * @example
 * ```ts
 * const resender = createRequestResender(options);
 * const {response} = await resender.send({
 *     serverId: 'server-1', send: async timeoutMs => client.stop(target, stop, timeoutMs), isNeeded: () => true, minCopyCount: 2,
 * });
 * ```
 */
export function createRequestResender({timers, metrics, callTimeouts, lossEstimator}: RequestResenderOptions): RequestResender {
	let extraCopies = 0;

	/** Copies would increase the lag of a VM that is short of processor time. */
	function getMaxCopies(minCount: number): number {
		return callTimeouts.areResponsesSlow() ? 1 : getCopyCount(lossEstimator.getLossShare(), {failureShare, minCount, maxCount: maxCopyCount});
	}

	/** Sends copies one after the other and reports the first response, or that there was none. */
	function sendCopies<Response extends {outcome: string}>(request: IdempotentRequest<Response>, onSettled: (result: CopiedResponse<Response>) => void): void {
		let sentCount = 0;
		let pendingCount = 0;
		let isSettled = false;

		function settle(response: Response | UnansweredResponse, responseMs?: number): void {
			if (!isSettled) {
				isSettled = true;
				onSettled({response, responseMs, isRepeated: sentCount > 1});
			}
		}

		function canSendCopy(): boolean {
			return !isSettled && sentCount < getMaxCopies(request.minCopyCount) && extraCopies < maxExtraCopies && request.isNeeded();
		}

		async function sendCopy(): Promise<void> {
			const isExtra = sentCount > 0;
			sentCount++;
			pendingCount++;
			if (isExtra) {
				extraCopies++;
				metrics.increment('request-resent');
			}

			const resendTimer = timers.addTimer(callTimeouts.getResendDelayMs(), sendNextCopy);
			const sentAtMs = timers.getNowMs();
			const response = await request.send(callTimeouts.getRequestTimeoutMs());
			resendTimer.cancel();
			pendingCount--;
			extraCopies -= isExtra ? 1 : 0;
			handleResponse(response, timers.getNowMs() - sentAtMs);
		}

		function sendNextCopy(): void {
			if (canSendCopy()) {
				void sendCopy();
			}
		}

		function handleResponse(response: Response | UnansweredResponse, responseMs: number): void {
			if (response.outcome === 'unanswered') {
				handleUnanswered(response);
			} else {
				lossEstimator.addResponse(request.serverId);
				settle(response, responseMs);
			}
		}

		function handleUnanswered(response: Response | UnansweredResponse): void {
			lossEstimator.addUnanswered(request.serverId);
			if ('isRefused' in response && response.isRefused === true) {
				settle(response);
			} else if (pendingCount === 0) {
				sendNextCopy();
				if (pendingCount === 0) {
					settle(response);
				}
			}
		}

		void sendCopy();
	}

	return {
		async send(request) {
			return new Promise(resolve => {
				sendCopies(request, resolve);
			});
		},
	};
}
