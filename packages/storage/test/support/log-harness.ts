import {createSeededRandomSource} from '@camphortack/core';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import {openDataFolder, openRecordLog, type FileSystem} from '@camphortack/storage';

/** Opens a log and keeps what it reports. */
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

/** Lets the log's writes end. */
export async function waitForWrites(): Promise<void> {
	for (let turn = 0; turn < 5; turn++) {
		// eslint-disable-next-line no-await-in-loop -- Each turn runs what the one before it scheduled.
		await new Promise<void>(resolve => {
			setImmediate(resolve);
		});
	}
}
