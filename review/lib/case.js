import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {call, pause} from './call.js';
import {createDeployment, createRecord} from './deployment.js';
import {startWorker} from './worker.js';

const serviceDeadlineMs = 45_000;
const readinessIntervalMs = 1000;
const queueHost = 'quotes.example';
const shortQueue = 'quotes';
/** For jobs that run much longer than those of the other queue. */
export const longQueue = 'audits';
/** For jobs that fill a zone. */
export const bulkQueue = 'previews';
const verdicts = ['held', 'broken', 'could not run'];

/** The bounds of the site glanzwerk-prod-now-grown, as far as the program or a case uses them. */
export const bounds = {
	seedLagS: 3,
	stabilityWindowMs: 4000,
	ackMs: 5000,
	catchUpS: 6,
	drainMs: 2500,
	graceS: 6,
	lossSlackMs: 200,
	configApplyMs: 2500,
	evacuateMs: 5000,
	recoveryS: 15,
	maxHoldMs: 1000,
	stopMs: 50,
	cancel_ms: 4000, // eslint-disable-line camelcase -- The platform names it.
	remoteFactor: 3,
	leaseMs: 3000,
	retransmitMs: 1300,
};

/** Gets a new id of a job. */
export function getJobId() {
	return Array.from({length: 16}, () => Math.floor(Math.random() * 16).toString(16)).join('');
}

/** Gets a job without storage whose steps follow each other, with the run time of a task of each step. */
export function getJob(stepTimesMs, {count = 1, cpu = 4000} = {}) {
	return {
		spec: JSON.stringify({ms: stepTimesMs}),
		bestEffort: true,
		steps: stepTimesMs.map((estimateMs, step) => ({
			count, cpu, memMb: 64, estimateMs, ...(step > 0 && {dependsOn: [step - 1]}),
		})),
	};
}

/** Counts the pairs of runs of one task that were at work at the same time, and logs them. */
export function countTogether(runs, log) {
	let count = 0;
	for (const [position, run] of runs.entries()) {
		for (const other of runs.slice(position + 1)) {
			const togetherMs = Math.min(run.endedAtMs, other.endedAtMs) - Math.max(run.startedAtMs, other.startedAtMs);
			if (run.task === other.task && togetherMs > 0) {
				count++;
				log('two-runs', {
					task: run.task, workers: [run.worker, other.worker], runs: [run.run, other.run], togetherMs: Math.round(togetherMs),
				});
			}
		}
	}

	return count;
}

/** The connections that the platform offers to clients: to a daemon of their zone that is in rotation, else of the next zone. */
function createPlatform(deployment, zones, log) {
	const misses = new Map(deployment.entries.map(({name}) => [name, 0]));
	const timer = setInterval(() => {
		for (const entry of deployment.entries) {
			check(entry); // eslint-disable-line @typescript-eslint/no-floating-promises -- It does not reject.
		}
	}, readinessIntervalMs);

	async function check({name, ip}) {
		const {status} = await call({
			host: ip, port: deployment.ports.readiness, method: 'GET', path: '/api/ready', timeoutMs: readinessIntervalMs - 50,
		});
		const before = misses.get(name);
		misses.set(name, status === 200 ? 0 : before + 1);
		if (before < 2 && misses.get(name) >= 2) {
			log('out-of-rotation', {machine: name});
		}
	}

	return {
		/** Selects the daemon of a new connection by the number of the client. */
		select(zone, client = 0) {
			const first = zones.indexOf(zone);
			for (const position of zones.keys()) {
				const ready = deployment.entries.filter(entry => entry.zone === zones[(first + position) % zones.length] && misses.get(entry.name) < 2);
				if (ready.length > 0) {
					return ready[client % ready.length];
				}
			}

			throw new Error('no daemon is in rotation');
		},
		close() {
			clearInterval(timer);
		},
	};
}

/** Gets a configuration with three routes; some of their fields can be set. */
export function getConfiguration(version, route) {
	return {
		version,
		routes: [shortQueue, longQueue, bulkQueue].map(name => ({
			name: `r-${name}`,
			host: queueHost,
			pathPrefix: `/${name}/`,
			type: 'non_idempotent',
			timeoutMs: 20_000,
			targetDurationMs: 2000,
			priority: 0,
			service: 'quotes',
			maxAttempts: 3,
			stretch: 2,
			...route,
		})),
		services: [{
			name: 'quotes', healthPath: '/health', maxConns: 64, protocol: 'h1', tls: false, enforcesCapacity: false, standby: false,
		}],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
	};
}

