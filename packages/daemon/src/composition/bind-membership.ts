import type {Member} from '@camphortack/core';
import {createMembership} from '@camphortack/membership';
import type {Container} from 'inversify';
import {tokens} from './tokens.js';

export type MembershipBinding = {
	/** The port on which the daemon listens for its peers. */
	peersPort: number;
	/** Called at once with this daemon alone, and on each change. */
	onMembersChanged: (members: readonly Member[]) => void;
};

/**
 * Binds the membership: which other daemons live, and where. Messages of every part count as signs of life.
 * @param container - The container; it has the sources and the peers.
 * @param binding - What is known only once the daemon listens.
 */
export function bindMembership(container: Container, {peersPort, onMembersChanged}: MembershipBinding): void {
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
