import {getSchemaFindings} from '@camphortack/core';
import {hasErrors, type ConfigurationFinding} from '../findings/configuration-finding.js';
import {readConfigurationFiles, type ConfigurationFile, type ConfigurationReadResult} from '../files/read-configuration-files.js';
import {configurationObjectsSchema, type ConfigurationObjects} from '../objects/object-schemas.js';
import {checkConfigurationObjects, sortFindings} from './check-configuration-objects.js';

/** The result of checking untrusted input. The objects are undefined if there is an error among the findings. */
export type ConfigurationInputResult = {
	objects: ConfigurationObjects | undefined;
	findings: ConfigurationFinding[];
};

/**
 * Reads a set of INI files and checks their objects together.
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
 * Checks objects received over the network: first against the schema, then against each other.
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
