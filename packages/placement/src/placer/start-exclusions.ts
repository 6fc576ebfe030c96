import type {TrialRuns} from '../crashes/trial-runs.js';
import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import type {ServerRecorder} from '../ports/server-recorder.js';
import type {BackendServerDescription} from '../servers/backend-server-description.js';

/** Tells on which backend servers a task must not start now. It starts only where the next placer would look for its run. */
export type StartExclusions = {
	/** Handles that the placer uses another incarnation, or one less. */
	handleServersChange(): void;
	/** Lets the entry daemons record the backend servers in use, before tasks are placed on them. */
	recordServers(): void;
	getAvoidedServerIds(job: PlacedJob, task: PlacedTask): ReadonlySet<string>;
};

export type StartExclusionsOptions = {
	serverRecorder: ServerRecorder;
	trialRuns: Pick<TrialRuns, 'getAvoidedServerIds'>;
	/** Gets the descriptions of the backend servers in use. */
	getServers: () => Iterable<BackendServerDescription>;
};

/**
 * Creates the exclusions of a placer.
 * @param options - The recorder of the term and the runs on trial.
 *
 * @example
 * ```ts
 * const exclusions = createStartExclusions(options);
 * exclusions.recordServers();
 * exclusions.getAvoidedServerIds(job, task); // the ids of all backend servers, until the entry daemon of the job has recorded them
 * ```
 */
export function createStartExclusions({serverRecorder, trialRuns, getServers}: StartExclusionsOptions): StartExclusions {
	let isRecordCurrent = false;

	return {
		handleServersChange() {
			isRecordCurrent = false;
		},
		recordServers() {
			if (!isRecordCurrent) {
				isRecordCurrent = true;
				serverRecorder.setServers(getServers());
			}
		},
		getAvoidedServerIds(job, task) {
			const avoidedIds = trialRuns.getAvoidedServerIds(task);
			const unrecordedIds = serverRecorder.getUnrecordedIds(job.waiting.getEntries());
			return unrecordedIds.size === 0 ? avoidedIds : new Set([...avoidedIds, ...unrecordedIds]);
		},
	};
}
