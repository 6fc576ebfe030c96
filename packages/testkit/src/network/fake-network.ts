import {decode, encode} from 'cbor-x';
import {
	peerMessageSchema,
	PeerNetwork, type PeerMessage, type RandomSource, type TimerService,
} from '@camphortack/core';

export type FakeNetworkOptions = {
	timers: TimerService;
	random: RandomSource;
	minDelayMs?: number;
	maxDelayMs?: number;
	/** The share of messages that vanish. */
	lossRatio?: number;
	/** The share of messages that arrive twice. */
	duplicationRatio?: number;
};

type MessageHandler = (fromPeerId: string, message: PeerMessage) => void;

/** What a fake network has carried so far. */
export type FakeNetworkTotals = {
	sentMessages: number;
	sentBytes: number;
	droppedMessages: number;
};

/** A seeded network in virtual time: delays reorder messages; links can be cut in one direction. */
export class FakeNetwork {
	readonly totals: FakeNetworkTotals = {sentMessages: 0, sentBytes: 0, droppedMessages: 0};
	readonly #options: Required<FakeNetworkOptions>;
	readonly #receivers = new Map<string, MessageHandler>();
	readonly #cutLinks = new Set<string>();

	constructor(options: FakeNetworkOptions) {
		this.#options = {
			minDelayMs: 0.5,
			maxDelayMs: 0.5,
			lossRatio: 0,
			duplicationRatio: 0,
			...options,
		};
	}

	/**
	 * Adds a peer, or replaces one after its restart.
	 * @param peerId - The peer.
	 * @param onMessage - Called for each message that arrives.
	 * @returns The network as this peer uses it.
	 */
	addPeer(peerId: string, onMessage: MessageHandler): PeerNetwork {
		this.#receivers.set(peerId, onMessage);
		const send = this.#send.bind(this, peerId);
		return new class extends PeerNetwork {
			override send(toPeerId: string, message: PeerMessage): void {
				send(toPeerId, message);
			}
		}();
	}

	/** Removes a peer, as a crash does. Messages on their way to it are lost. */
	removePeer(peerId: string): void {
		this.#receivers.delete(peerId);
	}

	/** Cuts one direction of a link. */
	cutLink(fromPeerId: string, toPeerId: string): void {
		this.#cutLinks.add(getLinkKey(fromPeerId, toPeerId));
	}

	/** Cuts both directions between every peer of one side and every peer of the other. */
	partitionPeers(leftPeerIds: readonly string[], rightPeerIds: readonly string[]): void {
		for (const left of leftPeerIds) {
			for (const right of rightPeerIds) {
				this.cutLink(left, right);
				this.cutLink(right, left);
			}
		}
	}

	/** Heals every cut link. */
	healLinks(): void {
		this.#cutLinks.clear();
	}

	#send(fromPeerId: string, toPeerId: string, message: PeerMessage): void {
		const {random, lossRatio, duplicationRatio: doublingRatio} = this.#options;
		const bytes = encode(message);
		this.totals.sentMessages++;
		this.totals.sentBytes += bytes.length;
		if (this.#cutLinks.has(getLinkKey(fromPeerId, toPeerId)) || (lossRatio > 0 && random.getFraction() < lossRatio)) {
			this.totals.droppedMessages++;
			return;
		}

		this.#deliver(fromPeerId, toPeerId, bytes);
		if (doublingRatio > 0 && random.getFraction() < doublingRatio) {
			this.#deliver(fromPeerId, toPeerId, bytes);
		}
	}

	#deliver(fromPeerId: string, toPeerId: string, bytes: Uint8Array): void {
		const {timers, random, minDelayMs: shortestDelayMs, maxDelayMs: longestDelayMs} = this.#options;
		const delayMs = shortestDelayMs + (random.getFraction() * (longestDelayMs - shortestDelayMs));
		timers.addTimer(delayMs, () => {
			const isCut = this.#cutLinks.has(getLinkKey(fromPeerId, toPeerId));
			const receive = this.#receivers.get(toPeerId);
			if (isCut || receive === undefined) {
				this.totals.droppedMessages++;
				return;
			}

			receive(fromPeerId, peerMessageSchema.parse(decode(bytes)));
		});
	}
}

function getLinkKey(fromPeerId: string, toPeerId: string): string {
	return `${fromPeerId}>${toPeerId}`;
}
