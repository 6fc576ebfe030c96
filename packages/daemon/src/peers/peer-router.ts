import type {MetricSink, PeerMessage} from '@camphortack/core';

type PeerMessageHandler = (fromPeerId: string, message: PeerMessage) => void;

/** Routes each message to the handler whose name equals the text before the first dot of the message kind. */
export type PeerRouter = {
	handleMessage: PeerMessageHandler;
	addHandler(name: string, handle: PeerMessageHandler): void;
	/** Adds a listener that is called with the sender of each message, before the message is handled. */
	addListener(onReceived: (peerId: string) => void): void;
};

/**
 * Creates a router for the messages of other daemons.
 * @param metrics - Counts the messages that have no handler.
 *
 * @example
 * ```ts
 * const router = createPeerRouter(metrics);
 * router.addHandler('dispatch', dispatcher.handlePeerMessage);
 * ```
 */
export function createPeerRouter(metrics: MetricSink): PeerRouter {
	const handlers = new Map<string, PeerMessageHandler>();
	const listeners: Array<(peerId: string) => void> = [];
	return {
		addHandler(name, handle) {
			handlers.set(name, handle);
		},
		addListener(onReceived) {
			listeners.push(onReceived);
		},
		handleMessage(fromPeerId, message) {
			for (const onReceived of listeners) {
				onReceived(fromPeerId);
			}

			const [name] = message.kind.split('.', 1);
			const handle = handlers.get(name ?? '');
			if (handle === undefined) {
				metrics.increment('peer-dropped');
				return;
			}

			handle(fromPeerId, message);
		},
	};
}
