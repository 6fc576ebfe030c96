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
	/** Called once when a write or sync failed: the daemon has to stop. */
	onFailure: (error: Error) => void;
};

/**
 * Opens the data folder of a keeper; undefined at a daemon without that role.
 * A keeper without a folder in its settings gets a temporary one that is removed at the end.
 * @param options - The settings and where to report.
 * @throws StorageError if the folder is locked, foreign or damaged.
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
