import type {ConfigurationObjects} from '@camphortack/configuration';
import type {ConfigurationContent} from './configuration-content.js';
import {findObject} from './find-object.js';
import {updateDigest} from './object-digest.js';
import {objectKinds, type ObjectChange} from './object-change.js';

/**
 * Applies changes to a set of objects and returns the new set.
 * @param objects - The set before the changes. It is not modified.
 * @param changes - The changes.
 */
export function applyChanges(objects: ConfigurationObjects, changes: readonly ObjectChange[]): ConfigurationObjects {
	const result = {...objects};
	for (const kind of objectKinds) {
		const kindChanges = changes.filter(change => change.kind === kind);
		if (kindChanges.length > 0) {
			Object.assign(result, {[kind]: applyKindChanges(objects[kind], kindChanges)});
		}
	}

	return result;
}

function applyKindChanges(before: Record<string, unknown>, changes: readonly ObjectChange[]): Record<string, unknown> {
	const set = changes.filter(change => change.value !== undefined).map(({name, value}) => [name, value] as const);
	const after = {...before, ...Object.fromEntries(set)};
	for (const {name, value} of changes) {
		if (value === undefined) {
			Reflect.deleteProperty(after, name);
		}
	}

	return after;
}

/**
 * Applies changes to a version and returns the new version.
 * @param content - The version before the changes.
 * @param version - The number of the new version.
 * @param changes - The changes.
 */
export function applyToContent(content: ConfigurationContent, version: number, changes: readonly ObjectChange[]): ConfigurationContent {
	return {
		version,
		digest: updateDigest(content.digest, content.objects, changes),
		objects: applyChanges(content.objects, changes),
	};
}

/**
 * Gets the changes that revert the given ones.
 * @param objects - The objects before the changes.
 * @param changes - The changes.
 */
export function getInverseChanges(objects: ConfigurationObjects, changes: readonly ObjectChange[]): ObjectChange[] {
	return changes.map(({kind, name}) => {
		const value = findObject(objects, kind, name);
		return value === undefined ? {kind, name} : {kind, name, value: {...value}};
	});
}
