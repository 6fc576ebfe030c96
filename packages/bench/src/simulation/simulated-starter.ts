import type {
	BackendServerAnnouncement, TaskStart, TaskStartBatch, TimerService,
} from '@camphortack/core';
import {TaskStarter, type TaskEvent} from '@camphortack/dispatch';
import type {SimulatedFleet, SimulatedServer} from './simulated-fleet.js';

/** Starts tasks on simulated backend servers, with the network latency in both directions. */
export class SimulatedStarter extends TaskStarter {
	onEvent?: (event: TaskEvent) => void;
	/** Whether the daemon's process has stopped: it starts no tasks and receives no answers. */
	isStopped = false;
	readonly #timers: TimerService;
	readonly #fleet: SimulatedFleet;
	readonly #getLatencyMs: (availabilityZone: string) => number;

	constructor(timers: TimerService, fleet: SimulatedFleet, getLatencyMs: (availabilityZone: string) => number) {
		super();
		this.#timers = timers;
		this.#fleet = fleet;
		this.#getLatencyMs = getLatencyMs;
	}

	override start({id}: BackendServerAnnouncement, batch: TaskStartBatch): void {
		if (this.isStopped) {
			return;
		}

		const server = this.#fleet.getServer(id);
		this.#timers.addTimer(this.#getLatencyMs(server.availabilityZone), () => {
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
		// Simulated tasks cannot be stopped; they run to completion.
	}

	#run(server: SimulatedServer, {attempt, payload, job, index}: TaskStart): void {
		const isAccepted = this.#fleet.tryRun(server, Number(payload), isDone => {
			this.#sendAnswer(server, isDone ? {attempt, state: 'done', result: null} : {attempt, state: 'error', message: 'failed'});
		});
		if (isAccepted) {
			this.#fleet.countStart(`${job}/${index}`);
		} else {
			this.#sendAnswer(server, {attempt, state: 'not-run', reason: 'no free slot'});
		}
	}

	#sendAnswer(server: SimulatedServer, answer: Extract<TaskEvent, {kind: 'answer'}>['answer']): void {
		this.#timers.addTimer(this.#getLatencyMs(server.availabilityZone), () => {
			if (this.isStopped) {
				return;
			}

			this.onEvent?.({kind: 'answer', backendServerId: server.id, answer});
		});
	}
}
