import type {z} from 'zod';
import {
	availabilityZoneSchema, customerSchema, limitSchema, poolSchema, routeSchema, serviceSchema, type ConfigurationObjects,
} from './object-schemas.js';

/** A kind of object: how it is called in a section header, and where the set keeps it. */
export type ObjectKind = {
	kind: string;
	collection: keyof ConfigurationObjects;
	schema: z.ZodObject;
	description: string;
};

/** Every kind of object. */
export const objectKinds: readonly ObjectKind[] = [
	{
		kind: 'availability-zone',
		collection: 'availabilityZones',
		schema: availabilityZoneSchema,
		description: 'An availability zone with entry VMs and backend servers of its own.',
	},
	{
		kind: 'pool',
		collection: 'pools',
		schema: poolSchema,
		description: 'Backend servers that serve the same services.',
	},
	{
		kind: 'service',
		collection: 'services',
		schema: serviceSchema,
		description: 'A kind of task, run by the backend servers of one pool.',
	},
	{
		kind: 'route',
		collection: 'routes',
		schema: routeSchema,
		description: 'Sends a service\'s tasks of some customers to another pool.',
	},
	{
		kind: 'limit',
		collection: 'limits',
		schema: limitSchema,
		description: 'The declared cost: what the objects that name it may use together, in all availability zones.',
	},
	{
		kind: 'customer',
		collection: 'customers',
		schema: customerSchema,
		description: 'A team whose requests are served and limited together.',
	},
];

/**
 * Gets the name by which findings and differences call an object.
 * @param kind - The kind, as in the section header.
 * @param name - The object's name.
 *
 * @example
 * ```ts
 * getObjectName('pool', 'walnut'); // 'pool/walnut'
 * ```
 */
export function getObjectName(kind: string, name: string): string {
	return `${kind}/${name}`;
}
