import {createDispatcher} from '@camphortack/dispatch';
import {createDistributedLimiter} from '@camphortack/policy';
import type {Container} from 'inversify';
import {HttpTaskStarter} from '../backend/http-task-starter.js';
import {tokens} from './tokens.js';

/**
 * Binds the distributed limiter, the client of the backend servers and the dispatcher.
 * @param container - The container; the infrastructure and peers must be bound.
 */
export function bindDispatch(container: Container): void {
	container.bind(tokens.limits).toDynamicValue(context => {
		const {id, incarnation, availabilityZone} = context.get(tokens.identity);
		const {daemon, peers} = context.get(tokens.settings);
		const zoneSeeds = peers.seeds.filter(seed => seed.availabilityZone === availabilityZone && seed.id !== id);
		// Without a configured data folder and without peers, no task of an earlier process can still be running.
		const isEmbedded = daemon.dataFolder === undefined && peers.seeds.length === 0;
		return createDistributedLimiter({
			ownId: id,
			incarnation,
			availabilityZone,
			timers: context.get(tokens.timers),
			random: context.get(tokens.random),
			metrics: context.get(tokens.metrics),
			events: context.get(tokens.events),
			peers: context.get(tokens.peers),
			minZoneMembers: zoneSeeds.length + 1,
			earlierUse: isEmbedded ? 'none' : 'possible',
			// The data folder is new and this keeper founded the cluster, so no configuration and thus no limit was ever in force.
			isFirstStart: () => container.get(tokens.storage)?.isNew === true && container.get(tokens.keeper)?.getStatus().isFounder === true,
		});
	});
	container.bind(tokens.taskStarter).toDynamicValue(context => new HttpTaskStarter(event => {
		container.get(tokens.dispatcher).handleTaskEvent(event);
	}, context.get(tokens.events)));
	container.bind(tokens.dispatcher).toDynamicValue(context => {
		const {id, incarnation, availabilityZone} = context.get(tokens.identity);
		return createDispatcher({
			ownId: id,
			incarnation,
			availabilityZone,
			timers: context.get(tokens.timers),
			random: context.get(tokens.random),
			metrics: context.get(tokens.metrics),
			events: context.get(tokens.events),
			peers: context.get(tokens.peers),
			starter: context.get(tokens.taskStarter),
			limits: context.get(tokens.limits),
		});
	});
}
