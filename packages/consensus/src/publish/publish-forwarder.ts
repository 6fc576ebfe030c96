import type {RandomSource, TimerService, TimerSubscription} from '@camphortack/core';
import type {ConfigurationContent} from '../content/configuration-content.js';
import {publishResendMs, publishTimeoutMs} from '../keeper/keeper-timings.js';
import {getPublishProposal, maxPublishBytes} from './get-publish-proposal.js';
import type {PublishProposal, PublishRequest, PublishResult} from './publish-schemas.js';

/** Sends publishes to the leader until a result arrives or the timeout expires. */
export type PublishForwarder = {
	/** Converts a request to a proposal once its base version is known to this daemon, and forwards it. */
	submitRequest(request: PublishRequest, onResult: (result: PublishResult) => void): void;
	submitProposal(proposal: PublishProposal, onResult: (result: PublishResult) => void): void;
	handleResult(requestId: string, result: PublishResult): void;
	stop(): void;
};

export type PublishForwarderOptions = {
	timers: TimerService;
	random: RandomSource;
	getContent: () => ConfigurationContent;
	/** Sends a proposal. Returns false if no keeper is known that could handle it. */
	send: (requestId: string, proposal: PublishProposal) => boolean;
};

type PendingRequest = {
	findProposal: () => PublishProposal | undefined;
	wasSent: boolean;
	subscriptions: TimerSubscription[];
	onResult: (result: PublishResult) => void;
};

/**
 * Creates a publish forwarder.
 * @param options - The timers and the function that sends a proposal.
 */
export function createPublishForwarder(options: PublishForwarderOptions): PublishForwarder {
	const {timers, random, getContent, send} = options;
	const pending = new Map<string, PendingRequest>();

	function submit(findProposal: PendingRequest['findProposal'], onResult: PendingRequest['onResult']): void {
		const requestId = random.getIdentifier();
		const entry: PendingRequest = {
			findProposal,
			wasSent: false,
			subscriptions: [],
			onResult,
		};
		pending.set(requestId, entry);
		entry.subscriptions = [
			timers.addInterval(publishResendMs, () => {
				trySend(requestId, entry);
			}),
			timers.addTimer(publishTimeoutMs, () => {
				finish(requestId, getTimeoutResult(entry));
			}),
		];
		trySend(requestId, entry);
	}

	function trySend(requestId: string, entry: PendingRequest): void {
		const proposal = entry.findProposal();
		if (proposal === undefined) {
			return;
		}

		if (JSON.stringify(proposal).length > maxPublishBytes) {
			finish(requestId, {outcome: 'rejected', reason: 'too-large'});
			return;
		}

		const isSent = send(requestId, proposal);
		entry.wasSent ||= isSent;
	}

	function getTimeoutResult(entry: PendingRequest): PublishResult {
		if (entry.findProposal() === undefined) {
			return {outcome: 'rejected', reason: 'unknown-base'};
		}

		return {outcome: 'no-majority', state: entry.wasSent ? 'unknown' : 'not-published'};
	}

	function finish(requestId: string, result: PublishResult): void {
		const entry = pending.get(requestId);
		if (entry === undefined) {
			return;
		}

		pending.delete(requestId);
		cancel(entry);
		entry.onResult(result);
	}

	function cancel(entry: PendingRequest): void {
		for (const subscription of entry.subscriptions) {
			subscription.cancel();
		}
	}

	return {
		submitRequest(request, onResult) {
			let proposal: PublishProposal | undefined;
			submit(() => {
				const content = getContent();
				proposal ??= content.version < request.baseVersion ? undefined : getPublishProposal(content, request);
				return proposal;
			}, onResult);
		},
		submitProposal(proposal, onResult) {
			submit(() => proposal, onResult);
		},
		handleResult: finish,
		stop() {
			for (const entry of pending.values()) {
				cancel(entry);
			}

			pending.clear();
		},
	};
}
