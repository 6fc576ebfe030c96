import type {Member, PeerMessage} from '@camphortack/core';
import {isKeeperMessage} from '@camphortack/register';
import type {Container} from 'inversify';
import {bindMembership} from '../composition/bind-membership.js';
import {tokens} from '../composition/tokens.js';

/** A component that receives messages from other daemons and updates of the member list. */
type PeerMessageComponent = {
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	setMembers(members: readonly Member[]): void;
};

function createRegisterRouter(client: PeerMessageComponent, register: PeerMessageComponent | undefined): PeerMessageComponent {
	return {
		handlePeerMessage(fromPeerId, message) {
			const component = isKeeperMessage(message) ? register : client;
			component?.handlePeerMessage(fromPeerId, message);
		},
		setMembers(members) {
			client.setMembers(members);
			register?.setMembers(members);
		},
	};
}

/**
 * Connects the components to the messages of other daemons and to the list of live members.
 * @param container - The container of the daemon.
 * @param peersPort - The port on which the daemon listens for its peers.
 */
export function startComponents(container: Container, peersPort: number): void {
	const router = container.get(tokens.peerRouter);
	const keeper = container.get(tokens.keeper);
	const evacuationClient = container.get(tokens.evacuationClient);
	const registerClient = container.get(tokens.registerClient);
	const register = container.get(tokens.register);
	const components: Record<string, PeerMessageComponent> = {
		dispatch: container.get(tokens.dispatcher),
		limits: container.get(tokens.limits),
		configuration: container.get(tokens.follower),
		evacuations: evacuationClient,
		// Without a keeper, the results of forwarded orders arrive under this name.
		consensus: keeper ?? evacuationClient,
		register: createRegisterRouter(registerClient, register),
	};
	for (const [name, component] of Object.entries(components)) {
		router.addHandler(name, component.handlePeerMessage);
	}

	bindMembership(container, {
		peersPort,
		onMembersChanged(members) {
			for (const component of Object.values(components)) {
				component.setMembers(members);
			}
		},
	});
	const membership = container.get(tokens.membership);
	router.addHandler('membership', membership.handlePeerMessage);
	router.addListener(membership.recordReceived);
}
