import {mkdtemp, rm} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {createSeededRandomSource} from '@camphortack/core';
import {openDataFolder, openRecordLog, type RecordLog} from '@camphortack/storage';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import type {Slope} from './slope.js';

/** A record log on a real disk, and its metrics. */
export type DiskLog = {
	log: RecordLog;
	metrics: RecordingMetricSink;
};

const concurrencyLevels = [1, 10, 100];
const warmUpMs = 300;
const measuredMs = 1500;
const recordBytes = 120;

/**
 * Opens a record log in a temporary folder, and removes the folder afterwards.
 * @param use - Uses the log.
 */
export async function withDiskLog<Result>(use: (diskLog: DiskLog) => Promise<Result>): Promise<Result> {
	const path = await mkdtemp(join(tmpdir(), 'camphortack-slope-'));
	const metrics = new RecordingMetricSink();
	const dataFolder = await openDataFolder({path, daemonId: 'slope', random: createSeededRandomSource(1)});
	const log = await openRecordLog({
		dataFolder,
		name: 'slope',
		events: new RecordingEventLog(),
		metrics,
		timers: new VirtualTimers(),
		onFailure(error) {
			throw error;
		},
	});
	try {
		return await use({log, metrics});
	} finally {
		await log.close();
		await dataFolder.close();
		await rm(path, {recursive: true});
	}
}

/** Measures how many records per second become durable. Each concurrent writer waits for its previous record to be synced. */
export async function measureStorageSlope(): Promise<Slope> {
	const points: Slope['points'] = [];
	for (const size of concurrencyLevels) {
		// eslint-disable-next-line no-await-in-loop -- Measurements run sequentially.
		const {recordsPerSecond} = await measureWriters(size);
		points.push({size, value: recordsPerSecond});
	}

	return {name: 'durable records a second, by writers at once', points, unit: 'records/s'};
}

/** Measures how many records share one disk sync. */
export async function measureRecordsPerSyncSlope(): Promise<Slope> {
	const points: Slope['points'] = [];
	for (const size of concurrencyLevels) {
		// eslint-disable-next-line no-await-in-loop -- Measurements run sequentially.
		const {recordsPerSecond, syncsPerSecond} = await measureWriters(size);
		points.push({size, value: recordsPerSecond / syncsPerSecond});
	}

	return {name: 'records a sync, by writers at once', points, unit: 'records/sync'};
}

/** Measures how many syncs per second the disk performs. */
export async function measureSyncSlope(): Promise<Slope> {
	const points: Slope['points'] = [];
	for (const size of concurrencyLevels) {
		// eslint-disable-next-line no-await-in-loop -- Measurements run sequentially.
		const {syncsPerSecond} = await measureWriters(size);
		points.push({size, value: syncsPerSecond});
	}

	return {name: 'syncs a second, by writers at once', points, unit: 'syncs/s'};
}

async function measureWriters(writers: number): Promise<{recordsPerSecond: number; syncsPerSecond: number}> {
	return withDiskLog(async ({log, metrics}) => {
		const record = 'r'.repeat(recordBytes);
		let recordCount = 0;
		let isStopped = false;
		const write = () => {
			if (!isStopped) {
				log.append(record, () => {
					recordCount++;
					write();
				});
			}
		};

		for (let writer = 0; writer < writers; writer++) {
			write();
		}

		await sleep(warmUpMs);
		const startedAtMs = performance.now();
		const recordsBefore = recordCount;
		const syncsBefore = metrics.getCount('storage-synced');
		await sleep(measuredMs);
		const seconds = (performance.now() - startedAtMs) / 1000;
		isStopped = true;
		return {
			recordsPerSecond: (recordCount - recordsBefore) / seconds,
			syncsPerSecond: (metrics.getCount('storage-synced') - syncsBefore) / seconds,
		};
	});
}

/**
 * Waits for a number of milliseconds.
 * @param durationMs - The time to wait.
 */
export async function sleep(durationMs: number): Promise<void> {
	await new Promise<void>(resolve => {
		setTimeout(resolve, durationMs);
	});
}
