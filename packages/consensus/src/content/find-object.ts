import type {ConfigurationObjects} from '@camphortack/configuration';
import type {ObjectKind} from './object-change.js';

/**
 * Finds an object of a set by its own name, never an inherited property.
 * @param objects - The set.
 * @param kind - The kind of object.
 * @param name - Its name.
 */
export function findObject(objects: ConfigurationObjects, kind: ObjectKind, name: string): Record<string, unknown> | undefined {
	return Object.hasOwn(objects[kind], name) ? objects[kind][name] : undefined;
}
