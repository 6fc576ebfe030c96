import type {JobStep} from '../jobs/job-request.js';
import {getDistanceFactor} from '../queue/get-distance-factor.js';

/**
 * Finds the factor by which a task of a step runs longer on a backend server because of the distance to its data; undefined
 * if it is far and the factor is not known.
 * @param step - The step of the task.
 * @param labels - The labels of the backend server, among them its rack.
 * @param remoteRunFactor - The factor for racks without the data.
 */
export function findDistanceFactor({dataRack}: Pick<JobStep, 'dataRack'>, labels: readonly string[], remoteRunFactor: number | undefined): number | undefined {
	const isUnknown = remoteRunFactor === undefined && dataRack !== undefined && !labels.includes(dataRack);
	return isUnknown ? undefined : getDistanceFactor(dataRack, labels, remoteRunFactor);
}