/**
 * Starts a deployment, waits until each entry daemon serves, and plays a case, which returns the number of breaks of its rule. Ends
 * the process with 1 if there are some, 0 if there are none, and 2 if the case could not run.
 */
export async function playCase(options, play) {
	const {
		file, rule, zones, entriesPerZone, keepersPerZone = 1, hasProxies = false, workersPerZone, route,
	} = options;
	const {log, getNowMs} = createRecord(path.join(path.dirname(fileURLToPath(file)), 'record.txt'));
	const deployment = await createDeployment({
		zones, entriesPerZone, keepersPerZone, hasProxies, bounds, log,
	});
	const workers = [];
	const runs = [];
	let platform;

	function onStart(run) {
		runs.push({...run, startedAtMs: getNowMs(), endedAtMs: Number.POSITIVE_INFINITY});
	}

	function onEnd({worker, task, run, how}) {
		const found = runs.findLast(other => other.worker === worker && other.task === task && other.run === run);
		Object.assign(found, {endedAtMs: getNowMs(), how});
	}

	/** Sends a request of a client and waits for the answer for a time, after which the client closes the connection. */
	async function send(machine, method, jobId, {queue = shortQueue, body, timeoutMs, onRequest}) {
		log('sent', {to: machine.name, method, job: jobId});
		const reply = await call({
			host: machine.ip,
			port: deployment.ports.front,
			method,
			path: `/${queue}/${jobId}`,
			body,
			timeoutMs,
			onRequest,
			headers: {host: queueHost, 'deadline-remaining': String(timeoutMs)},
		});
		log('answered', {
			from: machine.name, method, job: jobId, ...reply,
		});
		return reply;
	}

	async function startWorkers() {
		for (const zone of zones) {
			for (let number = 0; number < workersPerZone; number++) {
				// eslint-disable-next-line no-await-in-loop -- One after the other.
				workers.push(await startWorker({
					id: `i-${zone}-${number}`,
					zone,
					service: 'quotes',
					capacity: {cpu: 64_000, memMb: 131_072, gpu: 0},
					log,
					onStart,
					onEnd,
					getControls: () => deployment.keepers.map(({ip}) => ({host: ip, port: deployment.ports.control})),
				}));
			}
		}
	}

	async function putConfiguration(version) {
		const reply = await deployment.callControl('PUT', '/api/config', getConfiguration(version, route));
		log('configuration', {version, ...reply});
	}

	/** Each entry daemon has to complete jobs before the case begins. */
	async function waitForService() {
		for (const entry of deployment.entries) {
			let completed = 0;
			while (completed < 3) {
				if (getNowMs() > serviceDeadlineMs) {
					throw new Error('the deployment does not serve');
				}

				// eslint-disable-next-line no-await-in-loop -- One job after the other.
				const {status, body} = await send(entry, 'POST', getJobId(), {body: getJob([50]), timeoutMs: 1500});
				completed = status === 200 && body.state === 'completed' ? completed + 1 : 0;
				// eslint-disable-next-line no-await-in-loop -- One job after the other.
				await pause(100);
			}
		}
	}

	async function waitFor(isTrue, timeoutMs) {
		const endMs = getNowMs() + timeoutMs;
		while (!isTrue() && getNowMs() < endMs) {
			// eslint-disable-next-line no-await-in-loop -- Polls.
			await pause(10);
		}

		return isTrue();
	}

	let exitCode = 2;
	try {
		await deployment.startAll();
		await startWorkers();
		await putConfiguration(7);
		await waitForService();
		platform = createPlatform(deployment, zones, log);
		await pause(bounds.stabilityWindowMs);
		const breaks = await play({
			hasTrouble: process.env.TROUBLE !== '0',
			deployment,
			platform,
			log,
			getNowMs,
			send,
			waitFor,
			getRuns: jobId => runs.filter(({task}) => task.startsWith(`${jobId}.`)),
		});
		log('verdict', {rule, breaks});
		exitCode = breaks > 0 ? 1 : 0;
	} catch (error) {
		log('could-not-run', {reason: error.stack});
	}

	platform?.close();
	for (const worker of workers) {
		worker.close();
	}

	await deployment.stopAll();
	console.log(`${rule} ${verdicts[exitCode]}`);
	process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit -- This is a program.
}
