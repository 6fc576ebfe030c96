import type {TimerService} from '@camphortack/core';
import type {Limiter} from '@camphortack/policy';
import type {OpenJob} from '../jobs/open-job.js';
import type {Attempt} from '../tasks/attempt.js';

export type OverrunMonitorOptions = {
	timers: TimerService;
	limits: Limiter;
	getRunning: () => Iterable<Attempt>;
	/** Whether this daemon accounts for the limits of the job, rather than the daemon that handed it over. */
	isCharged: (job: OpenJob) => boolean;
	/** Called to abort a job that would exceed a declared limit of worker-seconds. */
	onOverrun: (job: OpenJob) => void;
};

/** Interval between checks of the running tasks; well below the margin that a reservation leaves for stopping a task. */
const checkIntervalMs = 100;
/** The minimum by which a reservation is extended. */
const minExtensionMs = 1000;
const millisecondsPerSecond = 1000;

/**
 * Monitors running tasks that are about to exceed their reservation. The reservation is extended or, if a limit does not
 * allow that, the job is aborted, so that tasks that run longer than expected do not exceed the declared worker-seconds.
 * @param options - The limits and the running attempts.
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

		const extensionMs = Math.max(minExtensionMs, reserved);
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
