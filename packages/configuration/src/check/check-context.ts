import {findNearestName} from '@camphortack/core';
import {createErrorFinding, createWarningFinding, type ConfigurationFinding} from '../findings/configuration-finding.js';
import {createConfigurationPlaces, type ConfigurationPlaces} from '../findings/configuration-places.js';
import type {ConfigurationObjects} from '../objects/object-schemas.js';
import type {Reference} from './get-references.js';

/** Finding a suggestion compares the unknown name with every known name, so only the first findings get one. */
const maxSuggestions = 100;

/** The input of the check rules, and the findings that they add. */
export type CheckContext = {
	objects: ConfigurationObjects;
	places: ConfigurationPlaces;
	findings: ConfigurationFinding[];
	addError(code: string, object: string, key: string | undefined, message: string): void;
	addWarning(code: string, object: string, key: string | undefined, message: string): void;
	/** Adds an error about a reference to an object that does not exist, with the closest known name as a suggestion. */
	addUnknownName(reference: Reference, name: string, knownNames: readonly string[]): void;
};

/**
 * Creates the context of a check.
 * @param objects - All objects.
 * @param places - The places of the objects, if they were read from files.
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
			const message = `refers to ${targetKind} "${name}", which does not exist`;
			const suggestion = suggestionCount++ < maxSuggestions ? findNearestName(name, knownNames) : undefined;
			findings.push(createErrorFinding('dangling-name', message, places.getPlace(object, key), suggestion));
		},
	};
}
