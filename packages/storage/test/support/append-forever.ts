import process from 'node:process';
import {createSeededRandomSource} from '@camphortack/core';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import {openDataFolder, openRecordLog} from '@camphortack/storage';

/** Appends increasing numbers until it is killed, and prints each one once it is durable. Writes a snapshot after every 50th. */
const [path = ''] = process.argv.slice(2);
const dataFolder = await openDataFolder({path, daemonId: 'keeper-1', random: createSeededRandomSource(7)});
const log = await openRecordLog({
	dataFolder,
	name: 'register',
	events: new RecordingEventLog(),
	metrics: new RecordingMetricSink(),
	timers: new VirtualTimers(),
	onFailure(error) {
		throw error;
	},
});
let value = Number(log.getRecords().at(-1) ?? log.getSnapshot() ?? 0);
append();

function append(): void {
	const appended = ++value;
	log.append(appended, () => {
		process.stdout.write(`${appended}\n`);
		append();
	});
	if (appended % 50 === 0) {
		log.writeSnapshot(appended);
	}
}
