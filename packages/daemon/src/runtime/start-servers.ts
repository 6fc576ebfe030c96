import {checkConfigurationObjects, findOwn} from '@camphortack/configuration';
import {createRequestLimits} from '@camphortack/process';
import type {Container} from 'inversify';
import {isTokenAccepted} from '../access/is-token-accepted.js';
import {tokens} from '../composition/tokens.js';
import {createEvacuationService} from '../evacuations/evacuation-service.js';
import {createBackendServersServer} from '../http/backend-servers-server.js';
import {createCallersServer} from '../http/callers-server.js';
import {listen, type ListeningServer} from '../http/create-http-server.js';
import {createOperatorsServer} from '../http/operators-server.js';
import {getDaemonStatus} from './get-daemon-status.js';
import {getKnownZones} from './get-known-zones.js';
import {getLimitStatuses} from './get-limit-statuses.js';

/** The HTTP servers of a daemon. */
export type Servers = {
	callers: ListeningServer;
	backendServers: ListeningServer;
	operators: ListeningServer;
};

/** The connections of backend servers and of operators, each in relation to those of callers. */
const lesserConnectionShare = 1 / 4;

export type ServersOptions = {
	isDraining: () => boolean;
	/** Begins a graceful shutdown. */
	onDrain: () => void;
};

/**
 * Starts the HTTP servers.
 * @param container - The container of the daemon; its components must have been started.
 * @param options - Reports and begins a graceful shutdown.
 */
export async function startServers(container: Container, {isDraining, onDrain}: ServersOptions): Promise<Servers> {
	const settings = container.get(tokens.settings);
	const events = container.get(tokens.events);
	const dispatcher = container.get(tokens.dispatcher);
	const configuration = container.get(tokens.configurationService);
	const jobs = container.get(tokens.jobs);
	const {tokenHashes} = settings.operators;
	const backendServerHashes = settings['backend-servers'].tokenHashes.length === 0 ? tokenHashes : settings['backend-servers'].tokenHashes;
	const createTokenCheck = (hashes: readonly string[]) => (authorization: string | undefined) => hashes.length === 0 || isTokenAccepted(authorization, hashes);

	const {daemon} = settings;
	const {requests: limits} = createRequestLimits({memoryMb: daemon.memoryMegabytes, maxFds: daemon.maxFileDescriptors}, {
		timers: container.get(tokens.timers), metrics: container.get(tokens.metrics), events,
	});
	const fewerConnections = {...limits, maxConnections: Math.floor(limits.maxConnections * lesserConnectionShare)};

	const callers = createCallersServer({
		events,
		limits,
		jobs,
		isReady: () => !isDraining() && configuration.findConfiguration() !== undefined,
		isAuthorized(authorization, customer) {
			const hashes = findOwn(configuration.findConfiguration()?.objects.customers ?? {}, customer)?.tokenHashes ?? [];
			return hashes.length === 0 || isTokenAccepted(authorization, hashes);
		},
	});
	const backendServers = createBackendServersServer({
		events,
		limits: fewerConnections,
		isAuthorized: createTokenCheck(backendServerHashes),
		onAnnouncement: dispatcher.announceBackendServer,
		onFarewell: dispatcher.removeBackendServer,
	});
	const operators = createOperatorsServer({
		events,
		limits: fewerConnections,
		isAuthorized: createTokenCheck(tokenHashes),
		configuration,
		evacuations: createEvacuationService({
			client: container.get(tokens.evacuationClient),
			events,
			getEvacuations: container.get(tokens.follower).getEvacuations,
			getZones: () => getKnownZones(container),
		}),
		checkObjects: objects => checkConfigurationObjects(objects).filter(finding => finding.level === 'error'),
		getStatus: () => getDaemonStatus(container, isDraining()),
		getLimits: () => getLimitStatuses(container.get(tokens.limits)),
		explainJob: submission => dispatcher.explainJob({...submission, id: submission.id ?? 'where'}),
		onDrain,
		onDrainBackendServer: dispatcher.drainBackendServer,
	});
	return {
		callers: await listen(callers, settings.callers.host, settings.callers.port),
		backendServers: await listen(backendServers, settings['backend-servers'].host, settings['backend-servers'].port),
		operators: await listen(operators, settings.operators.host, settings.operators.port),
	};
}
