import {getObjectName, objectKinds} from '../objects/object-kinds.js';
import type {CheckContext} from './check-context.js';
import {getReferences, type Reference} from './get-references.js';

/** Reports dangling references, duplicate references, and limits and pools that no object refers to. */
export function checkReferences(context: CheckContext): void {
	const knownNames = new Map(objectKinds.map(({kind, collection}) => [kind, Object.keys(context.objects[collection])]));
	const knownObjects = new Set([...knownNames].flatMap(([kind, names]) => names.map(name => getObjectName(kind, name))));
	const usedObjects = new Set<string>();
	for (const reference of getReferences(context.objects)) {
		checkDuplicates(reference, context);
		for (const name of new Set(reference.targetNames)) {
			const target = getObjectName(reference.targetKind, name);
			usedObjects.add(target);
			if (!knownObjects.has(target) && !context.places.hasObject(target)) {
				context.addUnknownName(reference, name, knownNames.get(reference.targetKind) ?? []);
			}
		}
	}

	checkUnused('limit', context, usedObjects);
	checkUnused('pool', context, usedObjects);
}

function checkDuplicates(reference: Reference, context: CheckContext): void {
	const seen = new Set<string>();
	for (const name of reference.targetNames) {
		if (seen.has(name)) {
			context.addError('name-twice', reference.object, reference.key, `lists "${name}" twice`);
		}

		seen.add(name);
	}
}

function checkUnused(kind: 'limit' | 'pool', context: CheckContext, usedObjects: ReadonlySet<string>): void {
	for (const name of Object.keys(kind === 'limit' ? context.objects.limits : context.objects.pools)) {
		const object = getObjectName(kind, name);
		if (!usedObjects.has(object)) {
			context.addWarning(`unused-${kind}`, object, undefined, `no object refers to this ${kind}`);
		}
	}
}
