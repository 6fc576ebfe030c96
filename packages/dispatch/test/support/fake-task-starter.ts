import type {
	BackendServerAnnouncement, TaskAnswer, TaskStart, TaskStartBatch, TimerService,
} from '@camphortack/core';
import {TaskStarter, type TaskEvent} from '../../src/index.js';

/** How a fake backend server responds to a task. */
export type FakeBehaviour = (task: TaskStart, server: BackendServerAnnouncement) =>
	{kind: 'done'; afterMs: number}
	| {kind: 'error'; afterMs: number}
	| {kind: 'not-run' | 'connect-refused' | 'connection-lost' | 'silence'};

/** Runs tasks in virtual time and records every start. */
export class FakeTaskStarter extends TaskStarter {
	readonly batches: Array<{serverId: string; batch: TaskStartBatch}> = [];
	readonly stops: Array<{serverId: string; attempts: readonly string[]}> = [];
	/** The number of starts of each task of each job. */
	readonly startsByTask = new Map<string, number>();
	readonly busyByServer = new Map<string, number>();
	maxBusy = 0;
	onEvent?: (event: TaskEvent) => void;
	readonly #timers: TimerService;
	readonly #behave: FakeBehaviour;

	constructor(timers: TimerService, behave: FakeBehaviour = () => ({kind: 'done', afterMs: 100})) {
		super();
		this.#timers = timers;
		this.#behave = behave;
	}

	override start(server: BackendServerAnnouncement, batch: TaskStartBatch): void {
		this.batches.push({serverId: server.id, batch});
		for (const task of batch.tasks) {
			this.#startTask(server, task);
		}
	}

	override stop(server: BackendServerAnnouncement, attempts: readonly string[]): void {
		this.stops.push({serverId: server.id, attempts});
	}

	#startTask(server: BackendServerAnnouncement, task: TaskStart): void {
		const behaviour = this.#behave(task, server);
		const {attempt} = task;
		const backendServerId = server.id;
		if (behaviour.kind === 'connect-refused' || behaviour.kind === 'not-run') {
			const event: TaskEvent = behaviour.kind === 'not-run'
				? {kind: 'answer', backendServerId, answer: {attempt, state: 'not-run', reason: 'busy'}}
				: {kind: 'connect-refused', backendServerId, attempts: [attempt]};
			this.#timers.addTimer(1, () => {
				this.onEvent?.(event);
			});
			return;
		}

		this.#countStart(server.id, task);
		if (behaviour.kind === 'connection-lost') {
			this.#end(server.id, 1, {kind: 'connection-lost', backendServerId, attempts: [attempt]});
		} else if (behaviour.kind === 'done' || behaviour.kind === 'error') {
			const answer: TaskAnswer = behaviour.kind === 'done'
				? {attempt, state: 'done', result: `${task.job}/${task.index}`}
				: {attempt, state: 'error', message: 'failed'};
			this.#end(server.id, behaviour.afterMs, {kind: 'answer', backendServerId, answer});
		}
	}

	#countStart(serverId: string, task: TaskStart): void {
		const key = `${task.job}/${task.index}`;
		this.startsByTask.set(key, (this.startsByTask.get(key) ?? 0) + 1);
		const busy = (this.busyByServer.get(serverId) ?? 0) + 1;
		this.busyByServer.set(serverId, busy);
		this.maxBusy = Math.max(this.maxBusy, busy);
	}

	#end(serverId: string, afterMs: number, event: TaskEvent): void {
		this.#timers.addTimer(afterMs, () => {
			this.busyByServer.set(serverId, this.busyByServer.get(serverId)! - 1);
			this.onEvent?.(event);
		});
	}
}
