import type {BackendServerDescription} from '../servers/backend-server-description.js';
import type {Run, TaskNeeds} from './run.js';

const noRoom: TaskNeeds = {cpuMillicores: 0, memoryMb: 0, gpuCount: 0};

/**
 * Gets what is free on a backend server. A run whose needs are not known takes everything.
 * @param description - The backend server.
 * @param runs - What runs there, may run there or is being stopped there.
 */
export function getFreeRoom(description: BackendServerDescription, runs: Iterable<Run>): TaskNeeds {
	let {cpuMillicores, memoryMb, gpuCount, slotCount} = description;
	for (const {needs} of runs) {
		if (needs === undefined) {
			return noRoom;
		}

		cpuMillicores -= needs.cpuMillicores;
		memoryMb -= needs.memoryMb;
		gpuCount -= needs.gpuCount;
		slotCount--;
	}

	return slotCount > 0 ? {cpuMillicores, memoryMb, gpuCount} : noRoom;
}
