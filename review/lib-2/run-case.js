// Runs a case: the record of what was sent, answered and run, the time limit, the end of all processes, and the exit code.
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout as pause} from 'node:timers/promises';
import {callJson} from './call.js';
import {startDeployment} from './deployment.js';
import {startWorker, startWorkers} from './workers.js';

const heldCode = 0;
const brokenCode = 1;
const notRunCode = 2;
const meanings = ['the rule held', 'the rule was broken', 'the case could not run'];
const maxCaseMs = 110_000;
const service = 'quotes';
const queue = {host: 'one.example', pathPrefix: '/quotes/'};
/** Longer than `stabilityWindowMs`, so that all machines are in touch. */
const settleMs = 3500;

/**
 * Runs a case and ends the process with its exit code.
 * @param {object} options - The folder of the case, its zones, the number of workers in each zone, the time-out of the route, whether links between daemons can be cut, and the function that plays it. That function returns whether the rule was broken.
 */
export async function runCase(options) {
	const record = createRecord();
	const folder = mkdtempSync(path.join(tmpdir(), 'camphortack-review-'));
	const hasTrouble = process.env.TROUBLE !== '0';
	const cleanups = [() => {
		rmSync(folder, {recursive: true, force: true});
	}];
	let exitCode = notRunCode;
	record.add('case', {trouble: hasTrouble});
	const failure = waitForFailure();
	try {
		const end = playCase(options, {folder, record, cleanups}, hasTrouble);
		exitCode = await Promise.race([end, failure, pause(maxCaseMs, notRunCode, {ref: false})]);
	} catch (error) {
		record.add('case-failed', {message: error.stack});
	}

	for (const cleanup of cleanups.toReversed()) {
		// eslint-disable-next-line no-await-in-loop -- In the reverse order of the starts.
		await cleanup();
	}

	record.add('result', {exitCode, meaning: meanings[exitCode]});
	writeFileSync(path.join(options.caseFolder, 'record.txt'), record.getText());
	process.stdout.write(`${record.getSummary()}exit code ${exitCode}: ${meanings[exitCode]}\n`);
	process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit -- The exit code is the result.
}

/** Rejects when something fails that the case doesn't wait for, or when it is told to stop, so that it cleans up and ends with 2. */
async function waitForFailure() {
	return new Promise((_, reject) => {
		process.on('unhandledRejection', reject);
		process.on('uncaughtException', reject);
		for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) {
			process.on(signal, () => {
				reject(new Error(`stopped by ${signal}`));
			});
		}
	});
}

async function playCase({zones, workerCounts, routeTimeoutMs = 1500, canCut, play}, {folder, record, cleanups}, hasTrouble) {
	const deployment = await startDeployment({
		zones, folder, record, canCut,
	});
	cleanups.push(() => deployment.stop());
	const controls = deployment.cores.map(({ip}) => ({host: ip, port: deployment.ports.control}));
	const workers = await startWorkers({
		counts: workerCounts, service, controls, record,
	});
	cleanups.push(() => workers.stop());
	await deployment.publish(getConfiguration(routeTimeoutMs));
	await deployment.waitUntilReady();
	await pause(settleMs);
	const client = createClient(deployment, record);
	await client.warmUp();
	const isBroken = await play({
		deployment,
		client,
		record,
		hasTrouble,
		/** Adds a worker that announces itself to a core machine, and to the others after a failure. */
		async addWorker(worker, {ip}) {
			const ordered = controls.toSorted((left, right) => Number(right.host === ip) - Number(left.host === ip));
			const added = await startWorker({...worker, service}, ordered, record);
			cleanups.push(() => added.stop());
			return added;
		},
	});
	return isBroken ? brokenCode : heldCode;
}

/**
 * Gets a configuration, of version 1 unless another one is named.
 * @param {number} timeoutMs - The time-out of its route.
 * @param {object} other - Another version, and another path of its queue.
 */
export function getConfiguration(timeoutMs, {version = 1, pathPrefix = queue.pathPrefix} = {}) {
	const route = {
		name: pathPrefix,
		host: queue.host,
		pathPrefix,
		type: 'non_idempotent',
		timeoutMs,
		targetDurationMs: 60,
		priority: 0,
		service,
		maxAttempts: 4,
		stretch: 1.6,
	};
	return {
		version,
		routes: [route],
		services: [{
			name: service, healthPath: '/health', maxConns: 64, protocol: 'h1', tls: false, enforcesCapacity: false, standby: false,
		}],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	};
}

