import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {PeerMessage} from '@camphortack/core';
import type {EvacuationOrderResult} from '../../src/index.js';
import {getRequest, publish} from '../support/publish.js';
import {TestCluster} from '../support/test-cluster.js';

const orderDurationMs = 6000;
const evacuatedA = {revision: 1, availabilityZones: ['zone-a']};

/** Three zones with a keeper and other daemons, and one zone without a keeper; version 1 is active. */
function createCluster(): TestCluster {
	const cluster = new TestCluster({zoneOf: id => `zone-${id.slice(0, 1)}`});
	for (const id of ['a', 'b', 'c', 'a1', 'a2', 'b1', 'd1', 'd2']) {
		cluster.startFollower(id);
	}

	cluster.shareMembers();
	cluster.timers.advance(5000);
	publish(cluster, 'a', getRequest('first', 0));
	return cluster;
}

/** Gives an order to evacuate a zone, or to withdraw that if `isEvacuated` is false, and returns its results. */
function give(cluster: TestCluster, id: string, zone: string, isEvacuated = true): EvacuationOrderResult[] {
	const results: EvacuationOrderResult[] = [];
	cluster.clients.get(id)!.setEvacuation(zone, isEvacuated, result => {
		results.push(result);
	});
	cluster.timers.advance(orderDurationMs);
	return results;
}

function getEvacuations(cluster: TestCluster, ids: Iterable<string> = cluster.followers.keys()) {
	return [...ids].map(id => cluster.followers.get(id)!.getEvacuations());
}

/** Records the kinds and fields of all messages that the cluster sends. */
function recordMessages(cluster: TestCluster): PeerMessage[] {
	const messages: PeerMessage[] = [];
	const handleMessage = cluster.handleMessage.bind(cluster);
	cluster.handleMessage = (id, from, message) => {
		messages.push(message);
		handleMessage(id, from, message);
	};

	return messages;
}

