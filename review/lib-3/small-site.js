import {setTimeout as delay} from 'node:timers/promises';
import {call} from './call.js';
import {createConfiguration} from './configuration.js';
import {createDeployment} from './deployment.js';
import {createWorker} from './worker.js';

const zones = ['ostalpen-a', 'ostalpen-b', 'ostalpen-c'];
const entriesPerZone = 2;
const service = 'dele69a';
const hostName = 'novo13.example';
const pathPrefix = '/volo102/';
const capacity = {cpu: 64_000, memMb: 131_072, gpu: 0};
const defaultClientTimeoutMs = 15_000;
/** Longer than the stability window, so that all machines are in touch. */
const calmMs = 3500;

/**
 * Starts a small deployment with workers and one route, and waits until each entry machine has served a job. The text of a job's `spec`
 * is the run time of its tasks in milliseconds.
 * @param scene - The record, and the function that registers what has to be ended.
 * @param options - The number of workers in each zone and the figures of the route.
 */
export async function startSmallSite({record, onEnd}, {workersPerZone, timeoutMs = defaultClientTimeoutMs, targetDurationMs}) {
	const history = [];
	const deployment = await createDeployment({zones, entriesPerZone, record});
	onEnd(deployment.end);
	deployment.start();
	for (const [position, zone] of zones.entries()) {
		for (let number = 1; number <= workersPerZone; number++) {
			// eslint-disable-next-line no-await-in-loop -- One after the other.
			const worker = await createWorker({
				id: `i-${zone}-${number}`,
				service,
				zone,
				host: `${deployment.prefix}.${150 + position}`,
				keepers: deployment.keepers,
				capacity,
				getTaskMs: (task, spec) => Number(spec),
				history,
				record,
			});
			onEnd(worker.close);
		}
	}

	/** Sends a request of a client to an entry machine, and records it and its answer. */
	async function callEntry(entry, method, jobId, {body, clientTimeoutMs = defaultClientTimeoutMs} = {}) {
		record.write('client-sends', {
			method, job: jobId, machine: entry.name, body,
		});
		const answer = await call({
			host: entry.host,
			port: entry.front,
			method,
			path: `${pathPrefix}${jobId}`,
			headers: {host: hostName, 'deadline-remaining': clientTimeoutMs},
			body,
			timeoutMs: clientTimeoutMs,
		});
		record.write('client-gets', {
			method, job: jobId, machine: entry.name, ...answer,
		});
		return answer;
	}

	await deployment.putConfiguration(createConfiguration({
		version: 1, service, host: hostName, pathPrefix, timeoutMs, targetDurationMs,
	}));
	await deployment.waitUntilReady();
	await delay(calmMs);
	for (const [position, entry] of deployment.entries.entries()) {
		// eslint-disable-next-line no-await-in-loop -- One after the other.
		const {status} = await callEntry(entry, 'POST', `000000000000000${position}`, {body: createJob({taskMs: 100, steps: 1, count: 1})});
		if (status !== 200) {
			throw new Error(`${entry.name} does not serve: ${status}`);
		}
	}

	await delay(calmMs);
	return {
		deployment, history, callEntry, entries: deployment.entries,
	};
}

/**
 * Creates the body of a job that needn't be stored, with steps that follow each other and tasks of one run time.
 * @param options - The run time, the number of steps, the tasks of each, and what a task needs.
 */
export function createJob({taskMs, steps, count, cpu = 4000}) {
	return {
		spec: String(taskMs),
		bestEffort: true,
		steps: Array.from({length: steps}, (_, position) => ({
			count, cpu, memMb: 64, estimateMs: taskMs, ...(position === 0 ? {} : {dependsOn: [position - 1]}),
		})),
	};
}
