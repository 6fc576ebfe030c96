import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runCase} from '../lib-3/run-case.js';
import {createJob, findStartsAfterCancelling, startSmallSite} from '../lib-3/small-site.js';

const workersPerZone = 10;
const jobCount = 228;
/** A share of 0.35 of the jobs is cancelled. */
const cancelledCount = 79;
const cancelIntervalMs = 3;
const cancelMs = 3000;
const stabilityWindowMs = 3000;
const job = createJob({
	taskMs: 1000, steps: 7, count: 1, cpu: 4000,
});

await runCase(path.dirname(fileURLToPath(import.meta.url)), async scene => {
	const {record, isDisrupted} = scene;
	const {deployment, history, callEntry, entries} = await startSmallSite(scene, {workersPerZone});
	const jobIds = Array.from({length: jobCount}, (_, number) => `00000000000a${String(number).padStart(4, '0')}`);
	const submissions = jobIds.map((jobId, number) => callEntry(entries[number % entries.length], 'POST', jobId, {body: job}));
	await delay(1500);
	// The first keeper gives the orders to the workers.
	if (isDisrupted) {
		deployment.signal(deployment.keepers[0], 'SIGKILL');
	}

	const cancellings = jobIds.slice(0, cancelledCount).map(async (jobId, number) => {
		await delay(number * cancelIntervalMs);
		const {status} = await callEntry(entries[(number + 1) % entries.length], 'DELETE', jobId);
		return {jobId, isAcknowledged: status === 200 || status === 410, cancelledAtMs: record.getNowMs()};
	});
	const answered = await Promise.all(cancellings);
	const acknowledged = answered.filter(({isAcknowledged}) => isAcknowledged);
	if (acknowledged.length === 0) {
		throw new Error('no cancelling was acknowledged');
	}

	await Promise.all(submissions);
	const inTouchFromMs = deployment.keepers[0].startedAtMs + stabilityWindowMs;
	return acknowledged.flatMap(({jobId, cancelledAtMs}) => findStartsAfterCancelling(history, {
		jobId, cancelledAtMs, cancelMs, inTouchFromMs,
	}));
});
