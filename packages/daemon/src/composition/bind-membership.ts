import type {Member} from '@camphortack/core';
import {createMembership} from '@camphortack/membership';
import type {Container} from 'inversify';
import {tokens} from './tokens.js';

export type MembershipBindingOptions = {
	/** The port on which the daemon listens for its peers. */
	peersPort: number;
	/** Called immediately with only this daemon, and on each change. */
	onMembersChanged: (members: readonly Member[]) => void;
};

/**
 * Binds the membership, which tracks the live daemons and their addresses. Messages of all components count as signs of life.
 * @param container - The container; the infrastructure and peers must be bound.
 * @param options - The values that are known only once the daemon listens.
 */
export function bindMembership(container: Container, {peersPort, onMembersChanged}: MembershipBindingOptions): void {
	container.bind(tokens.membership).toDynamicValue(context => {
		const {daemon, peers} = context.get(tokens.settings);
		const network = context.get(tokens.peerNetwork);
		const ownSeed = peers.seeds.find(seed => seed.id === daemon.id);
		return createMembership({
			ownMember: {
				...context.get(tokens.identity), roles: daemon.roles, host: ownSeed?.host ?? peers.host, peerPort: peersPort,
			},
			seeds: peers.seeds,
			peers: context.get(tokens.peers),
			timers: context.get(tokens.timers),
			random: context.get(tokens.random),
			metrics: context.get(tokens.metrics),
			events: context.get(tokens.events),
			onMembersChanged,
			onAddress(address) {
				network.setAddress(address);
			},
		});
	});
}
