import type {PeerMessage, PeerNetwork} from '@camphortack/core';
import {memberTimeoutMs} from '../cluster-timings.js';
import type {MemberTable} from '../members/member-table.js';
import type {ClusterMessage, ClusterMessageOf} from '../messages/cluster-messages.js';

/** Sends messages to daemons that this one does not hear, through a daemon that hears them. */
export type Relay = {
	/** Sends a message directly or through another daemon. Returns false if there is no route. */
	sendTo(toId: string, message: PeerMessage): boolean;
	/** Forwards a message on behalf of another daemon. */
	forward(fromId: string, message: ClusterMessageOf<'cluster.relay'>): void;
	/** Records through which daemon a message arrived, to route replies back. */
	recordRoute(memberId: string, viaId: string): void;
};

export type RelayOptions = {
	ownId: string;
	peers: PeerNetwork;
	members: MemberTable;
};

/**
 * Creates the relay. It covers partial partitions: the jobs of a VM that is cut off from some daemons only, the placer
 * among them, still reach the placer.
 * @param options - The links and the member table.
 */
export function createRelay({ownId, peers, members}: RelayOptions): Relay {
	const routes = new Map<string, string>();

	function hasRecentHeartbeat(memberId: string): boolean {
		return memberId === ownId || members.getSilenceMs(memberId) < memberTimeoutMs;
	}

	function findRoute(toId: string): string | undefined {
		const knownRoute = routes.get(toId);
		if (knownRoute !== undefined && hasRecentHeartbeat(knownRoute)) {
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

			if (hasRecentHeartbeat(toId)) {
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
