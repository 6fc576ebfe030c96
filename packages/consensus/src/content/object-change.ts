import {z} from 'zod';
import type {ConfigurationObjects} from '@camphortack/configuration';

/** The kinds of objects, in the order in which they are compared. */
export const objectKinds = ['availabilityZones', 'pools', 'services', 'routes', 'limits', 'customers'] as const satisfies ReadonlyArray<keyof ConfigurationObjects>;

/** A change of one object: sets it, or removes it if there is no value. */
export const objectChangeSchema = z.object({
	kind: z.enum(objectKinds),
	name: z.string().max(128),
	value: z.record(z.string(), z.unknown()).optional(),
});

export type ObjectKind = typeof objectKinds[number];
export type ObjectChange = z.infer<typeof objectChangeSchema>;
