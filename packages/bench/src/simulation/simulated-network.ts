import {PeerNetwork, type PeerMessage, type TimerService} from '@camphortack/core';

type Receive = (fromPeerId: string, message: PeerMessage) => void;

export type SimulatedNetworkOptions = {
	timers: TimerService;
	/** Gets the one-way latency between two daemons. */
	getLatencyMs: (fromPeerId: string, toPeerId: string) => number;
};

/** Simulates the links between daemons in virtual time and counts messages by kind. */
export class SimulatedNetwork {
	readonly sentByKind = new Map<string, number>();
	readonly #options: SimulatedNetworkOptions;
	readonly #receivers = new Map<string, Receive>();
	#isCut?: (fromPeerId: string, toPeerId: string) => boolean;

	constructor(options: SimulatedNetworkOptions) {
		this.#options = options;
	}

	addPeer(peerId: string, onMessage: Receive): PeerNetwork {
		this.#receivers.set(peerId, onMessage);
		const send = this.#send.bind(this, peerId);
		return new class extends PeerNetwork {
			override send(toPeerId: string, message: PeerMessage): void {
				send(toPeerId, message);
			}
		}();
	}

	/** Cuts the links for which the predicate returns true. Messages in flight on them are lost too. */
	setCut(isCut: (fromPeerId: string, toPeerId: string) => boolean): void {
		this.#isCut = isCut;
	}

	getSentCount(kinds: readonly string[]): number {
		return kinds.reduce((sum, kind) => sum + (this.sentByKind.get(kind) ?? 0), 0);
	}

	#send(fromPeerId: string, toPeerId: string, message: PeerMessage): void {
		this.sentByKind.set(message.kind, (this.sentByKind.get(message.kind) ?? 0) + 1);
		if (this.#isCut?.(fromPeerId, toPeerId) === true) {
			return;
		}

		this.#options.timers.addTimer(this.#options.getLatencyMs(fromPeerId, toPeerId), () => {
			if (this.#isCut?.(fromPeerId, toPeerId) !== true) {
				this.#receivers.get(toPeerId)?.(fromPeerId, message);
			}
		});
	}
}
