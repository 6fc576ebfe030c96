import 'reflect-metadata';
import type {Settings} from '@camphortack/configuration';
import {Container} from 'inversify';
import {openDaemonStorage} from '../storage/daemon-storage.js';
import {bindConfiguration} from './bind-configuration.js';
import {bindDispatch} from './bind-dispatch.js';
import {bindJobs} from './bind-jobs.js';
import {bindPeers} from './bind-peers.js';
import {bindRegister} from './bind-register.js';
import {bindSources} from './bind-sources.js';
import {tokens} from './tokens.js';

/**
 * Creates the container of one daemon: the one place where the parts are wired together.
 * @param settings - The daemon's settings.
 * @param onStorageFailure - Called once when a write or sync failed: the daemon has to stop.
 * @throws StorageError if the data folder cannot be used.
 */
export async function createContainer(settings: Settings, onStorageFailure: (error: Error) => void): Promise<Container> {
	const container = new Container({defaultScope: 'Singleton'});
	container.bind(tokens.settings).toConstantValue(settings);
	bindSources(container);
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
