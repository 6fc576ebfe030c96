import type {LimitDecision, LimitRequest} from './limiter.js';
import type {HeldDimension} from './held-dimension.js';
import type {SpentAmount} from './use-counter.js';

/** The reservations of this daemon's open jobs in each dimension. */
export type JobReservations = {
	/** Takes the use of the job from every dimension, all or none. */
	admitJob(request: LimitRequest, dimensions: readonly HeldDimension[]): LimitDecision;
	/** Gets the dimensions without enough available for the job. */
	getLacking(request: LimitRequest, dimensions: readonly HeldDimension[]): HeldDimension[];
	extendTask(jobId: string, workerSeconds: number): boolean;
	endTask(jobId: string, usedWorkerSeconds: number): void;
	releaseTask(jobId: string): void;
	closeJob(jobId: string): void;
};

type Reservation = {
	readonly held: HeldDimension;
	readonly spentAtAdmission?: SpentAmount;
};

type OpenJob = {
	readonly reservations: readonly Reservation[];
	readonly secondsPerTask: number;
	/** Worker-seconds reserved in addition to those of the admission. */
	extraSeconds: number;
	tasksLeft: number;
};

/** Reserved for each task in addition to its expected time, because stopping a task takes time. */
export const stopMarginSeconds = 0.25;

export function createJobReservations(): JobReservations {
	const jobs = new Map<string, OpenJob>();

	function getLacking(request: LimitRequest, dimensions: readonly HeldDimension[]): HeldDimension[] {
		return dimensions.filter(held => held.getAvailable() < getAmount(held, request));
	}

	function admitJob(request: LimitRequest, dimensions: readonly HeldDimension[]): LimitDecision {
		const lacking = getLacking(request, dimensions);
		for (const held of lacking) {
			held.demand.addShortfall(getAmount(held, request));
		}

		if (lacking.length > 0) {
			const {code, retryAfterMs} = lacking[0]!.getDimension();
			return {isAdmitted: false, code, retryAfterMs};
		}

		jobs.set(request.jobId, {
			reservations: dimensions.map(held => createReservation(held, getAmount(held, request))),
			secondsPerTask: getSecondsPerTask(request),
			extraSeconds: 0,
			tasksLeft: request.taskCount,
		});
		return {isAdmitted: true};
	}

	function createReservation(held: HeldDimension, amount: number): Reservation {
		const {resource, windowMs} = held.getDimension();
		const isRate = resource === 'rate';
		const spentAtAdmission = isRate ? held.counter.spend(amount, windowMs) : undefined;
		if (!isRate) {
			held.counter.reserve(amount);
		}

		held.demand.addAdmitted(amount, held.counter.getHeld());
		return {held, spentAtAdmission};
	}

	function extendTask(jobId: string, workerSeconds: number): boolean {
		const job = jobs.get(jobId);
		if (job === undefined) {
			return false;
		}

		const metered = job.reservations.map(reservation => reservation.held).filter(held => held.getDimension().resource === 'worker-seconds');
		const lacking = metered.find(held => held.getAvailable() < workerSeconds);
		if (lacking !== undefined) {
			lacking.demand.addShortfall(workerSeconds);
			return false;
		}

		for (const held of metered) {
			held.counter.reserve(workerSeconds);
			held.demand.addAdmitted(workerSeconds, held.counter.getHeld());
		}

		job.extraSeconds += workerSeconds;
		return true;
	}

	function endTask(jobId: string, usedWorkerSeconds: number): void {
		endTasks(jobId, 1, usedWorkerSeconds);
	}

	function endTasks(jobId: string, taskCount: number, usedWorkerSeconds: number): void {
		const job = jobs.get(jobId);
		if (job === undefined) {
			return;
		}

		job.tasksLeft -= taskCount;
		const isLast = job.tasksLeft <= 0;
		const extraSeconds = isLast ? job.extraSeconds : Math.min(job.extraSeconds, Math.max(0, usedWorkerSeconds - job.secondsPerTask));
		job.extraSeconds -= extraSeconds;
		for (const {held} of job.reservations) {
			releaseTasks(held, taskCount, (job.secondsPerTask * taskCount) + extraSeconds, usedWorkerSeconds);
		}

		if (isLast) {
			jobs.delete(jobId);
		}
	}

	function releaseTask(jobId: string): void {
		cancelTasks(jobId, 1);
	}

	function cancelTasks(jobId: string, taskCount: number): void {
		for (const {held, spentAtAdmission} of jobs.get(jobId)?.reservations ?? []) {
			if (spentAtAdmission !== undefined) {
				held.counter.cancelSpent(spentAtAdmission, taskCount);
			}
		}

		endTasks(jobId, taskCount, 0);
	}

	function closeJob(jobId: string): void {
		const job = jobs.get(jobId);
		if (job !== undefined) {
			cancelTasks(jobId, job.tasksLeft);
		}
	}

	return {
		admitJob,
		getLacking,
		extendTask,
		endTask,
		releaseTask,
		closeJob,
	};
}

function releaseTasks(held: HeldDimension, taskCount: number, reservedSeconds: number, usedSeconds: number): void {
	const {resource, windowMs} = held.getDimension();
	if (resource === 'in-flight') {
		held.counter.release(taskCount);
	} else if (resource === 'worker-seconds') {
		held.counter.release(reservedSeconds);
		held.counter.spend(usedSeconds, windowMs);
	}
}

function getSecondsPerTask({expectedWorkerSeconds, taskCount}: LimitRequest): number {
	return (expectedWorkerSeconds / taskCount) + stopMarginSeconds;
}

/** Gets the amount of a dimension that a job takes at admission. */
function getAmount(held: HeldDimension, request: LimitRequest): number {
	return held.getDimension().resource === 'worker-seconds'
		? getSecondsPerTask(request) * request.taskCount
		: request.taskCount;
}
