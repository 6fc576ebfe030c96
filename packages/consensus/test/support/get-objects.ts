import {configurationObjectsSchema, type ConfigurationObjects} from '@camphortack/configuration';

/**
 * Gets a set with one pool for each name, whose ejection share carries a number.
 * @param names - The names.
 * @param share - A number from 0 to 1 that tells sets apart.
 */
export function getObjects(names: readonly string[], share = 0.5): ConfigurationObjects {
	return configurationObjectsSchema.parse({pools: Object.fromEntries(names.map(name => [name, {largestEjectedShare: share}]))});
}
