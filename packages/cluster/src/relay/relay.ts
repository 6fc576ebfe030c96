import type {PeerMessage, PeerNetwork} from '@camphortack/core';
import {memberTimeoutMs} from '../cluster-timings.js';
import type {MemberTable} from '../members/member-table.js';
import type {ClusterMessage, ClusterMessageOf} from '../messages/cluster-messages.js';

/** Reaches daemons that this one does not hear itself, through one that does. */
export type Relay = {
	/** Sends a message; false if there is no way. */
	sendTo(toId: string, message: PeerMessage): boolean;
	/** Passes a message of another daemon on. */
	forward(fromId: string, message: ClusterMessageOf<'cluster.relay'>): void;
	/** Notes through whom a daemon's message came, for the way back. */
	recordRoute(memberId: string, viaId: string): void;
};

export type RelayOptions = {
	ownId: string;
	peers: PeerNetwork;
	members: MemberTable;
};

/**
 * Creates the relay. Answers VMs that are cut off from some daemons only: their jobs still reach the placer.
 * @param options - The links and what is known of the other daemons.
 */
export function createRelay({ownId, peers, members}: RelayOptions): Relay {
	const routes = new Map<string, string>();

	function isHeard(memberId: string): boolean {
		return memberId === ownId || members.getSilenceMs(memberId) < memberTimeoutMs;
	}

	function findRoute(toId: string): string | undefined {
		const knownRoute = routes.get(toId);
		if (knownRoute !== undefined && isHeard(knownRoute)) {
			return knownRoute;
		}

		return members.getAliveMembers().find(member => member.hearsPlacer && member.placerId === toId)?.id;
	}

	function send(toId: string, message: ClusterMessage): void {
		peers.send(toId, message);
	}

	return {
		sendTo(toId, message) {
			if (toId === '') {
				return false;
			}

			if (isHeard(toId)) {
				peers.send(toId, message);
				return true;
			}

			const viaId = findRoute(toId);
			if (viaId !== undefined) {
				send(viaId, {kind: 'cluster.relay', toId, message});
			}

			return viaId !== undefined;
		},
		forward(fromId, {toId, message}) {
			send(toId, {kind: 'cluster.relayed', fromId, message});
		},
		recordRoute(memberId, viaId) {
			routes.set(memberId, viaId);
		},
	};
}
