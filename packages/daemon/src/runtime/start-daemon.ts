import {checkConfigurationObjects, findOwn, type Settings} from '@camphortack/configuration';
import type {Member, PeerMessage} from '@camphortack/core';
import {isKeeperMessage} from '@camphortack/register';
import type {Container} from 'inversify';
import {bindMembership} from '../composition/bind-membership.js';
import {createContainer} from '../composition/create-container.js';
import {tokens} from '../composition/tokens.js';
import {isTokenAccepted} from '../access/is-token-accepted.js';
import {createBackendServersServer} from '../http/backend-servers-server.js';
import {createCallersServer} from '../http/callers-server.js';
import {listen, type ListeningServer} from '../http/create-http-server.js';
import {createOperatorsServer} from '../http/operators-server.js';
import {getDaemonStatus} from './get-daemon-status.js';
import {getLimitStatuses} from './get-limit-statuses.js';

/** Where a daemon listens. */
export type DaemonAddresses = {
	callersUrl: string;
	backendServersUrl: string;
	operatorsUrl: string;
	peersPort: number;
};

/** A running daemon. */
export type Daemon = {
	readonly addresses: DaemonAddresses;
	/** Resolves when the daemon has stopped, whoever asked for it. */
	readonly stopped: Promise<void>;
	/** Begins a planned stop; resolves once everything in flight has ended and all is closed. */
	stop(): Promise<void>;
};

const drainCheckIntervalMs = 20;
const longestOutcomeWaitMs = 3000;

/**
 * Starts a daemon in this process.
 * @param settings - Its settings.
 * @throws if an address cannot be bound or the data folder cannot be used.
 *
 * @example
 * ```ts
 * const daemon = await startDaemon(readSettings('camphortackd.ini', ''));
 * console.log(daemon.addresses.callersUrl);
 * await daemon.stop();
 * ```
 */
export async function startDaemon(settings: Settings): Promise<Daemon> {
	const state = {isDraining: false};
	let resolveStopped: () => void;
	let rejectStopped: (error: Error) => void;
	const stopped = new Promise<void>((resolve, reject) => {
		resolveStopped = resolve;
		rejectStopped = reject;
	});
	const container = await createContainer(settings, error => {
		container.get(tokens.events).write('daemon-failed', {reason: error.message});
		rejectStopped(error);
	});
	const peersPort = await container.get(tokens.peerNetwork).listen();
	startParts(container, peersPort);
	const servers = await startServers(container, state, () => {
		void stop();
	});
	const events = container.get(tokens.events);
	events.write('daemon-started', {id: settings.daemon.id, callers: servers.callers.url});

	async function stop(): Promise<void> {
		if (state.isDraining) {
			return stopped;
		}

		state.isDraining = true;
		events.write('daemon-draining');
		await drain(container);
		await closeAll(container, servers);
		events.write('daemon-stopped');
		resolveStopped();
	}

	return {
		addresses: {
			callersUrl: servers.callers.url,
			backendServersUrl: servers.backendServers.url,
			operatorsUrl: servers.operators.url,
			peersPort,
		},
		stop,
		stopped,
	};
}

/** A part that hears of the live daemons and of their messages. */
type DaemonPart = {
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	setMembers(members: readonly Member[]): void;
};

function createRegisterRouter(client: DaemonPart, register: DaemonPart | undefined): DaemonPart {
	return {
		handlePeerMessage(fromPeerId, message) {
			const part = isKeeperMessage(message) ? register : client;
			part?.handlePeerMessage(fromPeerId, message);
		},
		setMembers(members) {
			client.setMembers(members);
			register?.setMembers(members);
		},
	};
}

type Servers = {
	callers: ListeningServer;
	backendServers: ListeningServer;
	operators: ListeningServer;
};

function startParts(container: Container, peersPort: number): void {
	const router = container.get(tokens.peerRouter);
	const keeper = container.get(tokens.keeper);
	const registerClient = container.get(tokens.registerClient);
	const register = container.get(tokens.register);
	const parts: Record<string, DaemonPart> = {
		dispatch: container.get(tokens.dispatcher),
		limits: container.get(tokens.limits),
		configuration: container.get(tokens.follower),
		...(keeper && {consensus: keeper}),
		register: createRegisterRouter(registerClient, register),
	};
	for (const [name, part] of Object.entries(parts)) {
		router.addPart(name, part.handlePeerMessage);
	}

	bindMembership(container, {
		peersPort,
		onMembersChanged(members) {
			for (const part of Object.values(parts)) {
				part.setMembers(members);
			}
		},
	});
	const membership = container.get(tokens.membership);
	router.addPart('membership', membership.handlePeerMessage);
	router.addListener(membership.noteHeard);
}

