import {getSchemaFindings} from '@camphortack/core';
import {hasErrors, type ConfigurationFinding} from '../findings/configuration-finding.js';
import {readConfigurationFiles, type ConfigurationFile, type ConfigurationReadResult} from '../files/read-configuration-files.js';
import {configurationObjectsSchema, type ConfigurationObjects} from '../objects/object-schemas.js';
import {checkConfigurationObjects, sortFindings} from './check-configuration-objects.js';

/** What a check of untrusted input came to: the objects, unless an error was found, and all findings. */
export type ConfigurationInputResult = {
	objects: ConfigurationObjects | undefined;
	findings: ConfigurationFinding[];
};

/**
 * Reads a whole set of INI files and checks it.
 * @param files - The files.
 */
export function checkConfigurationFiles(files: readonly ConfigurationFile[]): ConfigurationReadResult {
	const {objects, places, findings} = readConfigurationFiles(files);
	return {
		objects,
		places,
		findings: sortFindings([...findings, ...checkConfigurationObjects(objects, places)]),
	};
}

/**
 * Checks objects that came over the wire: their schema, then the whole set.
 * @param input - The objects as received.
 *
 * @example
 * ```ts
 * checkConfigurationInput({pools: {walnut: {}}}).objects?.pools.walnut?.largestEjectedShare; // 0.3
 * ```
 */
export function checkConfigurationInput(input: unknown): ConfigurationInputResult {
	const parsed = configurationObjectsSchema.safeParse(input);
	if (!parsed.success) {
		return {objects: undefined, findings: getSchemaFindings(parsed.error).map(finding => ({...finding, level: 'error'}))};
	}

	const findings = checkConfigurationObjects(parsed.data);
	return {objects: hasErrors(findings) ? undefined : parsed.data, findings};
}
