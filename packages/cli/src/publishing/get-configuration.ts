import {configurationObjectsSchema} from '@camphortack/configuration';
import type {ApiClient} from '../api/api-client.js';
import {configurationResponseSchema, type ConfigurationResponse} from '../api/api-schemas.js';
import {getResponseOrThrow} from '../api/get-response.js';
import {CommandError} from '../errors/command-error.js';
import {exitCodes} from '../exit-codes.js';

/** The version before the first publish, which has no objects. */
const emptyVersion = 0;

/**
 * Gets a version of the configuration.
 * @param client - The client of the operators' port.
 * @param version - The version; defaults to the version in force.
 */
export async function getConfigurationOrThrow(client: ApiClient, version?: number): Promise<ConfigurationResponse> {
	if (version === emptyVersion) {
		return {version, objects: configurationObjectsSchema.parse({})};
	}

	const path = version === undefined ? '/v1/configuration' : `/v1/configuration/versions/${version}`;
	return getResponseOrThrow(client, {method: 'GET', path}, configurationResponseSchema);
}

/**
 * Parses a version given on the command line.
 * @param text - The argument.
 * @throws CommandError if the text is not a whole number.
 */
export function parseVersionOrThrow(text: string): number {
	if (!/^\d{1,15}$/v.test(text)) {
		throw new CommandError('bad-version', `"${text}" is not a version; versions are whole numbers, see \`camphortack history\``, exitCodes.usage);
	}

	return Number(text);
}
