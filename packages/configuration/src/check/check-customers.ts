import {getObjectName} from '../objects/object-kinds.js';
import type {ConfigurationObjects} from '../objects/object-schemas.js';
import {findOwn} from '../utils/find-own.js';
import type {CheckContext} from './check-context.js';
import {getServicePools} from './get-service-pools.js';

/** Reports customers whose cost no limit bounds, customers without tokens, and tokens that two customers share. */
export function checkCustomers(context: CheckContext): void {
	const unbounded = getUnboundedServices(context.objects);
	const tokenOwners = new Map<string, string>();
	for (const [name, customer] of Object.entries(context.objects.customers)) {
		const object = getObjectName('customer', name);
		const services = customer.services.length === 0 ? unbounded : customer.services.filter(service => unbounded.has(service));
		const [service] = services;
		if (customer.limits.length === 0 && service !== undefined) {
			context.addWarning('unlimited-customer', object, 'limits', `no limit bounds what it may use of service "${service}"`);
		}

		if (customer.tokenHashes.length === 0) {
			context.addWarning('no-token', object, 'tokenHashes', 'anybody who reaches the callers\' port may act for this customer');
		}

		checkTokens(object, customer.tokenHashes, tokenOwners, context);
	}
}

function getUnboundedServices(objects: ConfigurationObjects): Set<string> {
	const unbounded = new Set<string>();
	for (const [name, pools] of getServicePools(objects)) {
		const isPoolUnbounded = [...pools].some(pool => (findOwn(objects.pools, pool)?.limits ?? []).length === 0);
		if (objects.services[name]!.limits.length === 0 && isPoolUnbounded) {
			unbounded.add(name);
		}
	}

	return unbounded;
}

function checkTokens(object: string, tokenHashes: readonly string[], owners: Map<string, string>, context: CheckContext): void {
	for (const tokenHash of tokenHashes) {
		const other = owners.get(tokenHash);
		if (other === undefined) {
			owners.set(tokenHash, object);
		} else {
			context.addError('duplicate-token', object, 'tokenHashes', `has a token that ${other} has too`);
		}
	}
}
