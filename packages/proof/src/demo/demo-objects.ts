import {configurationObjectsSchema, type ConfigurationObjects} from '@camphortack/configuration';

/** The configuration objects that the demo publishes: one pool, one service, one customer and one limit. */
export const demoObjects: ConfigurationObjects = configurationObjectsSchema.parse({
	pools: {walnut: {}},
	services: {'polish-quote': {pool: 'walnut', declaredRunTimeMs: 50}},
	customers: {'workshop-chain': {limits: ['workshop-chain']}},
	limits: {'workshop-chain': {tasksInFlight: 100}},
});
