import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {PeerNetwork, type PeerMessage} from '@camphortack/core';
import {VirtualTimers} from '@camphortack/testkit';
import {createHeartbeatSender, type HeartbeatSender} from '../../src/members/heartbeat-sender.js';
import {createMemberTable} from '../../src/members/member-table.js';
import type {ClusterMessageOf} from '../../src/messages/cluster-messages.js';

class RecordingPeers extends PeerNetwork {
	readonly receiverIds: string[] = [];

	override send(peerId: string, _message: PeerMessage): void {
		this.receiverIds.push(peerId);
	}
}

function getHeartbeat(availabilityZone: string, isKeeper: boolean, placerId: string): ClusterMessageOf<'cluster.heartbeat'> {
	return {
		kind: 'cluster.heartbeat',
		availabilityZone,
		isKeeper,
		incarnation: 'one',
		upMs: 5000,
		shard: availabilityZone,
		term: 1,
		placerId,
		hearsPlacer: true,
		isLeaving: false,
		configurationNumber: 1,
	};
}

/** Creates the sender of an entry daemon of zone a that has heard its keeper, one entry daemon of its zone, and three daemons of zone b. */
function createEntrySender(): {sender: HeartbeatSender; peers: RecordingPeers; timers: VirtualTimers} {
	const timers = new VirtualTimers();
	const peers = new RecordingPeers();
	const members = createMemberTable('entry-a1', ['keeper-a'], timers);
	members.addHeartbeat('keeper-a', getHeartbeat('a', true, 'keeper-a'));
	members.addHeartbeat('entry-a2', getHeartbeat('a', false, 'keeper-a'));
	members.addHeartbeat('keeper-b', getHeartbeat('b', true, 'placer-b'));
	members.addHeartbeat('placer-b', getHeartbeat('b', true, 'placer-b'));
	members.addHeartbeat('entry-b1', getHeartbeat('b', false, 'placer-b'));
	const sender = createHeartbeatSender({
		availabilityZone: 'a',
		isKeeper: false,
		peers,
		timers,
		members,
		incarnation: 'one',
		resetLink() {
			// Fake links queue nothing.
		},
		onContacts() {
			// Fake links need no addresses.
		},
		isPlacing: () => false,
		isDivided: () => true,
		getContent: () => ({
			shard: 'a', loadMs: undefined, view: {term: 1, placerId: 'keeper-a'}, hearsPlacer: true, isLeaving: false, configurationNumber: 1, evacuationRevision: 0,
		}),
	});
	return {sender, peers, timers};
}

describe('createHeartbeatSender', () => {
	it('sendAll in a divided deployment → the own zone and placers of other zones', () => {
		const {sender, peers} = createEntrySender();
		sender.sendAll();
		assert.deepEqual(peers.receiverIds.toSorted(), ['entry-a2', 'keeper-a', 'placer-b']);
	});

	const answers: Array<{name: string; memberId: string; passedMs: number[]; count: number}> = [
		{
			name: 'a daemon that receives heartbeats regularly', memberId: 'entry-a2', passedMs: [0, 250, 250], count: 0,
		},
		{
			name: 'a daemon of another zone, once', memberId: 'entry-b1', passedMs: [0], count: 1,
		},
		{
			name: 'a daemon of another zone, four times in a second', memberId: 'entry-b1', passedMs: [0, 250, 250, 250], count: 1,
		},
		{
			name: 'a daemon of another zone, again after a second', memberId: 'entry-b1', passedMs: [0, 1000], count: 2,
		},
	];
	for (const {name, memberId, passedMs, count} of answers) {
		it(`replyIfDue: ${name} → ${count} replies`, () => {
			const {sender, peers, timers} = createEntrySender();
			for (const durationMs of passedMs) {
				timers.advance(durationMs);
				sender.replyIfDue(memberId);
			}

			assert.deepEqual(peers.receiverIds, Array.from({length: count}, () => memberId));
		});
	}
});
