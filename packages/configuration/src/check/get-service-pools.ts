import type {ConfigurationObjects} from '../objects/object-schemas.js';

/**
 * Gets the names of the pools that can run each service: its own pool and those of its routes.
 * @param objects - All objects.
 */
export function getServicePools(objects: ConfigurationObjects): Map<string, Set<string>> {
	const pools = new Map(Object.entries(objects.services).map(([name, service]) => [name, new Set([service.pool])]));
	for (const route of Object.values(objects.routes)) {
		pools.get(route.service)?.add(route.pool);
	}

	return pools;
}
