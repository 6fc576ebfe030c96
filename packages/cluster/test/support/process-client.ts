import {
	BackendServerClient, type RenewRequest, type RenewResponse, type RequestTarget, type StartRequest, type StartStopResponse, type StopRequest,
} from '@camphortack/placement';
import type {ProcessTimers} from '@camphortack/testkit';

/** The client of one simulated process: responses that arrive while the process is paused are handled when it resumes. */
export class ProcessClient extends BackendServerClient {
	readonly #client: BackendServerClient;
	readonly #timers: ProcessTimers;

	constructor(client: BackendServerClient, timers: ProcessTimers) {
		super();
		this.#client = client;
		this.#timers = timers;
	}

	override async start(target: RequestTarget, request: StartRequest, timeoutMs: number): Promise<StartStopResponse> {
		return this.#defer(this.#client.start(target, request, timeoutMs));
	}

	override async stop(target: RequestTarget, request: StopRequest, timeoutMs: number): Promise<StartStopResponse> {
		return this.#defer(this.#client.stop(target, request, timeoutMs));
	}

	override async renew(target: RequestTarget, request: RenewRequest, timeoutMs: number): Promise<RenewResponse> {
		return this.#defer(this.#client.renew(target, request, timeoutMs));
	}

	override disconnect(target: RequestTarget): void {
		this.#client.disconnect(target);
	}

	async #defer<T>(response: Promise<T>): Promise<T> {
		const value = await response;
		return new Promise(resolve => {
			this.#timers.run(() => {
				resolve(value);
			});
		});
	}
}
