import type {ConfigurationFinding} from '../findings/configuration-finding.js';
import type {ConfigurationPlaces} from '../findings/configuration-places.js';
import type {ConfigurationObjects} from '../objects/object-schemas.js';
import {createCheckContext} from './check-context.js';
import {checkCustomers} from './check-customers.js';
import {checkLimitContradictions} from './check-limit-contradictions.js';
import {checkLimits} from './check-limits.js';
import {checkReferences} from './check-references.js';
import {checkRoutes} from './check-routes.js';
import {checkServices} from './check-services.js';

const rules = [checkReferences, checkRoutes, checkServices, checkLimits, checkLimitContradictions, checkCustomers];

/**
 * Checks all objects and the references between them. Only objects without errors can be published.
 * @param objects - All objects.
 * @param places - The places of the objects, if they were read from files.
 * @returns All findings, sorted by file and line.
 *
 * @example
 * ```ts
 * const {objects, places} = readConfigurationFiles([{path: 'a.ini', text: '[service quote]\npool = walnut'}]);
 * checkConfigurationObjects(objects, places).map(finding => formatFinding(finding));
 * // ['a.ini:2: service/quote pool: refers to pool "walnut", which does not exist']
 * ```
 */
export function checkConfigurationObjects(objects: ConfigurationObjects, places?: ConfigurationPlaces): ConfigurationFinding[] {
	const context = createCheckContext(objects, places);
	for (const rule of rules) {
		rule(context);
	}

	return sortFindings(context.findings);
}

/**
 * Sorts findings by file and line. The sort is stable.
 * @param findings - The findings.
 */
export function sortFindings(findings: readonly ConfigurationFinding[]): ConfigurationFinding[] {
	return findings.toSorted((left, right) =>
		compareTexts(left.place.file ?? '', right.place.file ?? '') || (left.place.line ?? 0) - (right.place.line ?? 0));
}

function compareTexts(left: string, right: string): number {
	if (left === right) {
		return 0;
	}

	return left < right ? -1 : 1;
}
