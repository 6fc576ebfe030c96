import path from 'node:path';
import {setTimeout as delay} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {runCase} from '../lib-3/run-case.js';
import {createJob, findStartsAfterCancelling, startSmallSite} from '../lib-3/small-site.js';

/** The longest freeze of an entry machine in the site file is 4.1 s. */
const freezeMs = 4080;
const cancelMs = 3000;
const jobId = '5c0e7a21d94b36f8';

await runCase(path.dirname(fileURLToPath(import.meta.url)), async scene => {
	const {record, isDisrupted} = scene;
	const {deployment, history, callEntry, entries} = await startSmallSite(scene, {workersPerZone: 2});
	const [frozen, other] = entries;
	if (isDisrupted) {
		deployment.signal(frozen, 'SIGSTOP');
	}

	const frozenAtMs = record.getNowMs();
	await delay(50);
	const submission = callEntry(frozen, 'POST', jobId, {body: createJob({taskMs: 200, steps: 1, count: 2})});
	await delay(300);
	const cancelling = await callEntry(other, 'DELETE', jobId);
	const cancelledAtMs = record.getNowMs();
	if (cancelling.status !== 200 && cancelling.status !== 410) {
		throw new Error(`the cancelling was not acknowledged: ${cancelling.status}`);
	}

	await delay(freezeMs - (record.getNowMs() - frozenAtMs));
	if (isDisrupted) {
		deployment.signal(frozen, 'SIGCONT');
	}

	await submission;
	await delay(1500);
	return findStartsAfterCancelling(history, {jobId, cancelledAtMs, cancelMs});
});
