/** The parts of a task's name. */
export type TaskNameParts = {
	jobId: string;
	/** 0 for a job that runs once. */
	occurrence: number;
	step: number;
	index: number;
};

/** The numbers that follow the id of the job. */
const numberCount = 3;

/**
 * Gets the name that identifies a task on backend servers.
 * @param parts - The parts of the name.
 *
 * @example
 * ```ts
 * getTaskName({jobId: '5c0e7a21d94b36f8', occurrence: 0, step: 1, index: 17}); // '5c0e7a21d94b36f8.0.1.17'
 * ```
 */
export function getTaskName({jobId, occurrence, step, index}: TaskNameParts): string {
	return `${jobId}.${occurrence}.${step}.${index}`;
}

/**
 * Gets the id of the job that a task belongs to.
 * @param taskName - The name of the task.
 *
 * @example
 * ```ts
 * getJobId('5c0e7a21d94b36f8.0.1.17'); // '5c0e7a21d94b36f8'
 * ```
 */
export function getJobId(taskName: string): string {
	return taskName.split('.').slice(0, -numberCount).join('.');
}
