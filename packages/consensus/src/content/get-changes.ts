import type {ConfigurationObjects} from '@camphortack/configuration';
import {isSameValue} from '../utils/is-same-value.js';
import {objectKinds, type ObjectChange, type ObjectKind} from './object-change.js';

/**
 * Gets the differences between two sets of objects as changes.
 * @param before - The set before the changes.
 * @param after - The set after the changes.
 *
 * @example
 * ```ts
 * const changes = getChanges(published.objects, edited);
 * ```
 */
export function getChanges(before: ConfigurationObjects, after: ConfigurationObjects): ObjectChange[] {
	return objectKinds.flatMap(kind => getChangesOfKind(kind, before[kind], after[kind]));
}

function getChangesOfKind(kind: ObjectKind, before: Record<string, Record<string, unknown>>, after: Record<string, Record<string, unknown>>): ObjectChange[] {
	const changes: ObjectChange[] = [];
	for (const [name, value] of Object.entries(after)) {
		if (!Object.hasOwn(before, name) || !isSameValue(before[name], value)) {
			changes.push({kind, name, value: {...value}});
		}
	}

	for (const name of Object.keys(before)) {
		if (!Object.hasOwn(after, name)) {
			changes.push({kind, name});
		}
	}

	return changes;
}
