import type {BackendSession} from '../sessions/backend-session.js';
import type {TaskNeeds} from '../sessions/run.js';
import type {JobRequest, JobStep} from './job-request.js';
import {getTaskName} from './task-name.js';

export type PlacedTask = {
	readonly name: string;
	readonly step: number;
	readonly needs: TaskNeeds;
	state: 'waiting' | 'running' | 'done';
	session: BackendSession | undefined;
	/** The number of the last start. */
	runNumber: number;
	failureCount: number;
	/** Backend servers on which the task failed or fell behind. */
	readonly avoidedServerIds: Set<string>;
	startedAtMs: number;
	/** How long the run that ended well took. */
	durationMs: number | undefined;
	/** Whether the run was taken over from an earlier placer, so that its start is not known. */
	isAdopted: boolean;
	/** How often a run was stopped because it was slow. */
	slownessCount: number;
};

/** A job in the hands of the placer. */
export type PlacedJob = {
	readonly request: JobRequest;
	readonly submissionId: string;
	/** The daemon that waits for the result. */
	entryId: string;
	readonly arrivedAtMs: number;
	readonly tasks: PlacedTask[];
	readonly objectiveMs: number;
	readonly longestMs: number;
	readonly work: number;
	readonly relativeWork: number;
	/** Whether a start was sent, here or by an earlier placer. */
	hasStarted: boolean;
	isEnded: boolean;
	/** The backend servers of all starts, in their order. */
	readonly serverIds: string[];
	/** Until when runs of an earlier placer are looked for; undefined once that is over. */
	recoverUntilMs: number | undefined;
};

/** Starts that one placer may make of a task before the numbers of the next placer begin. */
export const runsPerGeneration = 32;

/**
 * Creates the tasks of a job, all of them waiting.
 * @param request - The job.
 * @param generation - How often the job was handed to a placer before; run numbers rise with it.
 */
export function createPlacedTasks(request: JobRequest, generation: number): PlacedTask[] {
	return request.steps.flatMap((step, position) => Array.from({length: step.taskCount}, (_, index): PlacedTask => ({
		name: getTaskName({
			jobId: request.jobId, occurrence: 0, step: position, index,
		}),
		step: position,
		needs: getTaskNeeds(step),
		state: 'waiting',
		session: undefined,
		runNumber: generation * runsPerGeneration,
		failureCount: 0,
		avoidedServerIds: new Set(),
		startedAtMs: 0,
		durationMs: undefined,
		isAdopted: false,
		slownessCount: 0,
	})));
}

function getTaskNeeds({cpuMillicores, memoryMb, gpuCount}: JobStep): TaskNeeds {
	return {cpuMillicores, memoryMb, gpuCount};
}

/**
 * Gets the tasks that wait and whose earlier steps are done.
 * @param job - The job.
 */
export function getStartableTasks(job: PlacedJob): PlacedTask[] {
	const unfinishedSteps = new Set(job.tasks.filter(task => task.state !== 'done').map(task => task.step));
	return job.tasks.filter(task => task.state === 'waiting'
		&& job.request.steps[task.step]!.dependsOn.every(position => !unfinishedSteps.has(position)));
}
