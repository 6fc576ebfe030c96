import type {RandomSource, TimerService, TimerSubscription} from '@camphortack/core';
import type {DocumentResult, NumberedDocument} from './document-schemas.js';

/** Sends documents to the leader until a result arrives or the timeout expires. */
export type DocumentForwarder = {
	submit(document: NumberedDocument, onResult: (result: DocumentResult) => void): void;
	handleResult(requestId: string, result: DocumentResult): void;
	stop(): void;
};

export type DocumentForwarderOptions = {
	timers: TimerService;
	random: RandomSource;
	resendMs: number;
	timeoutMs: number;
	send: (requestId: string, document: NumberedDocument) => void;
};

type PendingRequest = {
	subscriptions: TimerSubscription[];
	onResult: (result: DocumentResult) => void;
};

/**
 * Creates a document forwarder. Resending a document is idempotent.
 * @param options - The timings and the function that sends a document.
 */
export function createDocumentForwarder(options: DocumentForwarderOptions): DocumentForwarder {
	const {timers, random, resendMs, timeoutMs, send} = options;
	const pending = new Map<string, PendingRequest>();

	function finish(requestId: string, result: DocumentResult): void {
		const entry = pending.get(requestId);
		pending.delete(requestId);
		for (const subscription of entry?.subscriptions ?? []) {
			subscription.cancel();
		}

		entry?.onResult(result);
	}

	return {
		submit(document, onResult) {
			const requestId = random.getIdentifier();
			const resend = timers.addInterval(resendMs, () => {
				send(requestId, document);
			});
			const timeout = timers.addTimer(timeoutMs, () => {
				finish(requestId, {outcome: 'no-majority'});
			});
			pending.set(requestId, {subscriptions: [resend, timeout], onResult});
			send(requestId, document);
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
