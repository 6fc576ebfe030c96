import type {JobStep} from '../jobs/job-request.js';

/**
 * Gets how many times as long a task of a step takes on a backend server because of the distance to its data; undefined if
 * it is far and the factor is not known.
 * @param step - The step of the task.
 * @param labels - The labels of the backend server, of which one is its rack.
 * @param remoteFactor - How many times as long a task takes away from its data.
 */
export function getDistanceFactor({dataRack}: Pick<JobStep, 'dataRack'>, labels: readonly string[], remoteFactor: number | undefined): number | undefined {
	return dataRack === undefined || labels.includes(dataRack) ? 1 : remoteFactor;
}
