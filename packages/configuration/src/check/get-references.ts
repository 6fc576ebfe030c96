import {getObjectName} from '../objects/object-kinds.js';
import type {ConfigurationObjects} from '../objects/object-schemas.js';

/** A key of one object that names other objects. */
export type Reference = {
	/** The object that holds the names, as `service/polish-quote`. */
	object: string;
	key: string;
	targetKind: string;
	targetNames: readonly string[];
};

/**
 * Gets every reference from one object to others. No chain of references leads back to its start:
 * routes name services, services name pools, pools name availability zones, and any of them names limits.
 * @param objects - The whole set.
 */
export function * getReferences(objects: ConfigurationObjects): Generator<Reference> {
	yield * getPoolReferences(objects);
	yield * getServiceReferences(objects);
	yield * getRouteReferences(objects);
	yield * getCustomerReferences(objects);
}

function * getPoolReferences(objects: ConfigurationObjects): Generator<Reference> {
	for (const [name, pool] of Object.entries(objects.pools)) {
		const object = getObjectName('pool', name);
		yield createReference(object, 'availabilityZones', 'availability-zone', pool.availabilityZones);
		yield createReference(object, 'limits', 'limit', pool.limits);
	}
}

function * getServiceReferences(objects: ConfigurationObjects): Generator<Reference> {
	for (const [name, service] of Object.entries(objects.services)) {
		const object = getObjectName('service', name);
		yield createReference(object, 'pool', 'pool', [service.pool]);
		yield createReference(object, 'limits', 'limit', service.limits);
	}
}

function * getRouteReferences(objects: ConfigurationObjects): Generator<Reference> {
	for (const [name, route] of Object.entries(objects.routes)) {
		const object = getObjectName('route', name);
		yield createReference(object, 'service', 'service', [route.service]);
		yield createReference(object, 'customers', 'customer', route.customers);
		yield createReference(object, 'pool', 'pool', [route.pool]);
	}
}

function * getCustomerReferences(objects: ConfigurationObjects): Generator<Reference> {
	for (const [name, customer] of Object.entries(objects.customers)) {
		const object = getObjectName('customer', name);
		yield createReference(object, 'services', 'service', customer.services);
		yield createReference(object, 'limits', 'limit', customer.limits);
	}
}

function createReference(object: string, key: string, targetKind: string, targetNames: readonly string[]): Reference {
	return {
		object,
		key,
		targetKind,
		targetNames,
	};
}
