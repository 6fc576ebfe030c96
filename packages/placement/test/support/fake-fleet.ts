import type {TimerService} from '@camphortack/core';
import {
	BackendServerClient, type BackendServerDescription, type EndedRun, type StartStopResponse, type RequestTarget, type RenewResponse,
	type RenewRequest, type StartRequest, type StopRequest,
} from '../../src/index.js';

/** One run as the fleet saw it, for checks. */
export type RunRecord = {
	taskName: string;
	runNumber: number;
	serverId: string;
	startedAtMs: number;
	endedAtMs: number | undefined;
	how: EndedRun['outcome'] | undefined;
	daemonId: string;
};

type FakeRun = {
	record: RunRecord;
	durationMs: number;
};

/** How a fake backend server misbehaves. */
export type FakeFault = {
	/** Neither orders nor answers get through, for these daemons or for all. */
	isUnreachableFrom?: (daemonId: string) => boolean;
	/** Factor on run times; infinite makes tasks stand still. */
	slowdownFactor?: number;
	failsAllTasks?: boolean;
	/** Starts get no answer and are carried out after this time. */
	startDelayMs?: number;
	/** Says of each order, whatever it asks for, whether it gets no answer and is carried out two seconds later. */
	isRequestDelayed?: () => boolean;
};

export type FakeServer = {
	description: BackendServerDescription;
	fault: FakeFault;
	runs: Map<string, FakeRun>;
	ends: EndedRun[];
	endCount: number;
	highestToken: number;
	highestRuns: Map<string, number>;
	leaseEndMs: number;
	waiters: Set<() => void>;
};

export type FakeFleetOptions = {
	timers: TimerService;
	serverCount: number;
	cpuMillicores?: number;
	availabilityZones?: readonly string[];
	/** How long a task runs, from its payload. */
	getDurationMs?: (taskName: string, payload: string) => number;
	/** What a task takes. */
	getMillicores?: (taskName: string) => number;
	delayMs?: number;
	stopMs?: number;
};

const lateOrderMs = 2000;

type Unanswered = {outcome: 'unanswered'; reason: string};
type Act<T> = (server: FakeServer, answer: (value: T) => void) => void;

/** Backend servers in virtual time that keep the platform's contract: tokens, leases, numbered ends. */
export type FakeFleet = {
	servers: FakeServer[];
	records: RunRecord[];
	/** Gets the orders as one daemon gives them. */
	getClient(daemonId: string): BackendServerClient;
	getDescriptions(): BackendServerDescription[];
	/** Gets the pairs of runs of one task that overlapped. */
	findOverlaps(): Array<[RunRecord, RunRecord]>;
	/** The most cores that were taken on one backend server, against its own. */
	getPeakUtilization(): number;
};

/**
 * Creates the fleet.
 * @param options - Its size and clock.
 */
