import type {JobIntake} from '../placer/job-intake.js';
import type {PlacedJob, PlacedTask} from '../jobs/placed-job.js';
import type {BackendServerDescription} from '../servers/backend-server-description.js';
import {findDistanceFactor} from './find-distance-factor.js';
import {getExpectedRunMs} from './get-expected-run-ms.js';
import type {ServerSpeeds} from './server-speeds.js';

/** Records ended runs, and what they show about the speed of backend servers. */
export type RunRecorder = {
	/** Gets the multiple of the nominal rate at which a healthy run of a task progresses on a backend server. */
	getRate(job: PlacedJob, task: PlacedTask, description: BackendServerDescription): number;
	/** Records the successful run of a task that this placer started. */
	addRun(job: PlacedJob, task: PlacedTask, description: BackendServerDescription, durationMs: number): void;
	/** Records the speeds that the runs of a step show, if all its tasks have ended. */
	compareStepIfDone(job: PlacedJob, step: number): void;
};

export type RunRecorderOptions = {
	speeds: ServerSpeeds;
	intake: Pick<JobIntake, 'getExpectedMs'>;
	/** The factor by which a task runs longer on a rack without its data, if it is known. */
	remoteRunFactor: number | undefined;
};

const minRunMs = 1;

/**
 * Creates the recorder. The learned speeds do not affect the estimates of jobs, which follow the actual run times. A step is
 * compared when all its tasks have ended: its fast tasks end first, and comparing only those would overstate the speeds.
 * @param options - The speeds and the estimates.
 */
export function createRunRecorder({speeds, intake, remoteRunFactor}: RunRecorderOptions): RunRecorder {
	function findFactor(job: PlacedJob, task: PlacedTask, {labels}: BackendServerDescription): number | undefined {
		return findDistanceFactor(job.request.steps[task.step]!, labels, remoteRunFactor);
	}

	function getRate(job: PlacedJob, task: PlacedTask, description: BackendServerDescription): number {
		return speeds.getSpeed(description) / (findFactor(job, task, description) ?? 1);
	}

	function compareStep(job: PlacedJob, step: number): void {
		const {queueName, steps} = job.request;
		const estimateMs = intake.getExpectedMs(queueName, steps[step]!.estimateMs);
		const finished = job.tasks.filter(task => task.step === step && task.finishedRun !== undefined);
		const sorted = finished.toSorted((left, right) => left.finishedRun!.nominalMs - right.finishedRun!.nominalMs);
		for (const task of finished) {
			const {server, durationMs, isSuspect} = task.finishedRun!;
			const distanceFactor = findFactor(job, task, server);
			if (distanceFactor !== undefined && !isSuspect) {
				const expectedMs = getExpectedRunMs(estimateMs, getSiblingTimes(sorted, server.id));
				speeds.addRun(server, expectedMs * distanceFactor / durationMs);
			}
		}
	}

	return {
		getRate,
		addRun(job, task, description, durationMs) {
			const nominalMs = Math.max(minRunMs, durationMs) * getRate(job, task, description);
			task.finishedRun = {
				server: description, durationMs: Math.max(minRunMs, durationMs), nominalMs, isSuspect: false,
			};
		},
		compareStepIfDone(job, step) {
			if (job.tasks.every(task => task.step !== step || task.state === 'done')) {
				compareStep(job, step);
			}
		},
	};
}

/** Gets the run times on other backend servers, in the order of the tasks. */
function getSiblingTimes(finished: readonly PlacedTask[], serverId: string): number[] {
	const times: number[] = [];
	for (const {finishedRun} of finished) {
		if (finishedRun!.server.id !== serverId) {
			times.push(finishedRun!.nominalMs);
		}
	}

	return times;
}
