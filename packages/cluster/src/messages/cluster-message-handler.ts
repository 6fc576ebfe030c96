import type {PeerMessage} from '@camphortack/core';
import type {ConfigurationExchange} from '../configuration/configuration-exchange.js';
import type {CrashExchange} from '../crashes/crash-exchange.js';
import type {EvacuationExchange} from '../evacuations/evacuation-exchange.js';
import type {RegistryExchange} from '../registry/registry-exchange.js';
import type {RegistryReplicator} from '../registry/registry-replicator.js';
import type {Relay} from '../relay/relay.js';
import type {ClusterMessage, ClusterMessageOf} from './cluster-messages.js';
import type {ParsedMessage} from './message-parser.js';

/** Passes messages between the daemons of a deployment to the parts that they are for. */
export type ClusterMessageHandler = {
	handleMessage(fromId: string, parsed: ParsedMessage<ClusterMessage>): void;
};

export type ClusterMessageHandlerOptions = {
	configuration: ConfigurationExchange;
	evacuations: EvacuationExchange;
	crashes: CrashExchange;
	relay: Relay;
	registryExchange: RegistryExchange;
	registryReplicator: RegistryReplicator;
	handleHeartbeat: (fromId: string, heartbeat: ClusterMessageOf<'cluster.heartbeat'>) => void;
	/** Handles a message that a third daemon has passed on. */
	handlePeerMessage: (fromId: string, message: PeerMessage) => void;
};

/**
 * Creates the handler.
 * @param options - The parts of a cluster that take messages.
 *
 * @example
 * ```ts
 * const handler = createClusterMessageHandler(options);
 * handler.handleMessage('10.0.0.2', {message: {kind: 'cluster.registry-request'}, hasLostRows: false}); // Sends the registry.
 * ```
 */
export function createClusterMessageHandler(options: ClusterMessageHandlerOptions): ClusterMessageHandler {
	const {configuration, evacuations, crashes, relay, registryExchange, registryReplicator} = options;

	return {
		handleMessage(fromId, {message}) {
			switch (message.kind) {
				case 'cluster.heartbeat': {
					options.handleHeartbeat(fromId, message);
					break;
				}

				case 'cluster.server-report': {
					registryReplicator.handleReport(fromId, message);
					break;
				}

				case 'cluster.server-report-noted': {
					registryReplicator.handleAcknowledgement(message.reportId);
					break;
				}

				case 'cluster.server-left': {
					registryReplicator.handleServerLeft(message.serverId, message.bornMs);
					break;
				}

				case 'cluster.registry-request': {
					registryExchange.answerRequest(fromId);
					break;
				}

				case 'cluster.registry': {
					registryReplicator.addDescriptions(fromId, message.descriptions);
					break;
				}

				case 'cluster.configuration-request': {
					configuration.answerRequest(fromId, message.knownNumber);
					break;
				}

				case 'cluster.configuration': {
					configuration.setDocument({number: message.number, content: message.content});
					break;
				}

				case 'cluster.evacuations-request': {
					evacuations.answerRequest(fromId, message.knownRevision);
					break;
				}

				case 'cluster.evacuations': {
					evacuations.setEvacuations({revision: message.revision, availabilityZones: message.availabilityZones});
					break;
				}

				case 'cluster.crashes': {
					crashes.handleRecords(fromId, message.records);
					break;
				}

				case 'cluster.relay': {
					relay.forward(fromId, message);
					break;
				}

				case 'cluster.relayed': {
					relay.recordRoute(message.fromId, fromId);
					options.handlePeerMessage(message.fromId, message.message);
					break;
				}
			}
		},
	};
}