export function createFakeFleet(options: FakeFleetOptions): FakeFleet {
	const {timers, serverCount, cpuMillicores = 64_000, availabilityZones = ['north'], delayMs = 0.5, stopMs = 20} = options;
	const getMillicores = options.getMillicores ?? (() => 27_000);
	const getDurationMs = options.getDurationMs ?? (() => 100);
	const records: RunRecord[] = [];
	let highestUse = 0;

	const servers = Array.from({length: serverCount}, (_, position): FakeServer => ({
		description: {
			id: `server-${position}`,
			bornMs: 1,
			sequence: 1,
			service: 'quotes',
			host: `server-${position}`,
			port: 80,
			availabilityZone: availabilityZones[position % availabilityZones.length]!,
			state: 'ready',
			slotCount: 8,
			cpuMillicores,
			memoryMb: 1_000_000,
			gpuCount: 0,
			labels: ['a', 'rack-1'],
		},
		fault: {},
		runs: new Map(),
		ends: [],
		endCount: 0,
		highestToken: 0,
		highestRuns: new Map(),
		leaseEndMs: 0,
		waiters: new Set(),
	}));

	function getServer({serverId}: RequestTarget): FakeServer {
		return servers.find(server => server.description.id === serverId)!;
	}

	function endRun(server: FakeServer, taskName: string, how: EndedRun['outcome']): void {
		const run = server.runs.get(taskName);
		if (run === undefined) {
			return;
		}

		server.runs.delete(taskName);
		run.record.endedAtMs = timers.getNowMs();
		run.record.how = how;
		server.endCount++;
		server.ends.push({
			endNumber: server.endCount, taskName, runNumber: run.record.runNumber, outcome: how,
		});
		for (const wake of server.waiters) {
			wake();
		}
	}

	function extendLease(server: FakeServer, leaseEndMs: number): void {
		server.leaseEndMs = Math.max(server.leaseEndMs, Math.min(leaseEndMs, timers.getNowMs() + 1000));
		timers.addTimer(server.leaseEndMs - timers.getNowMs() + 0.01, () => {
			if (timers.getNowMs() >= server.leaseEndMs) {
				for (const taskName of server.runs.keys()) {
					endRun(server, taskName, 'lapsed');
				}
			}
		});
	}

	function start(server: FakeServer, order: StartRequest, daemonId: string): StartStopResponse {
		const clockMs = timers.getNowMs();
		if (order.token < server.highestToken) {
			return {outcome: 'rejected', reason: 'fenced', clockMs};
		}

		server.highestToken = order.token;
		if (order.leaseEndMs <= clockMs) {
			return {outcome: 'rejected', reason: 'lease-over', clockMs};
		}

		extendLease(server, order.leaseEndMs);
		if (server.runs.get(order.taskName)?.record.runNumber === order.runNumber) {
			return {outcome: 'accepted', clockMs};
		}

		if (order.runNumber <= (server.highestRuns.get(order.taskName) ?? 0)) {
			return {outcome: 'rejected', reason: 'old-run', clockMs};
		}

		addRun(server, order, daemonId);
		return {outcome: 'accepted', clockMs};
	}

	function addRun(server: FakeServer, {taskName, runNumber, payload}: StartRequest, daemonId: string): void {
		const record: RunRecord = {
			taskName, runNumber, serverId: server.description.id, startedAtMs: timers.getNowMs(), endedAtMs: undefined, how: undefined, daemonId,
		};
		const durationMs = getDurationMs(taskName, payload) * (server.fault.slowdownFactor ?? 1);
		records.push(record);
		server.runs.set(taskName, {record, durationMs});
		server.highestRuns.set(taskName, runNumber);
		noteUse(server);
		if (Number.isFinite(durationMs)) {
			timers.addTimer(durationMs, () => {
				if (server.runs.get(taskName)?.record === record) {
					endRun(server, taskName, server.fault.failsAllTasks ? 'failed' : 'done');
				}
			});
		}
	}

	function noteUse(server: FakeServer): void {
		let use = 0;
		for (const {record} of server.runs.values()) {
			use += getMillicores(record.taskName);
		}

		highestUse = Math.max(highestUse, use / server.description.cpuMillicores);
	}

	function stop(server: FakeServer, {taskName, runNumber, token}: StopRequest): StartStopResponse {
		const clockMs = timers.getNowMs();
		if (token < server.highestToken) {
			return {outcome: 'rejected', reason: 'fenced', clockMs};
		}

		server.highestToken = token;
		server.highestRuns.set(taskName, Math.max(runNumber, server.highestRuns.get(taskName) ?? 0));
		timers.addTimer(stopMs, () => {
			if (server.runs.get(taskName)?.record.runNumber === runNumber) {
				endRun(server, taskName, 'stopped');
			}
		});
		return {outcome: 'accepted', clockMs};
	}

	function renew(server: FakeServer, order: RenewRequest, answer: (value: RenewResponse) => void): void {
		if (order.token < server.highestToken) {
			answer({outcome: 'rejected', reason: 'fenced'});
			return;
		}

		server.highestToken = order.token;
		server.ends = server.ends.filter(end => end.endNumber > order.acknowledgedEndNumber);
		if (order.leaseEndMs !== undefined) {
			extendLease(server, order.leaseEndMs);
		}

		if (order.waitMs === undefined || server.ends.length > 0) {
			answer(getLists(server));
			return;
		}

		const wake = () => {
			server.waiters.delete(wake);
			timer.cancel();
			answer(getLists(server));
		};

		const timer = timers.addTimer(order.waitMs, wake);
		server.waiters.add(wake);
	}

	function getLists(server: FakeServer): RenewResponse {
		const nowMs = timers.getNowMs();
		return {
			outcome: 'accepted',
			clockMs: nowMs,
			bornMs: server.description.bornMs,
			activeRuns: [...server.runs.values()].map(({record, durationMs}) => ({
				taskName: record.taskName,
				runNumber: record.runNumber,
				percent: Math.floor((nowMs - record.startedAtMs) / durationMs * 100),
			})),
			endedRuns: [...server.ends],
		};
	}

	/** Carries an order there and its answer back; on a cut, or late, nothing comes back in time. */
	async function call<T>(daemonId: string, target: RequestTarget, timeoutMs: number, act: Act<T>): Promise<T | Unanswered> {
		const server = getServer(target);
		const isCut = () => server.fault.isUnreachableFrom?.(daemonId) ?? false;
		return new Promise(resolve => {
			timers.addTimer(timeoutMs, () => {
				resolve({outcome: 'unanswered', reason: 'no answer in time'});
			});
			timers.addTimer(delayMs, () => {
				if (server.fault.isRequestDelayed?.()) {
					timers.addTimer(lateOrderMs, () => {
						act(server, () => {
							// Nobody waits any more.
						});
					});
				} else if (!isCut()) {
					act(server, value => {
						timers.addTimer(delayMs, () => {
							if (!isCut()) {
								resolve(value);
							}
						});
					});
				}
			});
		});
	}

	function getOrders(daemonId: string): BackendServerClient {
		return new class extends BackendServerClient {
			override async start(target: RequestTarget, order: StartRequest, timeoutMs: number): Promise<StartStopResponse> {
				return call<StartStopResponse>(daemonId, target, timeoutMs, (server, answer) => {
					if (server.fault.startDelayMs === undefined) {
						answer(start(server, order, daemonId));
					} else {
						timers.addTimer(server.fault.startDelayMs, () => {
							start(server, order, daemonId);
						});
					}
				});
			}

			override async stop(target: RequestTarget, order: StopRequest, timeoutMs: number): Promise<StartStopResponse> {
				return call<StartStopResponse>(daemonId, target, timeoutMs, (server, answer) => {
					answer(stop(server, order));
				});
			}

			override async renew(target: RequestTarget, order: RenewRequest, timeoutMs: number): Promise<RenewResponse> {
				return call<RenewResponse>(daemonId, target, timeoutMs, (server, answer) => {
					renew(server, order, answer);
				});
			}

			override disconnect(): void {
				// There are no connections.
			}
		}();
	}

	return {
		servers,
		records,
		getClient: getOrders,
		getDescriptions: () => servers.map(server => server.description),
		findOverlaps: () => findOverlaps(records, timers.getNowMs()),
		getPeakUtilization: () => highestUse,
	};
}

function findOverlaps(records: readonly RunRecord[], nowMs: number): Array<[RunRecord, RunRecord]> {
	const overlaps: Array<[RunRecord, RunRecord]> = [];
	const byTask = new Map<string, RunRecord[]>();
	for (const record of records) {
		byTask.set(record.taskName, [...(byTask.get(record.taskName) ?? []), record]);
	}

	for (const runs of byTask.values()) {
		const sorted = runs.toSorted((left, right) => left.startedAtMs - right.startedAtMs);
		for (const [position, run] of sorted.entries()) {
			const next = sorted[position + 1];
			if (next !== undefined && next.startedAtMs < (run.endedAtMs ?? nowMs)) {
				overlaps.push([run, next]);
			}
		}
	}

	return overlaps;
}
