import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runCase} from '../lib-3/run-case.js';
import {createJob, startSmallSite} from '../lib-3/small-site.js';

const workersPerZone = 2;
const workerCount = 6;
const graceMs = 6000;
const lossSlackMs = 200;
const otherJob = createJob({
	taskMs: 9000, steps: 1, count: 1, cpu: 40_000,
});
const job = createJob({
	taskMs: 500, steps: 1, count: 1, cpu: 40_000,
});
const jobId = '5c0e7a21d94b36f8';

await runCase(path.dirname(fileURLToPath(import.meta.url)), async scene => {
	const {record, isDisrupted} = scene;
	const {deployment, history, callEntry, entries} = await startSmallSite(scene, {workersPerZone, targetDurationMs: 12_000});
	const [stopped, other] = entries;
	// Jobs of other clients take the room of all workers.
	const others = Array.from({length: workerCount}, (_, number) => callEntry(other, 'POST', `00000000000b000${number}`, {body: otherJob}));
	await delay(500);
	const sentAtMs = record.getNowMs();
	const submission = callEntry(stopped, 'POST', jobId, {body: job});
	await delay(300);
	const signalledAtMs = record.getNowMs();
	if (isDisrupted) {
		deployment.signal(stopped, 'SIGTERM');
	}

	const {status, error} = await submission;
	const endedAtMs = record.getNowMs();
	await Promise.all(others);
	const wasAtWork = history.some(({event, task, atMs}) => event === 'started' && task.startsWith(jobId) && atMs < endedAtMs);
	const isCut = status === 0 && endedAtMs > sentAtMs + lossSlackMs && endedAtMs < signalledAtMs + graceMs + 1000;
	record.write('outcome', {
		status, error, wasAtWork, afterSendingMs: endedAtMs - sentAtMs, afterSignalMs: endedAtMs - signalledAtMs,
	});
	return isCut && !wasAtWork ? [`LOST: the connection of ${jobId} ended without an answer ${endedAtMs - signalledAtMs} ms after the SIGTERM (${error})`] : [];
});