async function startServers(container: Container, state: {isDraining: boolean}, onDrain: () => void): Promise<Servers> {
	const settings = container.get(tokens.settings);
	const dispatcher = container.get(tokens.dispatcher);
	const configuration = container.get(tokens.configurationDesk);
	const jobs = container.get(tokens.jobs);
	const {tokenHashes} = settings.operators;
	const backendServerHashes = settings['backend-servers'].tokenHashes.length === 0 ? tokenHashes : settings['backend-servers'].tokenHashes;
	const createCheck = (hashes: readonly string[]) => (authorization: string | undefined) => hashes.length === 0 || isTokenAccepted(authorization, hashes);

	const callers = createCallersServer({
		jobs,
		isReady: () => !state.isDraining && configuration.findConfiguration() !== undefined,
		isAuthorized(authorization, customer) {
			const hashes = findOwn(configuration.findConfiguration()?.objects.customers ?? {}, customer)?.tokenHashes ?? [];
			return hashes.length === 0 || isTokenAccepted(authorization, hashes);
		},
	});
	const backendServers = createBackendServersServer({
		isAuthorized: createCheck(backendServerHashes),
		onAnnouncement: dispatcher.announceBackendServer,
		onFarewell: dispatcher.removeBackendServer,
	});
	const operators = createOperatorsServer({
		isAuthorized: createCheck(tokenHashes),
		configuration,
		checkObjects: objects => checkConfigurationObjects(objects).filter(finding => finding.level === 'error'),
		getStatus: () => getDaemonStatus(container, state.isDraining),
		getLimits: () => getLimitStatuses(container.get(tokens.limits)),
		onDrain,
		onDrainBackendServer: () => false,
	});
	return {
		callers: await listen(callers, settings.callers.host, settings.callers.port),
		backendServers: await listen(backendServers, settings['backend-servers'].host, settings['backend-servers'].port),
		operators: await listen(operators, settings.operators.host, settings.operators.port),
	};
}

async function drain(container: Container): Promise<void> {
	const jobs = container.get(tokens.jobs);
	const timers = container.get(tokens.timers);
	jobs.startDraining();
	container.get(tokens.dispatcher).startDraining();
	container.get(tokens.limits).startLeaving();
	container.get(tokens.keeper)?.startLeaving();
	await new Promise<void>(resolve => {
		const check = timers.addInterval(drainCheckIntervalMs, () => {
			if (jobs.getOpenCount() === 0) {
				check.cancel();
				resolve();
			}
		});
	});
	await storeOutcomes(container);
	await new Promise<void>(resolve => {
		container.get(tokens.membership).startLeaving(resolve);
	});
}

/** Waits until the keepers have the outcomes of the last jobs, at most as long as a resubmission waits for them. */
async function storeOutcomes(container: Container): Promise<void> {
	const timers = container.get(tokens.timers);
	const client = container.get(tokens.registerClient);
	const endAtMs = timers.getNowMs() + longestOutcomeWaitMs;
	await new Promise<void>(resolve => {
		const check = timers.addInterval(drainCheckIntervalMs, () => {
			if (client.getStatus().unstoredOutcomes === 0 || timers.getNowMs() >= endAtMs) {
				check.cancel();
				resolve();
			}
		});
	});
}

async function closeAll(container: Container, servers: Servers): Promise<void> {
	await Promise.all([servers.callers.close(), servers.backendServers.close(), servers.operators.close()]);
	await container.get(tokens.taskStarter).close();
	container.get(tokens.registerClient).close();
	container.get(tokens.register)?.close();
	container.get(tokens.tickets).close();
	container.get(tokens.membership).stop();
	container.get(tokens.follower).stop();
	container.get(tokens.keeper)?.stop();
	container.get(tokens.limits).stop();
	await container.get(tokens.storage)?.close();
	await container.get(tokens.peerNetwork).close();
	await container.get(tokens.metrics).close();
	container.get(tokens.timers).cancelAll();
}
