import 'reflect-metadata';
import type {Settings} from '@camphortack/configuration';
import {Container} from 'inversify';
import {openDaemonStorage} from '../storage/daemon-storage.js';
import {bindConfiguration} from './bind-configuration.js';
import {bindDispatch} from './bind-dispatch.js';
import {bindJobs} from './bind-jobs.js';
import {bindPeers} from './bind-peers.js';
import {bindRegister} from './bind-register.js';
import {bindInfrastructure} from './bind-infrastructure.js';
import {tokens} from './tokens.js';

/**
 * Creates the dependency injection container of a daemon. This is the only place where its components are wired together.
 * @param settings - The settings of the daemon.
 * @param onStorageFailure - Called once if a write or sync fails; the daemon must stop then.
 * @throws StorageError if the data folder cannot be used.
 */
export async function createContainer(settings: Settings, onStorageFailure: (error: Error) => void): Promise<Container> {
	const container = new Container({defaultScope: 'Singleton'});
	container.bind(tokens.settings).toConstantValue(settings);
	bindInfrastructure(container);
	const storage = await openDaemonStorage({
		settings,
		timers: container.get(tokens.timers),
		random: container.get(tokens.random),
		metrics: container.get(tokens.metrics),
		events: container.get(tokens.events),
		onFailure: onStorageFailure,
	});
	container.bind(tokens.storage).toConstantValue(storage);
	bindPeers(container);
	bindDispatch(container);
	bindConfiguration(container);
	bindRegister(container);
	bindJobs(container);
	return container;
}
