import {createSeededRandomSource} from '@camphortack/core';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import {openDataFolder, openRecordLog, type FileSystem} from '@camphortack/storage';

/** Opens a log and records its events, metrics and failures. */
export async function openLog(fileSystem: FileSystem, path = '/data', daemonId = 'keeper-1') {
	const events = new RecordingEventLog();
	const metrics = new RecordingMetricSink();
	const failures: Error[] = [];
	const dataFolder = await openDataFolder({
		path,
		daemonId,
		random: createSeededRandomSource(7),
		fileSystem,
	});
	try {
		const log = await openRecordLog({
			dataFolder,
			name: 'register',
			events,
			metrics,
			timers: new VirtualTimers(),
			onFailure(error) {
				failures.push(error);
			},
		});
		return {
			dataFolder,
			log,
			events,
			metrics,
			failures,
		};
	} catch (error) {
		await dataFolder.close();
		throw error;
	}
}

/** Waits until the pending writes of a log have completed. */
export async function waitForWrites(): Promise<void> {
	for (let turn = 0; turn < 5; turn++) {
		// eslint-disable-next-line no-await-in-loop -- Each turn runs callbacks that the previous one scheduled.
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}
}
