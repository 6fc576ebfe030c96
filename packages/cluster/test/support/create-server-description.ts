import type {BackendServerDescription} from '@camphortack/placement';

/**
 * Creates a description of a backend server of the availability zone `north`.
 * @param id - The id.
 * @param rest - What differs from the defaults.
 */
export function createServerDescription(id: string, rest: Partial<BackendServerDescription> = {}): BackendServerDescription {
	return {
		id, bornMs: 1, sequence: 1, service: 'quotes', host: id, port: 80, availabilityZone: 'north', state: 'ready',
		slotCount: 8, cpuMillicores: 64_000, memoryMb: 1000, gpuCount: 0, labels: [], ...rest,
	};
}
