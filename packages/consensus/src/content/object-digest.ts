import type {ConfigurationObjects} from '@camphortack/configuration';
import {getHash, hashRange} from '../utils/get-hash.js';
import {toCanonicalJson} from '../utils/to-canonical-json.js';
import {findObject} from './find-object.js';
import {objectKinds, type ObjectChange} from './object-change.js';

/**
 * Computes the digest of a whole set: the sum of the hashes of its objects modulo the hash range.
 * @param objects - The set.
 */
export function getObjectsDigest(objects: ConfigurationObjects): number {
	let digest = 0;
	for (const kind of objectKinds) {
		for (const [name, value] of Object.entries(objects[kind])) {
			digest = (digest + getObjectHash(kind, name, value)) % hashRange;
		}
	}

	return digest;
}

/**
 * Updates a digest incrementally. The cost depends on the number of changes only, not on the size of the set.
 * @param digest - The digest before the changes.
 * @param objects - The objects before the changes.
 * @param changes - The changes, at most one per object.
 */
export function updateDigest(digest: number, objects: ConfigurationObjects, changes: readonly ObjectChange[]): number {
	let updated = digest;
	for (const {kind, name, value} of changes) {
		const before = findObject(objects, kind, name);
		updated += value === undefined ? 0 : getObjectHash(kind, name, value);
		updated -= before === undefined ? 0 : getObjectHash(kind, name, before);
		updated = (updated + hashRange) % hashRange;
	}

	return updated;
}

function getObjectHash(kind: string, name: string, value: unknown): number {
	return getHash(`${kind}/${name}=${toCanonicalJson(value)}`);
}
