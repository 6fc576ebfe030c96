import type {ConfigurationObjects} from '@camphortack/configuration';
import type {ObjectKind} from './object-change.js';

/**
 * Finds an object of a set by name. Only own properties count, so a name such as `constructor` finds nothing inherited.
 * @param objects - The set.
 * @param kind - The kind of the object.
 * @param name - The name of the object.
 */
export function findObject(objects: ConfigurationObjects, kind: ObjectKind, name: string): Record<string, unknown> | undefined {
	return Object.hasOwn(objects[kind], name) ? objects[kind][name] : undefined;
}
