import type {MetricSink, PeerMessage} from '@camphortack/core';

type Handle = (fromPeerId: string, message: PeerMessage) => void;

/** Gives each message to the part whose name stands before the first dot of its kind. */
export type PeerRouter = {
	handleMessage: Handle;
	addHandler(name: string, handle: Handle): void;
	/** Calls back with the sender of each message, whichever part takes it, before that part does. */
	addListener(onHeard: (peerId: string) => void): void;
};

/**
 * Creates a router for the messages of other daemons.
 * @param metrics - Counts the messages that no part takes.
 *
 * @example
 * ```ts
 * const router = createPeerRouter(metrics);
 * router.addPart('dispatch', dispatcher.handlePeerMessage);
 * ```
 */
export function createPeerRouter(metrics: MetricSink): PeerRouter {
	const parts = new Map<string, Handle>();
	const listeners: Array<(peerId: string) => void> = [];
	return {
		addHandler(name, handle) {
			parts.set(name, handle);
		},
		addListener(onHeard) {
			listeners.push(onHeard);
		},
		handleMessage(fromPeerId, message) {
			for (const onHeard of listeners) {
				onHeard(fromPeerId);
			}

			const [name] = message.kind.split('.', 1);
			const handle = parts.get(name ?? '');
			if (handle === undefined) {
				metrics.increment('peer-dropped');
				return;
			}

			handle(fromPeerId, message);
		},
	};
}
