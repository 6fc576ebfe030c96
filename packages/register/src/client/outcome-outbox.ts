import type {TimerService, TimerSubscription} from '@camphortack/core';
import type {KeeperMessage, OutcomeItem} from '../messages/register-messages.js';

export type OutcomeOutboxOptions = {
	incarnation: string;
	timers: TimerService;
	/** Finds the keeper that stores the outcome of an id. */
	findOwnerId: (id: string) => string | undefined;
	send: (peerId: string, message: KeeperMessage) => void;
	/** Called when an outcome is durable at its keeper. */
	onStored: (item: OutcomeItem) => void;
};

/** Sends outcomes to their keepers in batches after the callers have been answered, and resends them until they are confirmed. */
export type OutcomeOutbox = {
	add(item: OutcomeItem): void;
	handleAdded(batch: string): void;
	/** Drops the oldest unsent items that satisfy `mayDrop` until at most `maxItems` are unsent. */
	dropOldest(maxItems: number, mayDrop: (item: OutcomeItem) => boolean): void;
	getCount(): number;
	close(): void;
};

const batchDelayMs = 20;
const resendDelayMs = 1000;
const maxItemsPerBatch = 64;

type Batch = {sentAtMs: number; items: OutcomeItem[]};

/**
 * Creates an empty outbox.
 * @param options - The ports.
 */
export function createOutcomeOutbox(options: OutcomeOutboxOptions): OutcomeOutbox {
	const {
		incarnation, timers, findOwnerId, send, onStored,
	} = options;
	const waiting = new Map<string, OutcomeItem>();
	const batches = new Map<string, Batch>();
	let batchCount = 0;
	let flushTimer: TimerSubscription | undefined;
	const resendTimer = timers.addInterval(resendDelayMs, resend);

	function flush(): void {
		flushTimer = undefined;
		const itemsByOwner = new Map<string, OutcomeItem[]>();
		for (const [id, item] of waiting) {
			const ownerId = findOwnerId(id);
			if (ownerId === undefined) {
				continue;
			}

			waiting.delete(id);
			const items = itemsByOwner.get(ownerId) ?? [];
			itemsByOwner.set(ownerId, items);
			items.push(item);
			if (items.length === maxItemsPerBatch) {
				sendBatch(ownerId, items);
				itemsByOwner.delete(ownerId);
			}
		}

		for (const [ownerId, items] of itemsByOwner) {
			sendBatch(ownerId, items);
		}
	}

	function sendBatch(ownerId: string, items: OutcomeItem[]): void {
		const batch = `${incarnation}.${++batchCount}`;
		batches.set(batch, {sentAtMs: timers.getNowMs(), items});
		send(ownerId, {kind: 'register.add-outcomes', batch, items});
	}

	function resend(): void {
		const beforeMs = timers.getNowMs() - resendDelayMs;
		for (const [batch, {sentAtMs, items}] of batches) {
			if (sentAtMs <= beforeMs) {
				batches.delete(batch);
				for (const item of items) {
					waiting.set(item.id, item);
				}
			}
		}

		if (waiting.size > 0) {
			flush();
		}
	}

	return {
		add(item) {
			waiting.set(item.id, item);
			flushTimer ??= timers.addTimer(batchDelayMs, flush);
		},
		handleAdded(batch) {
			const added = batches.get(batch);
			batches.delete(batch);
			for (const item of added?.items ?? []) {
				onStored(item);
			}
		},
		dropOldest(maxItems, mayDrop) {
			for (const [id, item] of waiting) {
				if (waiting.size <= maxItems) {
					return;
				}

				if (mayDrop(item)) {
					waiting.delete(id);
				}
			}
		},
		getCount: () => waiting.size + [...batches.values()].reduce((count, {items}) => count + items.length, 0),
		close() {
			flushTimer?.cancel();
			resendTimer.cancel();
		},
	};
}
