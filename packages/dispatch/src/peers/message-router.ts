import type {PartReceiver} from '../handover/part-receiver.js';
import type {PartSender} from '../handover/part-sender.js';
import type {DispatchMessage} from '../messages/dispatch-messages.js';
import type {ServerDirectory} from '../servers/server-directory.js';
import type {SlotManagers} from '../servers/slot-managers.js';

export type MessageRouterOptions = {
	sender: PartSender;
	receiver: PartReceiver;
	directory: ServerDirectory;
	managers: SlotManagers;
	replyToHeartbeat: (peerId: string) => void;
};

/**
 * Creates a function that routes each message of another dispatcher to the handler for its kind.
 * @param options - The message handlers.
 */
export function createMessageRouter(options: MessageRouterOptions): (peerId: string, message: DispatchMessage) => void {
	const {sender, receiver, directory, managers} = options;

	function routeMessage(peerId: string, message: DispatchMessage): void {
		switch (message.kind) {
			case 'dispatch.job': {
				receiver.handleJob(peerId, message);
				break;
			}

			case 'dispatch.outcome': {
				sender.handleOutcome(peerId, message);
				break;
			}

			case 'dispatch.cancel': {
				receiver.handleCancel(peerId, message);
				break;
			}

			case 'dispatch.query': {
				receiver.handleQuery(peerId, message);
				break;
			}

			case 'dispatch.heartbeat': {
				if (message.needsReply) {
					options.replyToHeartbeat(peerId);
				}

				break;
			}

			case 'dispatch.servers': {
				directory.handleServers(peerId, message.announcements);
				break;
			}

			case 'dispatch.server-renewed': {
				directory.handleRenewal(message.backendServerId, message.incarnation);
				break;
			}

			case 'dispatch.server-left': {
				directory.handleServerLeft(message.backendServerId, message.incarnation, message.reason);
				break;
			}

			case 'dispatch.release': {
				managers.handleRelease(peerId, message);
				break;
			}

			case 'dispatch.draining': {
				managers.markDraining(peerId, message.senderIncarnation);
				break;
			}
		}
	}

	return routeMessage;
}
