import {createServer} from 'node:http';
import {performance} from 'node:perf_hooks';
import {call} from './call.js';

const heartbeatIntervalMs = 1500;
const heartbeatTimeoutMs = 1000;
const maxLeaseMs = 1000;
const maxWaitMs = 2000;
const stopDelayMs = 20;
const maxListedEnds = 500;

/**
 * Creates a stand-in worker that follows the users' protocol: leases, fencing tokens, run numbers, lists of ends, heartbeats.
 * @param options - Its identity, its capacity, the machines that serve control, and what a task does.
 */
export async function createWorker({id, service, zone, host, keepers, capacity, labels = ['a', 'r1'], getTaskMs, history, record, isCutFrom = () => false, onOrder}) {
	const bornMs = Date.now();
	const runs = new Map();
	const highestRuns = new Map();
	const waiters = new Set();
	let ends = [];
	let endCount = 0;
	let highestToken = 0;
	let leaseEndMs = 0;
	let leaseTimer;
	let sequence = 0;
	let isClosed = false;

	function getClockMs() {
		return Math.floor(performance.now());
	}

	function note(event, task, run, fields = {}) {
		const atMs = record.write(`run-${event}`, {
			worker: id, task, run, ...fields,
		});
		history.push({
			atMs, event, worker: id, task, run, ...fields,
		});
	}

	function endRun(task, how) {
		const active = runs.get(task);
		clearTimeout(active.timer);
		runs.delete(task);
		endCount++;
		ends.push([endCount, task, active.run, how, '']);
		note('ended', task, active.run, {how});
		for (const wake of waiters) {
			wake();
		}
	}

	function extendLease(deadlineMs) {
		if (deadlineMs === undefined) {
			return;
		}

		leaseEndMs = Math.max(leaseEndMs, Math.min(deadlineMs, getClockMs() + maxLeaseMs));
		clearTimeout(leaseTimer);
		leaseTimer = setTimeout(() => {
			for (const task of runs.keys()) {
				endRun(task, 'lapsed');
			}
		}, Math.max(0, leaseEndMs - getClockMs()));
	}

	function isFenced({fencingToken = 0}) {
		if (fencingToken < highestToken) {
			return true;
		}

		highestToken = fencingToken;
		return false;
	}

	function start(order) {
		const {task, run, spec, deadlineMs} = order;
		if (isFenced(order)) {
			return {status: 409, reason: 'fence'};
		}

		if (runs.get(task)?.run === run) {
			extendLease(deadlineMs);
			return {status: 200};
		}

		if (run <= (highestRuns.get(task) ?? 0) || runs.has(task)) {
			extendLease(deadlineMs);
			return {status: 409, reason: 'old'};
		}

		if (deadlineMs <= getClockMs()) {
			return {status: 409, reason: 'late'};
		}

		extendLease(deadlineMs);
		highestRuns.set(task, run);
		const timer = setTimeout(() => {
			endRun(task, 'done');
		}, getTaskMs(task, spec));
		runs.set(task, {
			run, timer, startedAtMs: getClockMs(), workMs: getTaskMs(task, spec),
		});
		note('started', task, run, {token: order.fencingToken});
		return {status: 200};
	}

	function stop(order) {
		if (isFenced(order)) {
			return {status: 409, reason: 'fence'};
		}

		highestRuns.set(order.task, Math.max(order.run, highestRuns.get(order.task) ?? 0));
		setTimeout(() => {
			if (runs.get(order.task)?.run === order.run) {
				endRun(order.task, 'stopped');
			}
		}, stopDelayMs);
		return {status: 200};
	}

	function getLists() {
		const nowMs = getClockMs();
		return {
			clockMs: nowMs,
			born: bornMs,
			active: [...runs].map(([task, {run, startedAtMs, workMs}]) => [task, run, '', Math.min(99, Math.round((nowMs - startedAtMs) / workMs * 100)), 0]),
			finished: ends.slice(0, maxListedEnds),
		};
	}

	function hold(order, response) {
		if (isFenced(order)) {
			send(response, 409, {clockMs: getClockMs(), reason: 'fence'});
			return;
		}

		ends = ends.filter(([number]) => number > (order.ackSeq ?? 0));
		extendLease(order.deadlineMs);
		if (order.waitMs === undefined || ends.length > 0) {
			send(response, 200, getLists());
			return;
		}

		const wake = () => {
			clearTimeout(timer);
			waiters.delete(wake);
			// What is answered behind a cut doesn't arrive.
			if (!isCutFrom(order.fencingToken)) {
				send(response, 200, getLists());
			}
		};

		const timer = setTimeout(wake, Math.min(maxWaitMs, order.waitMs));
		waiters.add(wake);
	}

	function handle(request, response, text) {
		if (request.method === 'GET') {
			send(response, 200, {});
			return;
		}

		if (request.headers['target-instance'] !== id) {
			send(response, 421, {clockMs: getClockMs()});
			return;
		}

		const order = JSON.parse(text);
		if (isCutFrom(order.fencingToken)) {
			return;
		}

		onOrder?.(order);
		if (request.url === '/api/hold') {
			hold(order, response);
		} else {
			const {status, reason} = request.url === '/api/run-start' ? start(order) : stop(order);
			send(response, status, {clockMs: getClockMs(), reason});
		}
	}

	const server = createServer((request, response) => {
		const chunks = [];
		request.on('data', chunk => {
			chunks.push(chunk);
		});
		request.once('end', () => {
			handle(request, response, chunks.join(''));
		});
	});
	await new Promise(resolve => {
		server.listen(0, host, resolve);
	});
	const {port} = server.address();

	async function sendHeartbeat() {
		sequence++;
		const body = {
			service,
			address: `${host}:${port}`,
			zone,
			version: 'v1',
			slots: 8,
			state: 'ready',
			coldRemainingMs: 0,
			capacity,
			labels,
			clockMs: getClockMs(),
			seqNo: sequence,
			born: bornMs,
		};
		const ordered = [...keepers.filter(keeper => keeper.zone === zone), ...keepers.filter(keeper => keeper.zone !== zone && !isCutFrom())];
		for (const keeper of ordered) {
			// eslint-disable-next-line no-await-in-loop -- The next machine is called after a failure.
			const {status} = await call({
				host: keeper.host, port: keeper.control, method: 'PUT', path: `/api/instances/${id}`, body, timeoutMs: heartbeatTimeoutMs,
			});
			if (isClosed || (status >= 200 && status < 300)) {
				return;
			}
		}
	}

	const timer = setInterval(sendHeartbeat, heartbeatIntervalMs);
	setImmediate(sendHeartbeat);

	return {
		id,
		zone,
		close() {
			isClosed = true;
			clearInterval(timer);
			clearTimeout(leaseTimer);
			for (const {timer: runTimer} of runs.values()) {
				clearTimeout(runTimer);
			}

			server.close();
			server.closeAllConnections();
		},
	};
}

function send(response, status, body) {
	const text = JSON.stringify(body);
	response.writeHead(status, {'content-type': 'application/json', 'content-length': text.length});
	response.end(text);
}
