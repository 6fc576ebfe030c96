import {ProcessTimers} from '@camphortack/testkit';

/** The timers of one VM: its clock runs a little fast or slow, nothing runs while it is paused, and nothing after a stop. */
export class NodeTimers extends ProcessTimers {
	#isStopped = false;

	override run(step: () => void): void {
		super.run(() => {
			if (!this.#isStopped) {
				step();
			}
		});
	}

	stop(): void {
		this.#isStopped = true;
	}
}
