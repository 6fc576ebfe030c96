import {createConfigurationFollower, createEvacuationClient, createKeeper} from '@camphortack/consensus';
import type {Container} from 'inversify';
import {createConfigurationService} from '../configuration/create-configuration-service.js';
import {tokens} from './tokens.js';

/**
 * Binds the keeper, if this daemon has the role, the follower that applies new versions, the client that gives orders to
 * evacuate availability zones, and the configuration service.
 * @param container - The container; the infrastructure, peers, storage and dispatcher must be bound.
 */
export function bindConfiguration(container: Container): void {
	container.bind(tokens.keeper).toDynamicValue(context => {
		const storage = context.get(tokens.storage);
		const {id, availabilityZone} = context.get(tokens.identity);
		const {ids} = context.get(tokens.settings).keepers;
		return storage && createKeeper({
			ownId: id,
			availabilityZone,
			log: storage.configurationLog,
			peers: context.get(tokens.peers),
			timers: context.get(tokens.timers),
			random: context.get(tokens.random),
			events: context.get(tokens.events),
			metrics: context.get(tokens.metrics),
			initialKeeperIds: ids.length === 0 ? [id] : ids,
		});
	});
	container.bind(tokens.follower).toDynamicValue(context => {
		const dispatcher = context.get(tokens.dispatcher);
		const limits = context.get(tokens.limits);
		const {id, availabilityZone} = context.get(tokens.identity);
		return createConfigurationFollower({
			ownId: id,
			availabilityZone,
			peers: context.get(tokens.peers),
			timers: context.get(tokens.timers),
			random: context.get(tokens.random),
			events: context.get(tokens.events),
			metrics: context.get(tokens.metrics),
			keeper: context.get(tokens.keeper),
			onConfiguration(configuration) {
				limits.setConfiguration(configuration);
				dispatcher.setConfiguration(configuration);
			},
			onClosedZones: dispatcher.setClosedZones,
		});
	});
	container.bind(tokens.evacuationClient).toDynamicValue(context => createEvacuationClient({
		ownId: context.get(tokens.identity).id,
		seedIds: context.get(tokens.settings).peers.seeds.map(({id}) => id),
		peers: context.get(tokens.peers),
		timers: context.get(tokens.timers),
		random: context.get(tokens.random),
		metrics: context.get(tokens.metrics),
		follower: context.get(tokens.follower),
		keeper: context.get(tokens.keeper),
	}));
	container.bind(tokens.configurationService).toDynamicValue(context => createConfigurationService({
		follower: context.get(tokens.follower),
		keeper: context.get(tokens.keeper),
		timers: context.get(tokens.timers),
	}));
}
