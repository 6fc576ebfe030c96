import type {RandomSource, TimerService} from '@camphortack/core';

/** The fault injected into a backend server. */
export type Fault = 'none' | 'fails-fast' | 'straggler' | 'dead';

export type SimulatedServer = {
	readonly id: string;
	readonly availabilityZone: string;
	readonly slots: number;
	fault: Fault;
	busySlots: number;
	/** The maximum number of tasks that ran concurrently. */
	maxBusySlots: number;
	waiting: Array<() => void>;
};

export type FleetTotals = {
	startedTasks: number;
	refusedTasks: number;
	failedTasks: number;
	/** Failed tasks that started at or after `measureFailuresFromMs`. */
	measuredFailedTasks: number;
	/** All tasks that started at or after `measureFailuresFromMs`. */
	measuredStartedTasks: number;
};

const fastFailureMs = 2;
const stragglerFactor = 4;

/** Simulates backend servers in virtual time and tracks their busy slots. */
export class SimulatedFleet {
	readonly servers: SimulatedServer[] = [];
	/** The number of starts of each task, keyed by `job/index`. */
	readonly startsByTask = new Map<string, number>();
	readonly totals: FleetTotals = {
		startedTasks: 0, refusedTasks: 0, failedTasks: 0, measuredFailedTasks: 0, measuredStartedTasks: 0,
	};

	/** The time from which started and failed tasks count towards the measured totals. */
	measureFailuresFromMs = Infinity;
	readonly #serversById = new Map<string, SimulatedServer>();
	readonly #timers: TimerService;
	readonly #random: RandomSource;

	constructor(timers: TimerService, random: RandomSource) {
		this.#timers = timers;
		this.#random = random;
	}

	addServer(id: string, availabilityZone: string, slots: number): void {
		const server: SimulatedServer = {
			id, availabilityZone, slots, fault: 'none', busySlots: 0, maxBusySlots: 0, waiting: [],
		};
		this.servers.push(server);
		this.#serversById.set(id, server);
	}

	getServer(id: string): SimulatedServer {
		const server = this.#serversById.get(id);
		if (server === undefined) {
			throw new Error(`no backend server "${id}"`);
		}

		return server;
	}

	countStart(task: string): void {
		this.startsByTask.set(task, (this.startsByTask.get(task) ?? 0) + 1);
	}

	/** Runs a task, or refuses it and returns false if no slot is free. */
	tryRun(server: SimulatedServer, runTimeMs: number, onEnd: (isDone: boolean) => void): boolean {
		if (server.busySlots >= server.slots) {
			this.totals.refusedTasks++;
			return false;
		}

		this.#run(server, runTimeMs, onEnd);
		return true;
	}

	/** Runs a task as soon as a slot is free, like a backend server that has its own queue. */
	enqueue(server: SimulatedServer, runTimeMs: number, onEnd: (isDone: boolean) => void): void {
		if (server.busySlots < server.slots) {
			this.#run(server, runTimeMs, onEnd);
		} else {
			server.waiting.push(() => {
				this.#run(server, runTimeMs, onEnd);
			});
		}
	}

	#run(server: SimulatedServer, runTimeMs: number, onEnd: (isDone: boolean) => void): void {
		const isMeasured = this.#timers.getNowMs() >= this.measureFailuresFromMs;
		server.busySlots++;
		server.maxBusySlots = Math.max(server.maxBusySlots, server.busySlots);
		this.totals.startedTasks++;
		this.totals.measuredStartedTasks += isMeasured ? 1 : 0;
		this.#timers.addTimer(this.#getDurationMs(server, runTimeMs), () => {
			const isDone = server.fault !== 'fails-fast';
			this.totals.failedTasks += isDone ? 0 : 1;
			this.totals.measuredFailedTasks += !isDone && isMeasured ? 1 : 0;
			server.busySlots--;
			onEnd(isDone);
			if (server.busySlots < server.slots) {
				server.waiting.shift()?.();
			}
		});
	}

	#getDurationMs(server: SimulatedServer, runTimeMs: number): number {
		if (server.fault === 'fails-fast') {
			return fastFailureMs * (1 + this.#random.getFraction());
		}

		return server.fault === 'straggler' ? runTimeMs * stragglerFactor : runTimeMs;
	}
}
