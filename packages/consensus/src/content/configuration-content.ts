import type {ConfigurationObjects} from '@camphortack/configuration';

/** A version of the configuration with a digest of its objects. Immutable. */
export type ConfigurationContent = {
	version: number;
	/** Depends on the objects only, not on the order or the number of changes that led to them. */
	digest: number;
	objects: ConfigurationObjects;
};

/** The content before the first publish: version 0 without objects. */
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
