import type {TimerService} from '@camphortack/core';
import type {PlacedTask} from '../jobs/placed-job.js';
import type {BackendSession} from '../sessions/backend-session.js';
import type {Run} from '../sessions/run.js';
import type {CrashRegister} from './crash-register.js';
import {maxSuspectAgeMs} from './find-suspect-run.js';

/**
 * Starts tasks under which backend servers have crashed apart from other tasks, so that a further crash points to one task.
 * Such a run is on trial until it is too old to be the cause of a crash.
 */
export type TrialRuns = {
	/** Whether the next run of a task is on trial. */
	isOnTrial(taskName: string): boolean;
	/** Whether no task may start on a backend server, since a run there is on trial. */
	isReserved(session: SessionRuns): boolean;
	/** Gets the backend servers on which a task must not start now. */
	getAvoidedServerIds(task: PlacedTask): ReadonlySet<string>;
};

/** A backend server and its runs. */
type SessionRuns = Pick<BackendSession, 'getDescription' | 'getRuns'>;

export type TrialRunsOptions = {
	timers: TimerService;
	crashRegister: CrashRegister;
	getSessions: () => Iterable<SessionRuns>;
};

/** After this time without a place of its own, a task is started beside others rather than not at all. */
const maxTrialWaitMs = 300;

/**
 * Creates the trials of a placer.
 * @param options - The known crashes and the backend servers.
 */
export function createTrialRuns({timers, crashRegister, getSessions}: TrialRunsOptions): TrialRuns {
	function isNew({startedAtMs}: Run): boolean {
		return timers.getNowMs() - startedAtMs <= maxSuspectAgeMs;
	}

	function mustStartApart({name, trialWaitSinceMs}: PlacedTask): boolean {
		return crashRegister.hasCrashes(name) && (trialWaitSinceMs === undefined || timers.getNowMs() - trialWaitSinceMs < maxTrialWaitMs);
	}

	function hasNewRun(session: SessionRuns): boolean {
		return [...session.getRuns().values()].some(run => isNew(run));
	}

	return {
		isOnTrial: crashRegister.hasCrashes,
		isReserved: session => crashRegister.hasAnyCrashes() && [...session.getRuns().values()].some(run => isNew(run) && crashRegister.hasCrashes(run.taskName)),
		getAvoidedServerIds(task) {
			const {avoidedServerIds} = task;
			if (!mustStartApart(task)) {
				return avoidedServerIds;
			}

			const shared = [...getSessions()].filter(session => hasNewRun(session)).map(session => session.getDescription().id);
			return new Set([...avoidedServerIds, ...shared]);
		},
	};
}
