import type {ConfigurationObjects} from '@camphortack/configuration';

/** A version of the configuration with a digest of its objects. Never modified in place. */
export type ConfigurationContent = {
	version: number;
	/** Depends on the objects only, whatever the order and the number of steps that led to them. */
	digest: number;
	objects: ConfigurationObjects;
};

/** What stands before the first publish: version 0, no objects. */
export const emptyContent: ConfigurationContent = {
	version: 0,
	digest: 0,
	objects: {
		availabilityZones: {},
		pools: {},
		services: {},
		routes: {},
		limits: {},
		customers: {},
	},
};
