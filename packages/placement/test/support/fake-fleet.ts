import type {TimerService} from '@camphortack/core';
import {
	BackendServerClient, type BackendServerDescription, type StartStopResponse, type RequestTarget, type RenewResponse,
	type RenewRequest, type StartRequest, type StopRequest, type UnansweredResponse,
} from '../../src/index.js';
import {createFakeProtocol} from './fake-protocol.js';
import type {FakeServer, RunRecord} from './fake-server.js';
import {findOverlaps} from './find-overlaps.js';

export type FakeFleetOptions = {
	timers: TimerService;
	serverCount: number;
	cpuMillicores?: number;
	availabilityZones?: readonly string[];
	/** Gets the run time of a task. */
	getDurationMs?: (taskName: string, payload: string) => number;
	/** Gets the factor on the run time of a task on a backend server, from its speed and the distance to the data. */
	getRunFactor?: (taskName: string, server: BackendServerDescription) => number;
	/** Gets the CPU that a task uses. */
	getMillicores?: (taskName: string) => number;
	delayMs?: number;
	stopMs?: number;
	/** Gets after which time a delayed request takes effect. */
	getRequestDelayMs?: () => number;
	/** Whether the clock of a backend server starts anew with each incarnation. */
	isClockReset?: boolean;
	/** Whether a task crashes each backend server that starts it. */
	isDeadly?: (taskName: string) => boolean;
	/** Called with each incarnation that has started in place of a crashed one. */
	onRestart?: (server: FakeServer) => void;
	/** The time after which a crashed backend server is back. */
	restartMs?: number;
	/** Whether a crashed backend server does not respond until it is back, as when its VM loses power, in place of refusing connections. */
	isCrashSilent?: boolean;
	/** Called with each start request, copies included, when it is sent. */
	onStartRequest?: (server: FakeServer, taskName: string) => void;
};

/** The time between the start of a task that crashes its backend server and the crash. */
const crashDelayMs = 8;

const delayedRequestMs = 2000;

type Handler<T> = (server: FakeServer, respond: (value: T) => void) => void;

/** Backend servers in virtual time that implement the platform's protocol: fencing tokens, leases and numbered ends. */
export type FakeFleet = {
	servers: FakeServer[];
	records: RunRecord[];
	/** The crashes of processes, and the tasks that caused them. */
	crashes: Array<{serverId: string; taskName: string | undefined; atMs: number}>;
	/** The targets whose connections daemons have closed. */
	disconnections: Array<{host: string; serverId: string}>;
	/** Gets the client that a daemon uses. */
	getClient(daemonId: string): BackendServerClient;
	getDescriptions(): BackendServerDescription[];
	/** Gets the pairs of overlapping runs of the same task. */
	findOverlaps(): Array<[RunRecord, RunRecord]>;
	/** Ends a backend server without a word: its runs are gone, and it no longer responds. */
	crash(serverId: string): void;
	/** Ends the process of a backend server, so that connections to it are refused. */
	crashProcess(serverId: string): void;
	/** Refuses connections to a backend server for some time and breaks those that exist; its process and its runs go on. */
	refuseConnections(serverId: string, durationMs: number): void;
	/** Gets the highest ratio of used to available CPU that any backend server has reached. */
	getPeakUtilization(): number;
};

/**
 * Creates the fleet.
 * @param options - The clock and the size of the fleet.
 */
