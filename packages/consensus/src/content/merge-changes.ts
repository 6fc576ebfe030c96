import type {ObjectChange} from './object-change.js';

/**
 * Merges the changes of successive versions. Only the last change of each object is retained.
 * @param steps - The changes of each version, oldest first.
 */
export function mergeChanges(steps: Iterable<readonly ObjectChange[]>): ObjectChange[] {
	const merged = new Map<string, ObjectChange>();
	for (const step of steps) {
		for (const change of step) {
			merged.set(`${change.kind}/${change.name}`, change);
		}
	}

	return [...merged.values()];
}
