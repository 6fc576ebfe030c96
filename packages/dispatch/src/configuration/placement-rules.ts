import type {Configuration, PoolObject, ServiceObject} from '@camphortack/configuration';
import type {TaskNeeds} from '@camphortack/core';

/** The parts of a configuration that placement depends on. */
export type PlacementRules = {
	/** Whether any service allows hedging. */
	readonly hasHedging: boolean;
	hasCustomer(customer: string): boolean;
	getWeight(customer: string): number;
	findService(service: string): ServiceObject | undefined;
	findPool(pool: string): PoolObject | undefined;
	/** Gets the pool that runs the tasks of a customer for a service. */
	getPoolName(service: string, customer: string): string;
	/** Gets the pools served by a backend server with these services in an availability zone. */
	getPoolsFor(services: readonly string[], availabilityZone: string): string[];
	/** Whether the needs of a task exceed the largest backend server that the pool declares. */
	neverFits(pool: string, needs: TaskNeeds): boolean;
};

/**
 * Creates the placement rules of a configuration.
 * @param configuration - The configuration in force.
 */
export function createPlacementRules({objects}: Configuration): PlacementRules {
	const routedPools = new Map<string, string>();
	const poolsByService = new Map<string, Set<string>>();
	for (const [name, service] of Object.entries(objects.services)) {
		poolsByService.set(name, new Set([service.pool]));
	}

	for (const route of Object.values(objects.routes)) {
		poolsByService.get(route.service)?.add(route.pool);
		for (const customer of route.customers) {
			routedPools.set(`${route.service}/${customer}`, route.pool);
		}
	}

	function serves(pool: string, availabilityZone: string): boolean {
		const availabilityZones = objects.pools[pool]?.availabilityZones ?? [];
		return availabilityZones.length === 0 || availabilityZones.includes(availabilityZone);
	}

	function getPoolsFor(services: readonly string[], availabilityZone: string): string[] {
		const pools = new Set<string>();
		for (const service of services) {
			for (const pool of poolsByService.get(service) ?? []) {
				pools.add(pool);
			}
		}

		return [...pools].filter(pool => serves(pool, availabilityZone));
	}

	return {
		hasHedging: Object.values(objects.services).some(service => service.hedgeBudgetRatio > 0),
		hasCustomer: customer => Object.hasOwn(objects.customers, customer),
		getWeight: customer => objects.customers[customer]?.weight ?? 1,
		findService: service => Object.hasOwn(objects.services, service) ? objects.services[service] : undefined,
		findPool: pool => Object.hasOwn(objects.pools, pool) ? objects.pools[pool] : undefined,
		getPoolName: (service, customer) => routedPools.get(`${service}/${customer}`) ?? objects.services[service]?.pool ?? '',
		getPoolsFor,
		neverFits(pool, needs) {
			const largest = objects.pools[pool]?.largestBackendServer;
			return largest !== undefined && !fitsInto(needs, largest);
		},
	};
}

/**
 * Whether the needs of a task do not exceed the available resources. A resource without an available amount is unlimited.
 * @param needs - The needs of the task.
 * @param available - The available resources.
 */
export function fitsInto(needs: TaskNeeds, available: TaskNeeds): boolean {
	return (needs.processors ?? 0) <= (available.processors ?? Infinity)
		&& (needs.memoryMegabytes ?? 0) <= (available.memoryMegabytes ?? Infinity)
		&& (needs.accelerators ?? 0) <= (available.accelerators ?? Infinity);
}