export function createFakeFleet(options: FakeFleetOptions): FakeFleet {
	const {timers, serverCount, cpuMillicores = 64_000, availabilityZones = ['north'], delayMs = 0.5, stopMs = 20, restartMs = 3000} = options;
	const getMillicores = options.getMillicores ?? (() => 27_000);
	const getDurationMs = options.getDurationMs ?? (() => 100);
	const getRunFactor = options.getRunFactor ?? (() => 1);
	const records: RunRecord[] = [];
	const crashes: FakeFleet['crashes'] = [];
	const disconnections: FakeFleet['disconnections'] = [];
	let peakUtilization = 0;

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
		clockOriginMs: 0,
		pendingRenewals: new Set(),
		breakConnections: new Set(),
	}));

	const protocol = createFakeProtocol({
		timers, records, getDurationMs, getRunFactor, stopMs, onStart: handleStart,
	});

	function getServer({serverId}: RequestTarget): FakeServer {
		return servers.find(server => server.description.id === serverId)!;
	}

	function handleStart(server: FakeServer, record: RunRecord): void {
		recordUsage(server);
		if (options.isDeadly?.(record.taskName)) {
			timers.addTimer(crashDelayMs, () => {
				if (server.runs.get(record.taskName)?.record === record) {
					crashProcess(server, record.taskName);
				}
			});
		}
	}

	function recordUsage(server: FakeServer): void {
		let use = 0;
		for (const {record} of server.runs.values()) {
			use += getMillicores(record.taskName);
		}

		peakUtilization = Math.max(peakUtilization, use / server.description.cpuMillicores);
	}

	function breakConnections(server: FakeServer): void {
		for (const breakConnection of server.breakConnections) {
			breakConnection();
		}
	}

	/** Counts the crashes of a backend server, so that a delayed request does not reach a later incarnation. */
	function countCrashes({description}: FakeServer): number {
		return crashes.filter(({serverId}) => serverId === description.id).length;
	}

	/** Ends the runs of a backend server and its process; a new incarnation starts some seconds later at the same address. */
	function crashProcess(server: FakeServer, taskName?: string): void {
		crashes.push({serverId: server.description.id, taskName, atMs: timers.getNowMs()});
		for (const {record} of server.runs.values()) {
			record.endedAtMs = timers.getNowMs();
		}

		server.runs.clear();
		const {fault} = server;
		if (options.isCrashSilent) {
			server.fault = {...fault, isUnreachableFrom: () => true};
		} else {
			server.fault = {...fault, isRefusing: true};
			breakConnections(server);
		}

		timers.addTimer(restartMs, () => {
			Object.assign(server, {
				description: {...server.description, bornMs: server.description.bornMs + 1, sequence: 1},
				fault: options.isCrashSilent ? fault : {...server.fault, isRefusing: false},
				ends: [],
				endCount: 0,
				highestToken: 0,
				highestRuns: new Map(),
				leaseEndMs: 0,
				clockOriginMs: options.isClockReset ? timers.getNowMs() : server.clockOriginMs,
			});
			options.onRestart?.(server);
		});
	}

	/**
	 * Delivers a request and its response. If the backend server is unreachable or the request delayed, the call times
	 * out.
	 */
	async function call<T>(daemonId: string, target: RequestTarget, timeoutMs: number, handler: Handler<T>): Promise<T | UnansweredResponse> {
		const server = getServer(target);
		const isUnreachable = () => target.host !== server.description.host || (server.fault.isUnreachableFrom?.(daemonId) ?? false);
		return new Promise(resolve => {
			const breakConnection = () => {
				server.breakConnections.delete(breakConnection);
				resolve({outcome: 'unanswered', reason: 'the connection was closed'});
			};

			timers.addTimer(timeoutMs, () => {
				server.breakConnections.delete(breakConnection);
				resolve({outcome: 'unanswered', reason: 'no response in time'});
			});
			timers.addTimer(delayMs, () => {
				if (server.fault.isRefusing) {
					resolve({outcome: 'unanswered', reason: 'the connection was refused', isRefused: true});
					return;
				}

				server.breakConnections.add(breakConnection);
				if (server.fault.isRequestDelayed?.()) {
					const crashCount = countCrashes(server);
					timers.addTimer(options.getRequestDelayMs?.() ?? delayedRequestMs, () => {
						if (countCrashes(server) === crashCount) {
							handler(server, () => {
								// The call has timed out.
							});
						}
					});
				} else if (!isUnreachable()) {
					handler(server, value => {
						timers.addTimer(delayMs, () => {
							if (!isUnreachable()) {
								server.breakConnections.delete(breakConnection);
								resolve(value);
							}
						});
					});
				}
			});
		});
	}

	function getClient(daemonId: string): BackendServerClient {
		return new class extends BackendServerClient {
			override async start(target: RequestTarget, request: StartRequest, timeoutMs: number): Promise<StartStopResponse> {
				options.onStartRequest?.(getServer(target), request.taskName);
				return call<StartStopResponse>(daemonId, target, timeoutMs, (server, respond) => {
					if (server.fault.startDelayMs === undefined) {
						respond(protocol.start(server, request, daemonId));
					} else {
						timers.addTimer(server.fault.startDelayMs, () => {
							protocol.start(server, request, daemonId);
						});
					}
				});
			}

			override async stop(target: RequestTarget, request: StopRequest, timeoutMs: number): Promise<StartStopResponse> {
				return call<StartStopResponse>(daemonId, target, timeoutMs, (server, respond) => {
					respond(protocol.stop(server, request));
				});
			}

			override async renew(target: RequestTarget, request: RenewRequest, timeoutMs: number): Promise<RenewResponse> {
				return call<RenewResponse>(daemonId, target, timeoutMs, (server, respond) => {
					protocol.renew(server, request, respond);
				});
			}

			override disconnect({host, serverId}: RequestTarget): void {
				disconnections.push({host, serverId});
			}
		}();
	}

	return {
		servers,
		records,
		getClient,
		getDescriptions: () => servers.map(server => server.description),
		findOverlaps: () => findOverlaps(records, timers.getNowMs()),
		crash(serverId) {
			const server = servers.find(({description}) => description.id === serverId)!;
			server.fault = {isUnreachableFrom: () => true};
			for (const {record} of server.runs.values()) {
				record.endedAtMs = timers.getNowMs();
			}

			server.runs.clear();
		},
		crashProcess(serverId) {
			crashProcess(servers.find(({description}) => description.id === serverId)!);
		},
		refuseConnections(serverId, durationMs) {
			const server = servers.find(({description}) => description.id === serverId)!;
			const {fault} = server;
			server.fault = {...fault, isRefusing: true};
			breakConnections(server);
			timers.addTimer(durationMs, () => {
				server.fault = fault;
			});
		},
		crashes,
		disconnections,
		getPeakUtilization: () => peakUtilization,
	};
}
