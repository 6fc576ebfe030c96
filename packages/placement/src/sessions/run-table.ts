import type {ActiveRun, EndedRun} from '../ports/backend-server-client.js';
import {getRunEnd} from './get-run-end.js';
import type {
	Run, RunEnd, RunStart, TaskNeeds,
} from './run.js';

/** The known runs on one backend server. */
export type RunTable = {
	getRuns(): ReadonlyMap<string, Run>;
	/** Adds a run whose start request is about to be sent. */
	addRun(start: RunStart): Run;
	/** Whether the table still contains a run. */
	hasRun(run: Run): boolean;
	endRun(run: Run, end: RunEnd): void;
	endAllRuns(end: RunEnd): void;
	/** Processes the ends that the backend server lists, except those processed before. */
	addEnds(endedRuns: readonly EndedRun[]): void;
	/** Gets the number of the last processed end. */
	getAcknowledgedEndNumber(): number;
	/** Updates the progress of the runs that the backend server lists. */
	setProgress(activeRuns: readonly ActiveRun[], clockMs: number): void;
	/** Reconciles the table with the complete list of runs from the response to a claim. */
	reconcile(activeRuns: readonly ActiveRun[], clockMs: number): void;
	getStoppingRuns(): Run[];
	/** Gets the runs that an earlier placer started and whose jobs are not known. */
	getUnknownRuns(): Run[];
	/** Makes an unknown run one of a job that is known now. */
	adoptRun(run: Run, needs: TaskNeeds): void;
	/** Records that the backend server has accepted the stop of a run, so that the run ends whatever lease follows. */
	confirmStop(run: Run): void;
	/** Whether the job of some run is known. */
	hasKnownRuns(): boolean;
	/** Whether a lease may be granted. It lengthens all runs, so there must be no unknown one that may go on. */
	isLeasePermitted(): boolean;
};

/** Callbacks for the changes of a table. */
export type RunTableListener = {
	onRunAdded(run: Run): void;
	/** Called after a run has been removed from the table, and for ends of runs of an earlier placer that were never in it. */
	onRunEnd(run: Run, end: RunEnd): void;
};

/**
 * Creates an empty table.
 * @param getNowMs - Gets the current time.
 * @param listener - Notified of the changes.
 */
export function createRunTable(getNowMs: () => number, listener: RunTableListener): RunTable {
	const runs = new Map<string, Run>();
	/** The unknown runs whose stop has not been accepted. */
	const unsettledRuns = new Set<Run>();
	let acknowledgedEndNumber = 0;

	function endRun(run: Run, end: RunEnd): void {
		unsettledRuns.delete(run);
		if (runs.delete(run.taskName)) {
			listener.onRunEnd(run, end);
		}
	}

	function addRun(run: Run): void {
		runs.set(run.taskName, run);
		listener.onRunAdded(run);
	}

	function createUnknownRun({taskName, runNumber, percent}: ActiveRun): Run {
		return {
			taskName, runNumber, needs: undefined, state: 'running', startedAtMs: getNowMs(), percent, serverStartMs: undefined, serverReportMs: undefined,
		};
	}

	function addUnknownRun(activeRun: ActiveRun): void {
		const run = createUnknownRun(activeRun);
		unsettledRuns.add(run);
		addRun(run);
	}

	function handleListedEnd({taskName, runNumber, outcome}: EndedRun): void {
		const run = runs.get(taskName);
		if (run === undefined) {
			listener.onRunEnd(createUnknownRun({taskName, runNumber, percent: 100}), getRunEnd(outcome));
		} else if (run.runNumber === runNumber) {
			endRun(run, getRunEnd(outcome));
		}
	}

	function setRunProgress(run: Run, percent: number, clockMs: number): void {
		run.percent = percent;
		run.serverReportMs = clockMs;
	}

	return {
		getRuns: () => runs,
		addRun({taskName, runNumber, needs}) {
			const run: Run = {
				taskName, runNumber, needs, state: 'starting', startedAtMs: getNowMs(), percent: 0, serverStartMs: undefined, serverReportMs: undefined,
			};
			addRun(run);
			return run;
		},
		hasRun: run => runs.get(run.taskName) === run,
		endRun,
		endAllRuns(end) {
			for (const run of runs.values()) {
				endRun(run, end);
			}
		},
		addEnds(endedRuns) {
			for (const ended of endedRuns) {
				if (ended.endNumber <= acknowledgedEndNumber) {
					continue;
				}

				acknowledgedEndNumber = ended.endNumber;
				handleListedEnd(ended);
			}
		},
		getAcknowledgedEndNumber: () => acknowledgedEndNumber,
		setProgress(activeRuns, clockMs) {
			for (const {taskName, runNumber, percent} of activeRuns) {
				const run = runs.get(taskName);
				if (run === undefined) {
					continue;
				}

				setRunProgress(run, percent, clockMs);
				if (run.runNumber === runNumber && run.state === 'starting') {
					run.state = 'running';
				}
			}
		},
		reconcile(activeRuns, clockMs) {
			const active = new Map(activeRuns.map(activeRun => [activeRun.taskName, activeRun]));
			for (const run of runs.values()) {
				const found = active.get(run.taskName);
				if (found?.runNumber === run.runNumber) {
					setRunProgress(run, found.percent, clockMs);
					run.state = run.state === 'starting' ? 'running' : run.state;
				} else {
					endRun(run, run.state === 'starting' ? 'unanswered' : 'unlisted');
				}
			}

			for (const activeRun of activeRuns) {
				if (!runs.has(activeRun.taskName)) {
					addUnknownRun(activeRun);
				}
			}
		},
		getStoppingRuns: () => [...runs.values()].filter(run => run.state === 'stopping'),
		getUnknownRuns: () => [...runs.values()].filter(run => run.needs === undefined),
		adoptRun(run, needs) {
			run.needs = needs;
			unsettledRuns.delete(run);
		},
		confirmStop(run) {
			unsettledRuns.delete(run);
		},
		hasKnownRuns: () => [...runs.values()].some(run => run.needs !== undefined),
		isLeasePermitted: () => unsettledRuns.size === 0,
	};
}
