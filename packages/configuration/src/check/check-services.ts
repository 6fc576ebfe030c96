import type {TaskNeeds} from '@camphortack/core';
import {getObjectName} from '../objects/object-kinds.js';
import {findOwn} from '../utils/find-own.js';
import type {CheckContext} from './check-context.js';
import {getServicePools} from './get-service-pools.js';

const needNames = ['processors', 'memoryMegabytes', 'accelerators'] as const satisfies ReadonlyArray<keyof TaskNeeds>;

/** Reports services whose tasks do not fit on any backend server of a pool that can run them. */
export function checkServices(context: CheckContext): void {
	for (const [name, pools] of getServicePools(context.objects)) {
		for (const pool of pools) {
			checkFit(name, pool, context);
		}
	}
}

function checkFit(serviceName: string, poolName: string, context: CheckContext): void {
	const needs = context.objects.services[serviceName]?.declaredNeeds ?? {};
	const largest = findOwn(context.objects.pools, poolName)?.largestBackendServer ?? {};
	for (const needName of needNames) {
		const needed = needs[needName];
		const offered = largest[needName];
		if (needed !== undefined && offered !== undefined && needed > offered) {
			const message = `requests ${needed}, but the largest backend server of pool "${poolName}" offers ${offered}`;
			context.addError('never-fits', getObjectName('service', serviceName), `declaredNeeds.${needName}`, message);
		}
	}
}
