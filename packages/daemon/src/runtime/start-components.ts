import type {Member, PeerMessage} from '@camphortack/core';
import {isKeeperMessage} from '@camphortack/register';
import type {Container} from 'inversify';
import {bindMembership} from '../composition/bind-membership.js';
import {tokens} from '../composition/tokens.js';

/** A part that hears of the live daemons and of their messages. */
type DaemonPart = {
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	setMembers(members: readonly Member[]): void;
};

function createRegisterRouter(client: DaemonPart, register: DaemonPart | undefined): DaemonPart {
	return {
		handlePeerMessage(fromPeerId, message) {
			const part = isKeeperMessage(message) ? register : client;
			part?.handlePeerMessage(fromPeerId, message);
		},
		setMembers(members) {
			client.setMembers(members);
			register?.setMembers(members);
		},
	};
}

/**
 * Connects the parts to the messages of other daemons and to the list of live ones.
 * @param container - The container of the daemon.
 * @param peersPort - Where the daemon listens for its peers.
 */
export function startParts(container: Container, peersPort: number): void {
	const router = container.get(tokens.peerRouter);
	const keeper = container.get(tokens.keeper);
	const registerClient = container.get(tokens.registerClient);
	const register = container.get(tokens.register);
	const parts: Record<string, DaemonPart> = {
		dispatch: container.get(tokens.dispatcher),
		limits: container.get(tokens.limits),
		configuration: container.get(tokens.follower),
		...(keeper && {consensus: keeper}),
		register: createRegisterRouter(registerClient, register),
	};
	for (const [name, part] of Object.entries(parts)) {
		router.addPart(name, part.handlePeerMessage);
	}

	bindMembership(container, {
		peersPort,
		onMembersChanged(members) {
			for (const part of Object.values(parts)) {
				part.setMembers(members);
			}
		},
	});
	const membership = container.get(tokens.membership);
	router.addPart('membership', membership.handlePeerMessage);
	router.addListener(membership.recordReceived);
}
