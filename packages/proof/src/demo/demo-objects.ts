import {configurationObjectsSchema, type ConfigurationObjects} from '@camphortack/configuration';

/** The objects that the demo publishes: one customer, one service, one pool. */
export const demoObjects: ConfigurationObjects = configurationObjectsSchema.parse({
	pools: {walnut: {}},
	services: {'polish-quote': {pool: 'walnut', declaredRunTimeMs: 50}},
	customers: {'workshop-chain': {limits: ['workshop-chain']}},
	limits: {'workshop-chain': {tasksInFlight: 100}},
});
