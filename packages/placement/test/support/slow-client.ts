import type {TimerService} from '@camphortack/core';
import {
	BackendServerClient, type RenewRequest, type RenewResponse, type RequestTarget, type StartRequest, type StartStopResponse, type StopRequest,
} from '../../src/index.js';

/** Processor time of a request, in milliseconds. */
export type RequestCost = {
	/** On a new connection. */
	firstMs: number;
	/** On an open connection. */
	laterMs: number;
};

/** A client on a VM that is short of processor time: it handles one request after the other. A request that times out closes its connection. */
export class SlowClient extends BackendServerClient {
	readonly #client: BackendServerClient;
	readonly #timers: TimerService;
	readonly #cost: RequestCost;
	readonly #connectedIds = new Set<string>();
	#busyUntilMs = 0;

	constructor(client: BackendServerClient, timers: TimerService, cost: RequestCost) {
		super();
		this.#client = client;
		this.#timers = timers;
		this.#cost = cost;
	}

	override async start(target: RequestTarget, request: StartRequest, timeoutMs: number): Promise<StartStopResponse> {
		return this.#wait(target, timeoutMs, async remainingMs => this.#client.start(target, request, remainingMs));
	}

	override async stop(target: RequestTarget, request: StopRequest, timeoutMs: number): Promise<StartStopResponse> {
		return this.#wait(target, timeoutMs, async remainingMs => this.#client.stop(target, request, remainingMs));
	}

	override async renew(target: RequestTarget, request: RenewRequest, timeoutMs: number): Promise<RenewResponse> {
		return this.#wait(target, timeoutMs, async remainingMs => this.#client.renew(target, request, remainingMs));
	}

	override disconnect(target: RequestTarget): void {
		this.#client.disconnect(target);
	}

	/** Sends a request when the processor is free. One that times out before that has cost its time all the same. */
	async #wait<T>({serverId}: RequestTarget, timeoutMs: number, send: (remainingMs: number) => Promise<T>): Promise<T | {outcome: 'unanswered'; reason: string}> {
		const nowMs = this.#timers.getNowMs();
		const costMs = this.#connectedIds.has(serverId) ? this.#cost.laterMs : this.#cost.firstMs;
		this.#busyUntilMs = Math.max(nowMs, this.#busyUntilMs) + costMs;
		const waitMs = this.#busyUntilMs - nowMs;
		await new Promise<void>(resolve => {
			this.#timers.addTimer(Math.min(waitMs, timeoutMs), resolve);
		});
		if (waitMs >= timeoutMs) {
			this.#connectedIds.delete(serverId);
			return {outcome: 'unanswered', reason: 'no response in time'};
		}

		this.#connectedIds.add(serverId);
		return send(timeoutMs - waitMs);
	}
}
