import type {Settings} from '@camphortack/configuration';
import {createContainer} from '../composition/create-container.js';
import {tokens} from '../composition/tokens.js';
import {startComponents} from './start-components.js';
import {startServers} from './start-servers.js';
import {closeDaemon, drain} from './stop-components.js';

/** The addresses on which a daemon listens. */
export type DaemonAddresses = {
	callersUrl: string;
	backendServersUrl: string;
	operatorsUrl: string;
	peersPort: number;
};

/** A running daemon. */
export type Daemon = {
	readonly addresses: DaemonAddresses;
	/** Resolves when the daemon has stopped, whatever initiated the stop; rejects if a storage write or sync, or the stop itself, failed. */
	readonly stopped: Promise<void>;
	/** Begins a graceful shutdown. Resolves once all jobs in flight have ended and all resources are closed. */
	stop(): Promise<void>;
};

/**
 * Starts a daemon in this process.
 * @param settings - The settings of the daemon.
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
	let rejectStopped: (error: unknown) => void;
	const stopped = new Promise<void>((resolve, reject) => {
		resolveStopped = resolve;
		rejectStopped = reject;
	});
	const container = await createContainer(settings, error => {
		container.get(tokens.events).write('daemon-failed', {reason: error.message});
		rejectStopped(error);
	});
	const peersPort = await container.get(tokens.peerNetwork).listen();
	startComponents(container, peersPort);
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
		try {
			await drain(container);
			await closeDaemon(container, servers);
			events.write('daemon-stopped');
			resolveStopped();
		} catch (error) {
			rejectStopped(error);
		}

		return stopped;
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