describe('createEvacuationClient', () => {
	// Guards against a daemon that learns of an order only with its next renewal, or not at all.
	it('brings an order of any daemon to every daemon, also if that daemon is no keeper, within a second', () => {
		for (const id of ['a', 'b1', 'd2']) {
			const cluster = createCluster();
			cluster.clients.get(id)!.setEvacuation('zone-a', true, ({outcome}) => {
				assert.equal(outcome, 'stored', id);
			});
			cluster.timers.advance(1000);
			for (const evacuations of getEvacuations(cluster)) {
				assert.deepEqual(evacuations, evacuatedA, id);
			}
		}
	});

	it('acknowledges a repeated order without a change, and withdraws in the order of the log', () => {
		const cluster = createCluster();
		const rows = [
			['d1', 'zone-a', true, 1],
			['d1', 'zone-a', true, 1],
			['b1', 'zone-b', true, 2],
			['d2', 'zone-a', false, 3],
			['a1', 'zone-a', false, 3],
		] as const;
		for (const [id, zone, isEvacuated, revision] of rows) {
			assert.deepEqual(give(cluster, id, zone, isEvacuated), [{outcome: 'stored', revision}]);
		}

		const names = cluster.events.events.filter(event => event.name.startsWith('evacuation-')).map(event => event.name);
		assert.deepEqual(
			['evacuation-in-force', 'evacuation-ended'].map(name => names.filter(other => other === name).length),
			[2 * cluster.followers.size, cluster.followers.size],
		);
	});

	// Guards against an acknowledgement of an order that the loss of a disk could undo.
	it('reports no majority if none responds, and stores nothing', () => {
		const cluster = createCluster();
		cluster.network.partitionPeers(['b', 'c'], ['a', 'a1', 'a2', 'b1', 'd1', 'd2']);
		for (const id of ['a', 'd1']) {
			cluster.clients.get(id)!.setMembers(['a', 'd1'].map(other => cluster.getMember(other)));
		}

		assert.deepEqual(give(cluster, 'd1', 'zone-a'), [{outcome: 'no-majority'}]);
		assert.deepEqual(give(cluster, 'a', 'zone-a'), [{outcome: 'no-majority'}]);
		assert.deepEqual(getEvacuations(cluster, ['a', 'd1']).map(({revision}) => revision), [0, 0]);
	});

	// Guards against a resend that evacuates the zone again after another daemon has acknowledged the withdrawal.
	it('sends an order no more once its operator has given up, with and without a keeper', () => {
		for (const id of ['a', 'd1']) {
			const cluster = createCluster();
			give(cluster, 'b', 'zone-a');
			give(cluster, 'b', 'zone-a', false);
			cluster.network.partitionPeers(['b', 'c'], ['a', 'd1']);
			const members = ['a', 'd1'].map(other => cluster.getMember(other));
			cluster.clients.get(id)!.setMembers(members);
			// The others elect a leader, if it was the keeper that is cut off.
			cluster.timers.advance(10_000);
			const results: EvacuationOrderResult[] = [];
			let isWanted = true;
			cluster.clients.get(id)!.setEvacuation('zone-a', true, result => {
				results.push(result);
			}, () => isWanted);
			cluster.timers.advance(600);
			isWanted = false;
			cluster.network.healLinks();
			cluster.shareMembers();
			cluster.timers.advance(orderDurationMs);
			assert.deepEqual(results, [{outcome: 'no-majority'}], id);
			assert.deepEqual(getEvacuations(cluster, ['b']), [{revision: 2, availabilityZones: []}], id);
		}
	});

	it('stores nothing if the operator gives up during the support check', () => {
		const cluster = createCluster();
		let isWanted = true;
		cluster.clients.get('d1')!.setEvacuation('zone-a', true, ({outcome}) => {
			assert.equal(outcome, 'no-majority');
		}, () => isWanted);
		isWanted = false;
		cluster.timers.advance(orderDurationMs);
		assert.deepEqual(getEvacuations(cluster, ['a']), [{revision: 0, availabilityZones: []}]);
	});

	// An earlier keeper cannot read the order in the log, and an earlier dispatcher would go on starting tasks.
	it('stores no order while a live daemon of an earlier version is known, but always withdraws', () => {
		const cluster = createCluster();
		cluster.earlierIds.add('b').add('d2');
		assert.deepEqual(give(cluster, 'a1', 'zone-a'), [{outcome: 'unconfirmed', daemonIds: ['b', 'd2']}]);
		assert.deepEqual(getEvacuations(cluster, ['a']), [{revision: 0, availabilityZones: []}]);
		assert.deepEqual(give(cluster, 'a1', 'zone-a', false), [{outcome: 'stored', revision: 0}]);
		cluster.earlierIds.clear();
		assert.deepEqual(give(cluster, 'a1', 'zone-a'), [{outcome: 'stored', revision: 1}]);
	});

	it('asks each process once', () => {
		const cluster = createCluster();
		const messages = recordMessages(cluster);
		for (const zone of ['zone-a', 'zone-b']) {
			give(cluster, 'd1', zone);
		}

		const count = messages.filter(({kind}) => kind === 'evacuations.support-request').length;
		assert.equal(count, cluster.followers.size - 1);
	});

	// An earlier daemon must see the same bytes until the first order.
	it('sends no new message and no new field before the first order', () => {
		const cluster = createCluster();
		const messages = recordMessages(cluster);
		cluster.crash('a1');
		cluster.startFollower('a1');
		cluster.crash('c');
		cluster.start('c');
		cluster.startFollower('c');
		cluster.shareMembers();
		cluster.timers.advance(10_000);
		publish(cluster, 'b', getRequest('second', 1));
		assert.ok(messages.some(({kind}) => kind === 'configuration.digest') && messages.some(({kind}) => kind === 'configuration.update'));
		assert.deepEqual(messages.filter(message => message.kind.startsWith('evacuations.') || 'evacuations' in message), []);
		give(cluster, 'b', 'zone-a');
		assert.ok(messages.some(message => message.kind === 'configuration.digest' && 'evacuations' in message));
	});

	// Messages may be reordered: one that was sent before the withdrawal must not bring the evacuation back.
	it('never replaces a higher revision by a lower one', () => {
		const cluster = createCluster();
		give(cluster, 'a', 'zone-a');
		give(cluster, 'a', 'zone-a', false);
		for (const revision of [1, 2]) {
			cluster.handleMessage('a1', 'a', {kind: 'evacuations.known', evacuations: {revision, availabilityZones: ['zone-a']}});
		}

		assert.deepEqual(getEvacuations(cluster, ['a1']), [{revision: 2, availabilityZones: []}]);
	});
});

