import type {
	BackendServerAnnouncement, TaskStart, TaskStartBatch, TimerService,
} from '@camphortack/core';
import {TaskStarter, type TaskEvent} from '@camphortack/dispatch';
import type {SimulatedFleet, SimulatedServer} from './simulated-fleet.js';

/** Starts tasks on simulated backend servers, across the network. */
export class SimulatedStarter extends TaskStarter {
	onEvent?: (event: TaskEvent) => void;
	/** Whether the daemon's process is gone: it starts nothing and hears nothing. */
	isStopped = false;
	readonly #timers: TimerService;
	readonly #fleet: SimulatedFleet;
	readonly #latencyMs: (availabilityZone: string) => number;

	constructor(timers: TimerService, fleet: SimulatedFleet, latencyMs: (availabilityZone: string) => number) {
		super();
		this.#timers = timers;
		this.#fleet = fleet;
		this.#latencyMs = latencyMs;
	}

	override start({id}: BackendServerAnnouncement, batch: TaskStartBatch): void {
		if (this.isStopped) {
			return;
		}

		const server = this.#fleet.getServer(id);
		this.#timers.addTimer(this.#latencyMs(server.availabilityZone), () => {
			if (server.fault === 'dead') {
				this.onEvent?.({kind: 'connect-refused', backendServerId: id, attempts: batch.tasks.map(task => task.attempt)});
				return;
			}

			for (const task of batch.tasks) {
				this.#run(server, task);
			}
		});
	}

	override stop(): void {
		// Tasks of the bench run to their end.
	}

	#run(server: SimulatedServer, {attempt, payload, job, index}: TaskStart): void {
		const isRun = this.#fleet.tryRun(server, Number(payload), isDone => {
			this.#answer(server, isDone ? {attempt, state: 'done', result: null} : {attempt, state: 'error', message: 'failed'});
		});
		if (isRun) {
			this.#fleet.countStart(`${job}/${index}`);
		} else {
			this.#answer(server, {attempt, state: 'not-run', reason: 'no free slot'});
		}
	}

	#answer(server: SimulatedServer, answer: Extract<TaskEvent, {kind: 'answer'}>['answer']): void {
		this.#timers.addTimer(this.#latencyMs(server.availabilityZone), () => {
			if (this.isStopped) {
				return;
			}

			this.onEvent?.({kind: 'answer', backendServerId: server.id, answer});
		});
	}
}
