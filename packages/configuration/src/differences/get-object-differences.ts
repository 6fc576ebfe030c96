import {isDeepStrictEqual} from 'node:util';
import {getObjectName, objectKinds} from '../objects/object-kinds.js';
import type {ConfigurationObjects} from '../objects/object-schemas.js';
import {findOwn} from '../utils/find-own.js';

type ObjectValues = Readonly<Record<string, unknown>>;

/** A key whose value differs. A value is undefined if the key is not set. */
export type KeyDifference = {
	key: string;
	before: unknown;
	after: unknown;
};

/** An object that differs between two configurations. */
export type ObjectDifference
	= | {change: 'added'; object: string; after: ObjectValues}
		| {change: 'removed'; object: string; before: ObjectValues}
		| {change: 'changed'; object: string; keys: KeyDifference[]};

/**
 * Gets the differences between two configurations, sorted by kind and then by name.
 * @param before - The objects of the earlier configuration.
 * @param after - The objects of the later configuration.
 *
 * @example
 * ```ts
 * const before = configurationObjectsSchema.parse({});
 * const after = configurationObjectsSchema.parse({pools: {walnut: {}}});
 * getObjectDifferences(before, after)[0]?.object; // 'pool/walnut'
 * ```
 */
export function getObjectDifferences(before: ConfigurationObjects, after: ConfigurationObjects): ObjectDifference[] {
	return objectKinds.flatMap(({kind, collection}) => getCollectionDifferences(kind, before[collection], after[collection]));
}

function getCollectionDifferences(kind: string, before: Readonly<Record<string, ObjectValues>>, after: Readonly<Record<string, ObjectValues>>): ObjectDifference[] {
	const names = new Set([...Object.keys(before), ...Object.keys(after)]);
	return [...names].toSorted().flatMap(name => {
		const difference = findDifference(getObjectName(kind, name), findOwn(before, name), findOwn(after, name));
		return difference === undefined ? [] : [difference];
	});
}

function findDifference(object: string, before: ObjectValues | undefined, after: ObjectValues | undefined): ObjectDifference | undefined {
	if (before === undefined) {
		return after === undefined ? undefined : {change: 'added', object, after};
	}

	if (after === undefined) {
		return {change: 'removed', object, before};
	}

	const keys = getKeyDifferences(before, after);
	return keys.length === 0 ? undefined : {change: 'changed', object, keys};
}

function getKeyDifferences(before: ObjectValues, after: ObjectValues): KeyDifference[] {
	const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
	return [...keys]
		.filter(key => !isDeepStrictEqual(before[key], after[key]))
		.map(key => ({key, before: before[key], after: after[key]}));
}
