import {getObjectName} from '../objects/object-kinds.js';
import type {ConfigurationObjects} from '../objects/object-schemas.js';

/** A key of an object that refers to other objects by name. */
export type Reference = {
	/** The qualified name of the referring object, such as `service/polish-quote`. */
	object: string;
	key: string;
	targetKind: string;
	targetNames: readonly string[];
};

/**
 * Gets all references between objects. References cannot form a cycle: routes refer to customers, services and pools;
 * customers to services; services to pools; pools to availability zones; and customers, services and pools to limits.
 * @param objects - All objects.
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
