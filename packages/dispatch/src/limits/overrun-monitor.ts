import type {TimerService} from '@camphortack/core';
import type {Limiter} from '@camphortack/policy';
import type {OpenJob} from '../jobs/open-job.js';
import type {Attempt} from '../tasks/attempt.js';

export type OverrunMonitorOptions = {
	timers: TimerService;
	limits: Limiter;
	getRunning: () => Iterable<Attempt>;
	/** Whether the limits of the job are accounted here, not at the daemon that handed it over. */
	isCharged: (job: OpenJob) => boolean;
	/** Gives up a job whose task would pass a declared limit of worker-seconds. */
	onOverrun: (job: OpenJob) => void;
};

/** How often the running tasks are looked at; well below the margin that a reservation has for stopping a task. */
const checkIntervalMs = 100;
/** The least that a reservation grows by. */
const smallestExtensionMs = 1000;
const millisecondsPerSecond = 1000;

/**
 * Watches for tasks that outrun what is reserved for them: the reservation grows, or the job is given up, so that the
 * declared worker-seconds are not passed by tasks that run longer than expected.
 * @param options - The limits and what runs.
 */
export function createOverrunMonitor(options: OverrunMonitorOptions): void {
	const {timers, limits} = options;
	const reservedMs = new WeakMap<Attempt, number>();

	function checkAttempt(attempt: Attempt): void {
		const {task} = attempt;
		const reserved = reservedMs.get(attempt) ?? task.queued.expectedRunTimeMs;
		const elapsedMs = timers.getNowMs() - attempt.startedAtMs;
		if (elapsedMs + checkIntervalMs <= reserved || task.job.hasEnded || !options.isCharged(task.job)) {
			return;
		}

		const extensionMs = Math.max(smallestExtensionMs, reserved);
		if (limits.extendTask(task.job.id, extensionMs / millisecondsPerSecond)) {
			reservedMs.set(attempt, reserved + extensionMs);
			return;
		}

		options.onOverrun(task.job);
	}

	timers.addInterval(checkIntervalMs, () => {
		for (const attempt of options.getRunning()) {
			checkAttempt(attempt);
		}
	});
}
