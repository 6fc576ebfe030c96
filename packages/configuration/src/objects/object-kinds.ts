import type {z} from 'zod';
import {
	availabilityZoneSchema, customerSchema, limitSchema, poolSchema, routeSchema, serviceSchema, type ConfigurationObjects,
} from './object-schemas.js';

/** A kind of object: its name in section headers and its collection in the configuration. */
export type ObjectKind = {
	kind: string;
	collection: keyof ConfigurationObjects;
	schema: z.ZodObject;
	description: string;
};

/** All kinds of objects, in the order in which they are formatted and compared. */
export const objectKinds: readonly ObjectKind[] = [
	{
		kind: 'availability-zone',
		collection: 'availabilityZones',
		schema: availabilityZoneSchema,
		description: 'An availability zone with its own entry VMs and backend servers.',
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
		description: 'A type of task, run by the backend servers of one pool.',
	},
	{
		kind: 'route',
		collection: 'routes',
		schema: routeSchema,
		description: 'Routes a service\'s tasks to another pool for some customers.',
	},
	{
		kind: 'limit',
		collection: 'limits',
		schema: limitSchema,
		description: 'A declared limit: the total that the objects referring to it may use, across all availability zones.',
	},
	{
		kind: 'customer',
		collection: 'customers',
		schema: customerSchema,
		description: 'A team whose requests are scheduled and limited as a unit.',
	},
];

/**
 * Gets the qualified name of an object, as used in findings and differences.
 * @param kind - The kind, as written in the section header.
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
