import {ProcessTimers} from '@camphortack/testkit';

/** The timers of one VM. Its clock runs slightly fast or slow, and no callback runs while it is paused or after it is stopped. */
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
