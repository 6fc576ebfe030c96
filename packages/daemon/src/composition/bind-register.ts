import {createAssignment, createRegisterClient, createTicketTable} from '@camphortack/register';
import type {Container} from 'inversify';
import {createKeeperRegister} from '../register/keeper-register.js';
import {tokens} from './tokens.js';

/**
 * Binds the tickets, the client of the job register and, on a keeper, the register itself.
 * @param container - The container; the keeper must be bound.
 */
export function bindRegister(container: Container): void {
	container.bind(tokens.assignment).toDynamicValue(context => {
		const {ids} = context.get(tokens.settings).keepers;
		return createAssignment(ids.length === 0 ? [context.get(tokens.identity).id] : ids);
	});
	container.bind(tokens.tickets).toDynamicValue(context => {
		const {id, incarnation, availabilityZone} = context.get(tokens.identity);
		return createTicketTable({
			issuer: {availabilityZone, daemonId: id, incarnation},
			timers: context.get(tokens.timers),
			random: context.get(tokens.random),
		});
	});
	container.bind(tokens.registerClient).toDynamicValue(context => {
		const {id, incarnation} = context.get(tokens.identity);
		const client = createRegisterClient({
			ownId: id,
			incarnation,
			timers: context.get(tokens.timers),
			random: context.get(tokens.random),
			metrics: context.get(tokens.metrics),
			peers: context.get(tokens.peers),
			tickets: context.get(tokens.tickets),
			startForwardedJob(job) {
				container.get(tokens.jobs).startForwardedJob(job);
			},
		});
		client.setAssignment(context.get(tokens.assignment));
		return client;
	});
	container.bind(tokens.register).toDynamicValue(context => {
		const keeper = context.get(tokens.keeper);
		const storage = context.get(tokens.storage);
		return keeper && storage && createKeeperRegister({
			ownId: context.get(tokens.identity).id,
			keeper,
			log: storage.registerLog,
			assignment: context.get(tokens.assignment),
			timers: context.get(tokens.timers),
			random: context.get(tokens.random),
			metrics: context.get(tokens.metrics),
			events: context.get(tokens.events),
			peers: context.get(tokens.peers),
		});
	});
}
