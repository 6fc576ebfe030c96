import {configurationObjectsSchema, type ConfigurationObjects} from '@camphortack/configuration';

/**
 * Gets a set of objects with one pool for each name.
 * @param names - The names.
 * @param share - The ejection share of the pools, from 0 to 1, which distinguishes sets with the same names.
 */
export function getObjects(names: readonly string[], share = 0.5): ConfigurationObjects {
	return configurationObjectsSchema.parse({pools: Object.fromEntries(names.map(name => [name, {largestEjectedShare: share}]))});
}
