import {z} from 'zod';

/** A message between two daemons. `kind` selects the part that handles it, as `slots.lease-request`. */
export const peerMessageSchema = z.looseObject({kind: z.string().max(64)});

export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** Sends messages to other daemons. Delivery may fail, be late, be doubled or come out of order. */
export abstract class PeerNetwork {
	/**
	 * Sends one message to several daemons.
	 * @param peerIds - The receiving daemons.
	 * @param message - The message.
	 */
	sendToAll(peerIds: readonly string[], message: PeerMessage): void {
		for (const peerId of peerIds) {
			this.send(peerId, message);
		}
	}

	/**
	 * Sends a message.
	 * @param peerId - The receiving daemon.
	 * @param message - The message; it is copied by encoding.
	 */
	abstract send(peerId: string, message: PeerMessage): void;
}
