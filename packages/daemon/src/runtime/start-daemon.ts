import type {Settings} from '@camphortack/configuration';
import {createContainer} from '../composition/create-container.js';
import {tokens} from '../composition/tokens.js';
import {startParts} from './start-parts.js';
import {startServers} from './start-servers.js';
import {closeAll, drain} from './stop-parts.js';

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
	let isDraining = false;
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
	const servers = await startServers(container, {
		isDraining: () => isDraining,
		onDrain() {
			void stop();
		},
	});
	const events = container.get(tokens.events);
	if (settings.operators.tokenHashes.length === 0) {
		events.write('loopback-only');
	}

	events.write('daemon-started', {id: settings.daemon.id, callers: servers.callers.url});

	async function stop(): Promise<void> {
		if (isDraining) {
			return stopped;
		}

		isDraining = true;
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
