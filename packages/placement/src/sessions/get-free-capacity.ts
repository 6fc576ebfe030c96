import type {BackendServerDescription} from '../servers/backend-server-description.js';
import type {Run, TaskNeeds} from './run.js';

/** Less than any needs, so that not even a task without needs is started. */
const noCapacity: TaskNeeds = {cpuMillicores: -1, memoryMb: -1, gpuCount: -1};

/**
 * Gets the free capacity of a backend server. A run whose needs are not known counts as using all of it.
 * @param description - The backend server.
 * @param runs - The runs that exist or may exist there, including those being stopped.
 */
export function getFreeCapacity(description: BackendServerDescription, runs: Iterable<Run>): TaskNeeds {
	let {cpuMillicores, memoryMb, gpuCount, slotCount} = description;
	for (const {needs} of runs) {
		if (needs === undefined) {
			return noCapacity;
		}

		cpuMillicores -= needs.cpuMillicores;
		memoryMb -= needs.memoryMb;
		gpuCount -= needs.gpuCount;
		slotCount--;
	}

	return slotCount > 0 ? {cpuMillicores, memoryMb, gpuCount} : noCapacity;
}
