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
	/** The fraction of messages that are lost. */
	lossRatio?: number;
	/** The fraction of messages that are delivered twice. */
	duplicationRatio?: number;
};

type MessageHandler = (fromPeerId: string, message: PeerMessage) => void;

/** The traffic of a fake network so far. */
export type FakeNetworkTotals = {
	sentMessages: number;
	sentBytes: number;
	droppedMessages: number;
};

/** A simulated network with seeded randomness. Random delays reorder messages, and links can be cut in one direction. */
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
	 * Adds a peer, or replaces it after a restart.
	 * @param peerId - The id of the peer.
	 * @param onMessage - Called for each message that the peer receives.
	 * @returns The network interface of the peer.
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

	/** Removes a peer, to simulate a crash. Messages in transit to it are lost. */
	removePeer(peerId: string): void {
		this.#receivers.delete(peerId);
	}

	/** Cuts a link in one direction. */
	cutLink(fromPeerId: string, toPeerId: string): void {
		this.#cutLinks.add(getLinkKey(fromPeerId, toPeerId));
	}

	/** Cuts the links between two groups of peers in both directions. */
	partitionPeers(leftPeerIds: readonly string[], rightPeerIds: readonly string[]): void {
		for (const left of leftPeerIds) {
			for (const right of rightPeerIds) {
				this.cutLink(left, right);
				this.cutLink(right, left);
			}
		}
	}

	/** Restores a link that was cut in one direction. */
	healLink(fromPeerId: string, toPeerId: string): void {
		this.#cutLinks.delete(getLinkKey(fromPeerId, toPeerId));
	}

	/** Restores all cut links. */
	healLinks(): void {
		this.#cutLinks.clear();
	}

	#send(fromPeerId: string, toPeerId: string, message: PeerMessage): void {
		const {random, lossRatio, duplicationRatio} = this.#options;
		const bytes = encode(message);
		this.totals.sentMessages++;
		this.totals.sentBytes += bytes.length;
		if (this.#cutLinks.has(getLinkKey(fromPeerId, toPeerId)) || (lossRatio > 0 && random.getFraction() < lossRatio)) {
			this.totals.droppedMessages++;
			return;
		}

		this.#deliver(fromPeerId, toPeerId, bytes);
		if (duplicationRatio > 0 && random.getFraction() < duplicationRatio) {
			this.#deliver(fromPeerId, toPeerId, bytes);
		}
	}

	#deliver(fromPeerId: string, toPeerId: string, bytes: Uint8Array): void {
		const {timers, random, minDelayMs, maxDelayMs} = this.#options;
		const delayMs = minDelayMs + (random.getFraction() * (maxDelayMs - minDelayMs));
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
