import {findNearestName} from '@camphortack/core';
import {createErrorFinding, createWarningFinding, type ConfigurationFinding} from '../findings/configuration-finding.js';
import {createConfigurationPlaces, type ConfigurationPlaces} from '../findings/configuration-places.js';
import type {ConfigurationObjects} from '../objects/object-schemas.js';
import type {Reference} from './get-references.js';

/** Looking for a near name compares it with every known one, so only the first unknown names get a suggestion. */
const maxSuggestions = 100;

/** What the rules of the check read, and where they put their findings. */
export type CheckContext = {
	objects: ConfigurationObjects;
	places: ConfigurationPlaces;
	findings: ConfigurationFinding[];
	addError(code: string, object: string, key: string | undefined, message: string): void;
	addWarning(code: string, object: string, key: string | undefined, message: string): void;
	/** Adds an error about a name that nothing has, with the nearest name that something has. */
	addUnknownName(reference: Reference, name: string, knownNames: readonly string[]): void;
};

/**
 * Creates the context of one check.
 * @param objects - The whole set.
 * @param places - Where the objects stand, if they come from files.
 */
export function createCheckContext(objects: ConfigurationObjects, places: ConfigurationPlaces = createConfigurationPlaces()): CheckContext {
	const findings: ConfigurationFinding[] = [];
	let suggestionCount = 0;

	return {
		objects,
		places,
		findings,
		addError(code, object, key, message) {
			findings.push(createErrorFinding(code, message, places.getPlace(object, key)));
		},
		addWarning(code, object, key, message) {
			findings.push(createWarningFinding(code, message, places.getPlace(object, key)));
		},
		addUnknownName({object, key, targetKind}, name, knownNames) {
			const message = `names ${targetKind} "${name}", which does not exist`;
			const suggestion = suggestionCount++ < maxSuggestions ? findNearestName(name, knownNames) : undefined;
			findings.push(createErrorFinding('dangling-name', message, places.getPlace(object, key), suggestion));
		},
	};
}