/** A client that submits and cancels jobs at edge machines. */
function createClient({edges, findPlace, ports}, record) {
	async function send(name, method, jobId, {body, timeoutMs, agent}) {
		const headers = {host: queue.host, 'deadline-remaining': String(timeoutMs)};
		const target = {host: findPlace(name).ip, port: ports.callers, path: `${queue.pathPrefix}${jobId}`};
		record.add('sent', {method, job: jobId, to: name});
		const response = await callJson({
			...target, method, headers, body, timeoutMs, agent,
		});
		const answeredAtMs = record.add('answered', {
			method, job: jobId, by: name, ...response,
		});
		return {...response, answeredAtMs};
	}

	return {
		/** Submits a job that need not be kept, over a connection of its own or one of an agent; resolves with its response. */
		submit: async (name, job, timeoutMs, agent) => send(name, 'POST', job.id, {body: job.body, timeoutMs, agent}),
		/** Sends the cancellation of a job once, and resolves with its response. */
		tryCancel: async (name, job) => send(name, 'DELETE', job.id, {timeoutMs: 4000}),
		/** Cancels a job; throws if that is not acknowledged. Returns the time of the acknowledgement. */
		async cancel(name, job) {
			const {status, answeredAtMs} = await send(name, 'DELETE', job.id, {timeoutMs: 4000});
			if (status !== 200) {
				throw new Error(`the cancellation was answered with ${status}`);
			}

			return answeredAtMs;
		},
		/** Submits short jobs until each edge machine has completed one. */
		async warmUp() {
			for (const {name} of edges) {
				let isCompleted = false;
				for (let attempt = 0; attempt < 20 && !isCompleted; attempt++) {
					const job = createJob({durationMs: 50});
					// eslint-disable-next-line no-await-in-loop -- One job after the other.
					const {status, body} = await this.submit(name, job, 2000);
					isCompleted = status === 200 && body?.state === 'completed';
					// eslint-disable-next-line no-await-in-loop -- See above.
					await pause(isCompleted ? 0 : 300);
				}

				if (!isCompleted) {
					throw new Error(`${name} completes no job`);
				}
			}
		},
	};
}

/**
 * Creates a job that need not be kept, of steps that follow each other.
 * @param {object} options - How long each task takes, and how many steps and tasks there are, what a task needs, and the label that its workers must have.
 */
export function createJob({durationMs, stepCount = 1, taskCount = 2, millicores = 27_000, label}) {
	const steps = Array.from({length: stepCount}, (_, position) => ({
		count: taskCount,
		cpu: millicores,
		memMb: 64,
		estimateMs: durationMs,
		...(label !== undefined && {constraints: label}),
		...(position > 0 && {dependsOn: [position - 1]}),
	}));
	return {
		id: Array.from({length: 16}, () => Math.floor(Math.random() * 16).toString(16)).join(''),
		body: {spec: String(durationMs), bestEffort: true, steps},
	};
}

/**
 * Checks the rule UNASKED for a cancelled job: no task may start later than `cancel_ms` after the acknowledgement.
 * @param {object} record - The record, to which the result is added.
 * @param {object} job - The job.
 * @param {number} cancelledAtMs - The time of the acknowledgement.
 * @param {number} calmAtMs - The time from which all machines are in touch again; earlier starts do not count.
 * @returns {boolean} Whether the rule was broken.
 */
export function hasStartedAfterCancellation(record, job, cancelledAtMs, calmAtMs = 0) {
	const cancelMs = 3000;
	const starts = record.getRows('run-start').filter(({task, atMs}) => task.startsWith(`${job.id}.`) && atMs > Math.max(cancelledAtMs + cancelMs, calmAtMs));
	const startsAfterBound = starts.map(({atMs, task, run}) => `${task} run ${run} at ${atMs} ms`);
	if (startsAfterBound.length > 0) {
		record.add('check', {
			rule: 'UNASKED', job: job.id, cancelledAtMs, startsAfterBound,
		});
	}

	return starts.length > 0;
}

/** Records what happens, with the time since the start. */
function createRecord() {
	const startedAtMs = performance.now();
	const rows = [];
	const format = selected => selected.map(row => `${JSON.stringify(row)}\n`).join('');
	return {
		add(kind, fields) {
			const atMs = Math.round(performance.now() - startedAtMs);
			rows.push({atMs, kind, ...fields});
			return atMs;
		},
		getRows: kind => rows.filter(row => row.kind === kind),
		getText: () => format(rows),
		getSummary: () => format(rows.filter(({kind}) => kind === 'check' || kind === 'case-failed')),
	};
}
