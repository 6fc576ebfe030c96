import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {Settings} from '@camphortack/configuration';
import type {
	EventLog, MetricSink, RandomSource, TimerService,
} from '@camphortack/core';
import {openDataFolder, openRecordLog, type RecordLog} from '@camphortack/storage';

/** The durable logs of a keeper. */
export type DaemonStorage = {
	configurationLog: RecordLog;
	registerLog: RecordLog;
	/** Whether this process created the data folder. */
	isNew: boolean;
	close(): Promise<void>;
};

export type DaemonStorageOptions = {
	settings: Settings;
	timers: TimerService;
	random: RandomSource;
	metrics: MetricSink;
	events: EventLog;
	/** Called once if a write or sync fails; the daemon must stop then. */
	onFailure: (error: Error) => void;
};

/**
 * Opens the data folder of a keeper. Returns undefined if the daemon does not have that role.
 * If the settings of a keeper name no folder, a temporary one is used and removed on close.
 * @param options - The settings and the components that it depends on.
 * @throws StorageError if the folder is locked, damaged or belongs to another daemon.
 */
export async function openDaemonStorage(options: DaemonStorageOptions): Promise<DaemonStorage | undefined> {
	const {settings, timers, random, metrics, events, onFailure} = options;
	const {id, roles, dataFolder: path} = settings.daemon;
	if (!roles.includes('keeper')) {
		return undefined;
	}

	const temporaryPath = path === undefined ? await mkdtemp(join(tmpdir(), 'camphortack-')) : undefined;
	const dataFolder = await openDataFolder({path: path ?? temporaryPath ?? '', daemonId: id, random});
	const openLog = async (name: string) => openRecordLog({
		dataFolder, name, events, metrics, timers, onFailure,
	});
	const configurationLog = await openLog('configuration');
	const registerLog = await openLog('register');
	return {
		configurationLog,
		registerLog,
		isNew: dataFolder.isNew,
		async close() {
			await configurationLog.close();
			await registerLog.close();
			await dataFolder.close();
			if (temporaryPath !== undefined) {
				await rm(temporaryPath, {recursive: true, force: true});
			}
		},
	};
}
