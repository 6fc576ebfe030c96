import type {TimerService} from '@camphortack/core';
import type {PlacedTask} from '../jobs/placed-job.js';
import type {CrashRegister} from './crash-register.js';
import {maxSuspectAgeMs} from './find-suspect-run.js';
import {createRecentServers} from './recent-servers.js';

/**
 * Starts tasks to which the crash of a backend server points apart from other tasks, so that a further crash points to one task.
 * Such a run is on trial until it is too old to be the cause of a crash.
 */
export type TrialRuns = {
	/** Whether the next run of a task is on trial. */
	isOnTrial(taskName: string): boolean;
	/** Whether no task may start on a backend server, since a run there is on trial. */
	isReserved(serverId: string): boolean;
	/** Whether a task may start now: runs on trial start one after the other, on whatever backend servers. */
	mayStart(task: PlacedTask): boolean;
	/** Gets the backend servers on which a task must not start now. */
	getAvoidedServerIds(task: PlacedTask): ReadonlySet<string>;
	/** Records the start of a task. */
	addStart(taskName: string, serverId: string): void;
};

/** After this time without a place of its own, a task is started beside others rather than not at all. */
const maxTrialWaitMs = 300;

/**
 * Creates the trials of a placer.
 * @param timers - The clock.
 * @param crashRegister - The known crashes.
 *
 * @example
 * ```ts
 * const trialRuns = createTrialRuns(timers, crashRegister);
 * trialRuns.addStart('suspected.0.0.0', 'server-1');
 * trialRuns.isReserved('server-1'); // true, for 40 ms
 * ```
 */
export function createTrialRuns(timers: TimerService, crashRegister: Pick<CrashRegister, 'isSuspected'>): TrialRuns {
	/** Where runs are still new. */
	const started = createRecentServers(timers, maxSuspectAgeMs);
	const onTrial = createRecentServers(timers, maxSuspectAgeMs);

	function mustStartApart({name, trialWaitSinceMs}: PlacedTask): boolean {
		return crashRegister.isSuspected(name) && (trialWaitSinceMs === undefined || timers.getNowMs() - trialWaitSinceMs < maxTrialWaitMs);
	}

	return {
		isOnTrial: crashRegister.isSuspected,
		isReserved: onTrial.has,
		mayStart: task => !mustStartApart(task) || onTrial.getIds().length === 0,
		getAvoidedServerIds(task) {
			const {avoidedServerIds} = task;
			return mustStartApart(task) ? new Set([...avoidedServerIds, ...started.getIds()]) : avoidedServerIds;
		},
		addStart(taskName, serverId) {
			started.add(serverId);
			if (crashRegister.isSuspected(taskName)) {
				onTrial.add(serverId);
			}
		},
	};
}
