import type {TimerService} from '@camphortack/core';
import type {
	BackendServerDescription, EndedRun, RenewRequest, RenewResponse, StartRequest, StartStopResponse, StopRequest,
} from '../../src/index.js';
import type {FakeServer, RunRecord} from './fake-server.js';

export type FakeProtocolOptions = {
	timers: TimerService;
	/** All runs, to which each new one is added. */
	records: RunRecord[];
	/** Gets the run time of a task. */
	getDurationMs: (taskName: string, payload: string) => number;
	/** Gets the factor on the run time of a task on a backend server. */
	getRunFactor: (taskName: string, server: BackendServerDescription) => number;
	/** The time from a stop request to the end of the run. */
	stopMs: number;
	/** Called with each new run. */
	onStart: (server: FakeServer, record: RunRecord) => void;
};

/** The platform's protocol on the side of the backend servers: fencing tokens, leases and numbered ends. */
export type FakeProtocol = {
	start(server: FakeServer, request: StartRequest, daemonId: string): StartStopResponse;
	stop(server: FakeServer, request: StopRequest): StartStopResponse;
	renew(server: FakeServer, request: RenewRequest, respond: (value: RenewResponse) => void): void;
};

/** The longest lease that a backend server grants. */
const maxLeaseMs = 1000;
/** The time after the end of a lease at which the backend server checks it. */
const leaseCheckDelayMs = 0.01;

/**
 * Creates the protocol.
 * @param options - The clock and the run times.
 */
export function createFakeProtocol({timers, records, getDurationMs, getRunFactor, stopMs, onStart}: FakeProtocolOptions): FakeProtocol {
	function getClockMs(server: FakeServer): number {
		return timers.getNowMs() - server.clockOriginMs;
	}

	function endRun(server: FakeServer, taskName: string, outcome: EndedRun['outcome']): void {
		const run = server.runs.get(taskName);
		if (run === undefined) {
			return;
		}

		server.runs.delete(taskName);
		run.record.endedAtMs = timers.getNowMs();
		run.record.outcome = outcome;
		server.endCount++;
		server.ends.push({
			endNumber: server.endCount, taskName, runNumber: run.record.runNumber, outcome,
		});
		for (const wake of server.pendingRenewals) {
			wake();
		}
	}

	function extendLease(server: FakeServer, leaseEndMs: number): void {
		server.leaseEndMs = Math.max(server.leaseEndMs, Math.min(leaseEndMs, getClockMs(server) + maxLeaseMs));
		timers.addTimer(server.leaseEndMs - getClockMs(server) + leaseCheckDelayMs, () => {
			if (getClockMs(server) >= server.leaseEndMs) {
				for (const taskName of server.runs.keys()) {
					endRun(server, taskName, 'lapsed');
				}
			}
		});
	}

	function start(server: FakeServer, request: StartRequest, daemonId: string): StartStopResponse {
		const clockMs = getClockMs(server);
		if (request.token < server.highestToken) {
			return {outcome: 'rejected', reason: 'fenced', clockMs};
		}

		server.highestToken = request.token;
		if (request.leaseEndMs <= clockMs) {
			return {outcome: 'rejected', reason: 'lease-over', clockMs};
		}

		extendLease(server, request.leaseEndMs);
		if (server.runs.get(request.taskName)?.record.runNumber === request.runNumber) {
			return {outcome: 'accepted', clockMs};
		}

		if (request.runNumber <= (server.highestRuns.get(request.taskName) ?? 0)) {
			return {outcome: 'rejected', reason: 'old-run', clockMs};
		}

		addRun(server, request, daemonId);
		return {outcome: 'accepted', clockMs};
	}

	function addRun(server: FakeServer, {taskName, runNumber, payload, token}: StartRequest, daemonId: string): void {
		const record: RunRecord = {
			taskName, runNumber, serverId: server.description.id, startedAtMs: timers.getNowMs(), endedAtMs: undefined, outcome: undefined, daemonId, token,
		};
		const durationMs = getDurationMs(taskName, payload) * getRunFactor(taskName, server.description) * (server.fault.slowdownFactor ?? 1);
		records.push(record);
		server.runs.set(taskName, {record, durationMs});
		server.highestRuns.set(taskName, runNumber);
		onStart(server, record);
		if (Number.isFinite(durationMs)) {
			timers.addTimer(durationMs, () => {
				if (server.runs.get(taskName)?.record === record) {
					endRun(server, taskName, server.fault.failsAllTasks ? 'failed' : 'done');
				}
			});
		}
	}

	function stop(server: FakeServer, {taskName, runNumber, token}: StopRequest): StartStopResponse {
		const clockMs = getClockMs(server);
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

	function renew(server: FakeServer, request: RenewRequest, respond: (value: RenewResponse) => void): void {
		if (request.token < server.highestToken) {
			respond({outcome: 'rejected', reason: 'fenced'});
			return;
		}

		server.highestToken = request.token;
		server.ends = server.ends.filter(end => end.endNumber > request.acknowledgedEndNumber);
		if (request.leaseEndMs !== undefined) {
			extendLease(server, request.leaseEndMs);
		}

		if (request.waitMs === undefined || server.ends.length > 0) {
			respond(getLists(server));
			return;
		}

		const wake = () => {
			server.pendingRenewals.delete(wake);
			timer.cancel();
			respond(getLists(server));
		};

		const timer = timers.addTimer(request.waitMs, wake);
		server.pendingRenewals.add(wake);
	}

	function getLists(server: FakeServer): RenewResponse {
		const nowMs = timers.getNowMs();
		return {
			outcome: 'accepted',
			clockMs: getClockMs(server),
			bornMs: server.description.bornMs,
			activeRuns: [...server.runs.values()].map(({record, durationMs}) => ({
				taskName: record.taskName,
				runNumber: record.runNumber,
				percent: Math.floor((nowMs - record.startedAtMs) / durationMs * 100),
			})),
			endedRuns: [...server.ends],
		};
	}

	return {start, stop, renew};
}
