// Sound stand-in workers: they heartbeat, keep leases and fencing tokens, and run tasks for the time that the spec names.
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {callJson} from './call.js';

const heartbeatMs = 1500;
const heartbeatTimeoutMs = 1000;
const maxLeaseMs = 1000;
const stopDelayMs = 20;
const maxListedEnds = 500;
const millicores = 64_000;
const memoryMb = 131_072;
const workersPerRack = 6;
const host = '127.0.0.1';

/**
 * Starts workers, which announce themselves to the control addresses in turn.
 * @param {object} options - The number of workers in each zone, their service, and the control addresses.
 */
export async function startWorkers({counts, service, controls, record}) {
	const workers = [];
	for (const [zone, count] of Object.entries(counts)) {
		for (let number = 0; number < count; number++) {
			const rack = `r-${zone}-${Math.floor(number / workersPerRack)}`;
			const worker = {
				id: `i-${zone}-${number}`, zone, rack, service,
			};
			// eslint-disable-next-line no-await-in-loop -- A few workers, one after the other.
			workers.push(await startWorker(worker, controls, record));
		}
	}

	return {
		stop() {
			for (const worker of workers) {
				worker.stop();
			}
		},
	};
}

/**
 * Starts a worker.
 * @param {object} worker - Its id, zone, rack, service and kind.
 * @param {object[]} controls - The control addresses, in the order in which it calls them.
 * @param {object} record - The record.
 */
export async function startWorker({id, zone, rack, service, kind = 'a'}, controls, record) {
	const born = Date.now();
	const startedAt = performance.now();
	const runs = new Map();
	const highestRuns = new Map();
	const waiters = new Set();
	let ends = [];
	let endCount = 0;
	let seqNo = 0;
	let highestToken = 0;
	let leaseEndMs = 0;
	let leaseTimer;
	let control = 0;

	const getClockMs = () => Math.floor(performance.now() - startedAt);

	function endRun(task, how) {
		const run = runs.get(task);
		if (run === undefined) {
			return;
		}

		clearTimeout(run.timer);
		runs.delete(task);
		endCount++;
		ends.push([endCount, task, run.number, how, '']);
		const fields = {
			worker: id, task, run: run.number, how,
		};
		record.add('run-end', fields);
		for (const wake of waiters) {
			wake();
		}
	}

	function extendLease(untilMs) {
		if (untilMs === undefined) {
			return;
		}

		leaseEndMs = Math.max(leaseEndMs, Math.min(untilMs, getClockMs() + maxLeaseMs));
		clearTimeout(leaseTimer);
		leaseTimer = setTimeout(() => {
			for (const task of runs.keys()) {
				endRun(task, 'lapsed');
			}
		}, Math.max(0, leaseEndMs - getClockMs()));
	}

	function start({task, run: number, spec, deadlineMs, fencingToken}) {
		if (deadlineMs <= getClockMs()) {
			return {status: 409, reason: 'late'};
		}

		extendLease(deadlineMs);
		if (runs.get(task)?.number === number) {
			return {status: 200};
		}

		if (number <= (highestRuns.get(task) ?? 0) || runs.has(task)) {
			return {status: 409, reason: 'old'};
		}

		highestRuns.set(task, number);
		const durationMs = Number(spec);
		const timer = setTimeout(() => {
			endRun(task, 'done');
		}, durationMs);
		const startedAtMs = getClockMs();
		runs.set(task, {
			number, durationMs, startedAtMs, timer,
		});
		const fields = {
			worker: id, zone, task, run: number, spec, fencingToken,
		};
		record.add('run-start', fields);
		return {status: 200};
	}

	function stop({task, run: number}) {
		highestRuns.set(task, Math.max(number, highestRuns.get(task) ?? 0));
		setTimeout(() => {
			if (runs.get(task)?.number === number) {
				endRun(task, 'stopped');
			}
		}, stopDelayMs);
		return {status: 200};
	}

	function sendLists(response) {
		const clockMs = getClockMs();
		const active = [...runs].map(([task, {number, startedAtMs, durationMs}]) => [
			task, number, '', Math.min(99, Math.floor((clockMs - startedAtMs) / durationMs * 100)), 1000,
		]);
		const finished = ends.slice(0, maxListedEnds);
		send(response, 200, {
			clockMs, born, active, finished,
		});
	}

	function hold({ackSeq, deadlineMs, waitMs}, response) {
		ends = ends.filter(([number]) => number > ackSeq);
		extendLease(deadlineMs);
		if (waitMs === undefined || ends.length > 0) {
			sendLists(response);
			return;
		}

		function wake() {
			clearTimeout(timer);
			waiters.delete(wake);
			sendLists(response);
		}

		const timer = setTimeout(wake, Math.min(2000, waitMs));
		waiters.add(wake);
	}

	function handle(path, body, response) {
		if (body.fencingToken < highestToken) {
			send(response, 409, {clockMs: getClockMs(), reason: 'fence'});
			return;
		}

		highestToken = body.fencingToken;
		if (path === '/api/hold') {
			hold(body, response);
			return;
		}

		const {status, reason} = path === '/api/run-start' ? start(body) : stop(body);
		send(response, status, {clockMs: getClockMs(), reason});
	}

	const server = createServer((request, response) => {
		let text = '';
		request.setEncoding('utf8');
		request.on('data', chunk => {
			text += chunk;
		});
		request.once('end', () => {
			if (request.headers['target-instance'] === id) {
				handle(request.url, JSON.parse(text), response);
			} else {
				send(response, request.method === 'GET' ? 200 : 421, {clockMs: getClockMs()});
			}
		});
	});
	server.keepAliveTimeout = 60_000;
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, host, resolve);
	});
	const {port} = server.address();

	function getHeartbeat() {
		seqNo++;
		return {
			service,
			address: `${host}:${port}`,
			zone,
			version: 'v1',
			slots: 8,
			state: 'ready',
			coldRemainingMs: 0,
			capacity: {cpu: millicores, memMb: memoryMb, gpu: 0},
			labels: [kind, rack],
			clockMs: getClockMs(),
			seqNo,
			born,
		};
	}

	/** Sends a heartbeat to the control address that took the last one, or to the next ones. It never rejects. */
	async function sendHeartbeat() {
		const body = getHeartbeat();
		for (const _ of controls) {
			const request = {...controls[control % controls.length], method: 'PUT', path: `/api/instances/${id}`};
			// eslint-disable-next-line no-await-in-loop -- The next address is tried after a failure.
			const {status} = await callJson({...request, body, timeoutMs: heartbeatTimeoutMs});
			if (status >= 200 && status < 300) {
				return;
			}

			control++;
		}
	}

	const heartbeats = setInterval(sendHeartbeat, heartbeatMs);
	setTimeout(sendHeartbeat, 0);

	return {
		stop() {
			clearInterval(heartbeats);
			clearTimeout(leaseTimer);
			for (const {timer} of runs.values()) {
				clearTimeout(timer);
			}

			server.close();
			server.closeAllConnections();
		},
	};
}

function send(response, status, body) {
	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text)});
	response.end(text);
}