describe('a daemon that has just started', () => {
	// Guards against an order that is stored since no other member is known yet, shortly before an earlier version joins.
	it('does not take the absence of other members for a confirmation if it has seeds', () => {
		const cluster = new TestCluster({keeperIds: ['a'], seedIds: ['a', 'b']});
		cluster.startFollower('a');
		cluster.shareMembers();
		cluster.timers.advance(5000);
		assert.deepEqual(give(cluster, 'a', 'zone-a'), [{outcome: 'unconfirmed', daemonIds: ['b']}]);
		assert.deepEqual(getEvacuations(cluster), [{revision: 0, availabilityZones: []}]);
		cluster.startFollower('b');
		cluster.shareMembers();
		assert.deepEqual(give(cluster, 'a', 'zone-a'), [{outcome: 'stored', revision: 1}]);
	});

	it('with a single daemon and no other seed stores an order at once', () => {
		const cluster = new TestCluster({keeperIds: ['a'], seedIds: ['a']});
		cluster.startFollower('a');
		cluster.shareMembers();
		cluster.timers.advance(5000);
		assert.deepEqual(give(cluster, 'a', 'zone-a'), [{outcome: 'stored', revision: 1}]);
	});

	it('does not send an order again while a daemon that has joined since has not confirmed', () => {
		const cluster = createCluster();
		cluster.network.partitionPeers(['d1'], ['a', 'b', 'c']);
		const members = ['d1', 'd2'].map(id => cluster.getMember(id));
		cluster.clients.get('d1')!.setMembers(members);
		cluster.clients.get('d1')!.setEvacuation('zone-a', true, ({outcome}) => {
			assert.equal(outcome, 'no-majority');
		});
		cluster.timers.advance(600);
		cluster.startFollower('d3');
		cluster.earlierIds.add('d3');
		cluster.network.healLinks();
		cluster.shareMembers();
		cluster.timers.advance(orderDurationMs);
		assert.deepEqual(getEvacuations(cluster, ['a']), [{revision: 0, availabilityZones: []}]);
	});
});

describe('a daemon that starts late', () => {
	it('knows the evacuations before it has a configuration, and so before it starts a task', () => {
		const cluster = createCluster();
		give(cluster, 'b', 'zone-a');
		cluster.startFollower('a3');
		cluster.startFollower('d3');
		cluster.shareMembers();
		cluster.timers.advance(1000);
		for (const id of ['a3', 'd3']) {
			assert.deepEqual(cluster.activations.get(id), [['zone-a'], 1], id);
		}
	});

	// The disk of the keeper has the withdrawal, but not the order that was given while it was down.
	it('with a keeper closes its own zone until the keepers have confirmed that its disk is up to date', () => {
		const cluster = createCluster();
		give(cluster, 'b', 'zone-a');
		give(cluster, 'b', 'zone-a', false);
		cluster.crash('a');
		cluster.timers.advance(3000);
		cluster.clients.get('b')!.setMembers(['b', 'c'].map(id => cluster.getMember(id)));
		assert.deepEqual(give(cluster, 'b', 'zone-a'), [{outcome: 'stored', revision: 3}]);
		cluster.start('a');
		cluster.startFollower('a');
		cluster.shareMembers();
		cluster.timers.advance(5000);
		const zones = cluster.activations.get('a')!.filter(activation => typeof activation !== 'number');
		assert.deepEqual(zones[0], ['zone-a']);
		assert.ok(zones.every(list => list.includes('zone-a')), JSON.stringify(zones));
		assert.deepEqual(getEvacuations(cluster, ['a']), [{revision: 3, availabilityZones: ['zone-a']}]);
	});

	it('with a keeper opens its zone again if no majority can be reached, and at once if it is confirmed', () => {
		for (const {isCut, minMs, maxMs} of [{isCut: true, minMs: 3000, maxMs: 4000}, {isCut: false, minMs: 0, maxMs: 1500}]) {
			const cluster = createCluster();
			give(cluster, 'b', 'zone-a');
			give(cluster, 'b', 'zone-a', false);
			cluster.crash('a');
			if (isCut) {
				cluster.network.partitionPeers(['a'], ['b', 'c']);
			}

			cluster.start('a');
			cluster.startFollower('a');
			cluster.shareMembers();
			const isClosed = () => String(cluster.activations.get('a')!.findLast(activation => typeof activation !== 'number')) === 'zone-a';
			cluster.timers.advance(minMs);
			assert.equal(isClosed(), true, `closed ${isCut}`);
			cluster.timers.advance(maxMs - minMs);
			assert.equal(isClosed(), false, `open ${isCut}`);
		}
	});

	// The disk of the keeper shows no order at all, so it does not check; the others tell it as soon as it joins.
	it('with a keeper learns the first order from the keepers that it joins', () => {
		const cluster = createCluster();
		cluster.crash('a');
		cluster.timers.advance(3000);
		cluster.clients.get('b')!.setMembers(['b', 'c'].map(id => cluster.getMember(id)));
		give(cluster, 'b', 'zone-a');
		cluster.start('a');
		cluster.startFollower('a');
		cluster.shareMembers();
		cluster.timers.advance(2);
		assert.deepEqual(getEvacuations(cluster, ['a']), [evacuatedA]);
	});
});
