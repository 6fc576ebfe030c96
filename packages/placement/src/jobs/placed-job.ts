import type {SizePlace} from '../queue/get-size-place.js';
import type {BackendSession} from '../sessions/backend-session.js';
import type {TaskNeeds} from '../sessions/run.js';
import type {StepEstimate} from './get-step-estimates.js';
import type {HandoverSource} from './job-handover.js';
import type {JobRequest, JobStep} from './job-request.js';
import {getTaskName} from './task-name.js';
import type {WaitingSubmissions} from './waiting-submissions.js';

export type PlacedTask = {
	readonly name: string;
	readonly step: number;
	readonly needs: TaskNeeds;
	/** The expected run time on a nominal backend server near the data. */
	readonly expectedMs: number;
	/** The expected run time of the longest chain of steps after it. */
	readonly followingMs: number;
	state: 'waiting' | 'running' | 'done';
	session: BackendSession | undefined;
	/** The number of the last run. */
	runNumber: number;
	failureCount: number;
	/** Backend servers that the task is not placed on again, because it failed, was too slow or could not start there. */
	readonly avoidedServerIds: Set<string>;
	startedAtMs: number;
	/** Duration of the successful run, without what the distance to the data added. */
	durationMs: number | undefined;
	/** Whether an earlier placer started the run, so that its start time is not known. */
	isAdopted: boolean;
	/** Number of runs that were stopped because they were slow. */
	slowRunCount: number;
	/** Since when the task has waited for a place near its data; undefined if it has not. */
	nearWaitSinceMs: number | undefined;
	/** Since when the task has waited for a place apart from others that have just started; undefined if it has not. */
	trialWaitSinceMs: number | undefined;
};

/** A job that the placer has accepted. */
export type PlacedJob = {
	readonly request: JobRequest;
	/** The submission that the placer answers for: the one that created the job, or handed it over later. */
	submissionId: string;
	/** The entry daemon that receives the result: the one of the latest submission that waits for it. */
	entryId: string;
	/** The submissions whose callers wait for the result. */
	readonly waiting: WaitingSubmissions;
	readonly arrivedAtMs: number;
	readonly tasks: PlacedTask[];
	readonly objectiveMs: number;
	readonly criticalPathMs: number;
	readonly work: number;
	readonly relativeWork: number;
	readonly sizePlace: SizePlace;
	/** Roughly what it takes at the placer. */
	readonly memoryBytes: number;
	/** Whether this or an earlier placer has sent a start request for a task. */
	hasStarted: boolean;
	isEnded: boolean;
	/** The backend servers of all runs, in the order of their starts. */
	readonly serverIds: string[];
	/** Where the job comes from, one for each entry daemon, while earlier placers may still start its tasks. */
	handovers: readonly HandoverSource[];
	/** When the search for runs of an earlier placer ends; undefined if there is no search. */
	recoveryDeadlineMs: number | undefined;
	/** Whether an entry daemon that is not heard any more has waited for the job: it may have handed the job over to another placer. */
	mayBeElsewhere: boolean;
	/** Whether the job reached the placer as new, and waits because an earlier placer may be running it. */
	isHeld: boolean;
};

/** Number of run numbers of a task reserved for each generation of its job. */
export const runNumbersPerGeneration = 32;

/**
 * Creates the tasks of a job, all in the waiting state.
 * @param request - The job.
 * @param generation - How often the job was submitted to a placer before. Each generation has its own, higher range of run numbers.
 * @param estimates - The estimate of each step.
 */
export function createPlacedTasks(request: JobRequest, generation: number, estimates: readonly StepEstimate[]): PlacedTask[] {
	return request.steps.flatMap((step, position) => Array.from({length: step.taskCount}, (_, index): PlacedTask => ({
		name: getTaskName({
			jobId: request.jobId, occurrence: 0, step: position, index,
		}),
		step: position,
		needs: getTaskNeeds(step),
		...estimates[position]!,
		state: 'waiting',
		session: undefined,
		runNumber: generation * runNumbersPerGeneration,
		failureCount: 0,
		avoidedServerIds: new Set(),
		startedAtMs: 0,
		durationMs: undefined,
		isAdopted: false,
		slowRunCount: 0,
		nearWaitSinceMs: undefined,
		trialWaitSinceMs: undefined,
	})));
}

function getTaskNeeds({cpuMillicores, memoryMb, gpuCount}: JobStep): TaskNeeds {
	return {cpuMillicores, memoryMb, gpuCount};
}

/**
 * Gets the waiting tasks whose dependencies are complete.
 * @param job - The job.
 */
export function getStartableTasks(job: PlacedJob): PlacedTask[] {
	const unfinishedSteps = new Set(job.tasks.filter(task => task.state !== 'done').map(task => task.step));
	const areStepsStartable = job.request.steps.map(({dependsOn}) => dependsOn.every(position => !unfinishedSteps.has(position)));
	return job.tasks.filter(task => task.state === 'waiting' && areStepsStartable[task.step]);
}

/**
 * Whether all tasks of a job are done.
 * @param job - The job.
 */
export function isDone(job: PlacedJob): boolean {
	return job.tasks.every(task => task.state === 'done');
}

/**
 * Whether this placer has started or adopted no task of a job. An earlier placer may have started some.
 * @param job - The job.
 */
export function isUnstarted({serverIds, tasks}: PlacedJob): boolean {
	return serverIds.length === 0 && tasks.every(task => task.state === 'waiting' && !task.isAdopted);
}
