import {getObjectName} from '../objects/object-kinds.js';
import type {ConfigurationObjects} from '../objects/object-schemas.js';
import {findOwn} from '../utils/find-own.js';
import type {CheckContext} from './check-context.js';
import {getServicePools} from './get-service-pools.js';

/** Reports customers that can use a service without any limit, customers without tokens, and tokens shared by two customers. */
export function checkCustomers(context: CheckContext): void {
	const unbounded = getUnboundedServices(context.objects);
	const tokenOwners = new Map<string, string>();
	for (const [name, customer] of Object.entries(context.objects.customers)) {
		const object = getObjectName('customer', name);
		const services = customer.services.length === 0 ? unbounded : customer.services.filter(service => unbounded.has(service));
		const [service] = services;
		if (customer.limits.length === 0 && service !== undefined) {
			context.addWarning('unlimited-customer', object, 'limits', `no limit applies to its use of service "${service}"`);
		}

		if (customer.tokenHashes.length === 0) {
			context.addWarning('no-token', object, 'tokenHashes', 'any client that can reach the callers\' port can act as this customer');
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
			context.addError('duplicate-token', object, 'tokenHashes', `shares a token with ${other}`);
		}
	}
}
