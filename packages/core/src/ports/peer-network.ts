import {z} from 'zod';

/** A message between two daemons. `kind` selects the component that handles it, such as `slots.lease-request`. */
export const peerMessageSchema = z.looseObject({kind: z.string().max(64)});

export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** Sends messages to other daemons. Messages may be lost, delayed, duplicated or reordered. */
export abstract class PeerNetwork {
	/**
	 * Sends a message to several daemons.
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
	 * @param message - The message, which is copied when it is encoded.
	 */
	abstract send(peerId: string, message: PeerMessage): void;
}
