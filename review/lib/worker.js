import {createServer} from 'node:http';
import {call, pause} from './call.js';

const maxHoldMs = 1000;
const stopMs = 20;
const heartbeatMs = 1500;
const maxHoldWaitMs = 2000;
const maxListedEnds = 500;

/** The runs, leases and fencing tokens of a worker as the pages describe them, for one life of it. */
function createRuns({id, zone, log, onStart, onEnd}) {
	const bornAtMs = performance.now();
	const active = new Map();
	const highestRuns = new Map();
	const waiting = new Set();
	let finished = [];
	let endCount = 0;
	let fence = 0;
	let leaseEndMs = 0;
	let leaseTimer;

	const getClockMs = () => Math.floor(performance.now() - bornAtMs) + 1000;

	function end(task, how) {
		const run = active.get(task);
		if (run === undefined) {
			return;
		}

		active.delete(task);
		clearTimeout(run.timer);
		endCount++;
		finished.push([endCount, task, run.number, how, '']);
		log('run-ended', {
			worker: id, task, run: run.number, how,
		});
		onEnd({
			worker: id, task, run: run.number, how,
		});
		for (const wake of waiting) {
			wake();
		}
	}

	function extendLease(deadlineMs) {
		if (deadlineMs === undefined) {
			return;
		}

		leaseEndMs = Math.max(leaseEndMs, Math.min(deadlineMs, getClockMs() + maxHoldMs));
		clearTimeout(leaseTimer);
		leaseTimer = setTimeout(() => {
			for (const task of active.keys()) {
				end(task, 'lapsed');
			}
		}, Math.max(0, leaseEndMs - getClockMs()));
	}

	function isFenced({fencingToken = 0}) {
		if (fencingToken < fence) {
			return true;
		}

		fence = fencingToken;
		return false;
	}

	function addRun({task, run, spec}) {
		highestRuns.set(task, run);
		const durationMs = JSON.parse(spec).ms[Number(task.split('.')[2])];
		const timer = setTimeout(() => {
			end(task, 'done');
		}, durationMs);
		active.set(task, {
			number: run, startedAtMs: performance.now(), durationMs, isStopping: false, timer,
		});
		log('run-started', {
			worker: id, zone, task, run, ms: durationMs,
		});
		onStart({
			worker: id, zone, task, run,
		});
	}

	function start(body) {
		if (isFenced(body)) {
			return [409, {reason: 'fence'}];
		}

		if (active.get(body.task)?.number === body.run) {
			extendLease(body.deadlineMs);
			return [200, {}];
		}

		if (body.deadlineMs <= getClockMs()) {
			return [409, {reason: 'late'}];
		}

		extendLease(body.deadlineMs);
		if (body.run <= (highestRuns.get(body.task) ?? 0)) {
			return [409, {reason: 'old'}];
		}

		addRun(body);
		return [200, {}];
	}

	function stop(body) {
		if (isFenced(body)) {
			return [409, {reason: 'fence'}];
		}

		highestRuns.set(body.task, Math.max(body.run, highestRuns.get(body.task) ?? 0));
		const run = active.get(body.task);
		if (run !== undefined && run.number <= body.run && !run.isStopping) {
			run.isStopping = true;
			setTimeout(() => {
				end(body.task, 'stopped');
			}, stopMs);
		}

		return [200, {}];
	}

	async function waitForEnd(waitMs) {
		await new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer);
				waiting.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, Math.min(maxHoldWaitMs, waitMs));
			waiting.add(wake);
		});
	}

	function getPercent({startedAtMs, durationMs}) {
		return Math.min(99, Math.floor((performance.now() - startedAtMs) * 100 / durationMs));
	}

	async function hold(body) {
		if (isFenced(body)) {
			return [409, {reason: 'fence'}];
		}

		extendLease(body.deadlineMs);
		finished = finished.filter(([number]) => number > (body.ackSeq ?? 0));
		if (finished.length === 0 && body.waitMs > 0) {
			await waitForEnd(body.waitMs);
		}

		return [200, {
			active: [...active].map(([task, run]) => [task, run.number, '', getPercent(run)]), finished: finished.slice(0, maxListedEnds),
		}];
	}

	return {
		getClockMs, start, stop, hold,
	};
}

/**
 * Starts a sound worker on a free port. The payload of a job names the run time of the tasks of each of its steps, in
 * milliseconds.
 */
export async function startWorker({id, zone, service, capacity, host = '127.0.0.1', getControls, log, onStart, onEnd}) {
	const born = Date.now();
	const runs = createRuns({
		id, zone, log, onStart, onEnd,
	});
	const state = {
		isClosed: false, seqNo: 0, control: Math.floor(Math.random() * 100),
	};

	async function handle(request, body) {
		if (request.headers['target-instance'] !== id) {
			return [421, {}];
		}

		switch (request.url) {
			case '/api/run-start': {
				return runs.start(body);
			}

			case '/api/run-stop': {
				return runs.stop(body);
			}

			case '/api/hold': {
				return runs.hold(body);
			}

			default: {
				return [404, {}];
			}
		}
	}

	const server = createServer({keepAliveTimeout: 60_000}, (request, response) => {
		const chunks = [];
		request.on('data', chunk => {
			chunks.push(chunk);
		});
		request.once('end', async () => {
			if (request.url === '/health') {
				response.end('{}');
				return;
			}

			const [status, body] = await handle(request, JSON.parse(chunks.join('')));
			response.writeHead(status, {'content-type': 'application/json'});
			response.end(JSON.stringify({clockMs: runs.getClockMs(), born, ...body}));
		});
	});
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(0, host, resolve);
	});

	/** Sends a heartbeat to one daemon after the other until one acknowledges it. */
	async function sendHeartbeat() {
		const controls = getControls();
		while (!state.isClosed) {
			state.seqNo++;
			// eslint-disable-next-line no-await-in-loop -- The next daemon is called after a failure.
			const {status} = await call({
				...controls[state.control % controls.length],
				method: 'PUT',
				path: `/api/instances/${id}`,
				timeoutMs: 1000,
				body: {
					service,
					address: `${host}:${server.address().port}`,
					zone,
					version: 'v1',
					slots: 8,
					state: 'ready',
					coldRemainingMs: 0,
					capacity,
					labels: ['a', `rack-${zone}`],
					clockMs: runs.getClockMs(),
					seqNo: state.seqNo,
					born,
				},
			});
			if (status === 200) {
				return;
			}

			state.control++;
			// eslint-disable-next-line no-await-in-loop -- A short pause.
			await pause(50);
		}
	}

	async function sendHeartbeats() {
		await pause(Math.random() * 500);
		while (!state.isClosed) {
			// eslint-disable-next-line no-await-in-loop -- One heartbeat after the other.
			await sendHeartbeat();
			// eslint-disable-next-line no-await-in-loop -- One heartbeat after the other.
			await pause(heartbeatMs);
		}
	}

	sendHeartbeats(); // eslint-disable-line @typescript-eslint/no-floating-promises -- It ends with the worker.
	return {
		id,
		zone,
		close() {
			state.isClosed = true;
			server.closeAllConnections();
			server.close();
		},
	};
}
