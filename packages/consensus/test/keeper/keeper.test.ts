import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {PublishResult} from '../../src/index.js';
import {getObjects} from '../support/get-objects.js';
import {getRequest, publish} from '../support/publish.js';
import {TestCluster, type TestClusterOptions} from '../support/test-cluster.js';

describe('a single keeper', () => {
	it('elects itself immediately and publishes', () => {
		const cluster = new TestCluster({keeperIds: ['a']});
		const versions: number[] = [];
		cluster.keepers.get('a')!.addListener(content => {
			versions.push(content.version);
		});
		cluster.timers.advance(50);
		assert.equal(cluster.getLeader().getStatus().role, 'leader');
		assert.deepEqual(publish(cluster, 'a', getRequest('first', 0), 20), {outcome: 'published', version: 1});
		assert.deepEqual(versions, [1]);
	});

	it('recovers from its disk after a crash', () => {
		const cluster = new TestCluster({keeperIds: ['a']});
		cluster.timers.advance(50);
		publish(cluster, 'a', getRequest('first', 0));
		const keeper = cluster.restart('a');
		const versions: number[] = [];
		keeper.addListener(content => {
			versions.push(content.version);
		});
		assert.deepEqual(versions, [1]);
		assert.deepEqual(publish(cluster, 'a', getRequest('second', 1)), {outcome: 'published', version: 2});
	});
});

describe('three keepers', () => {
	function createCluster(options: TestClusterOptions = {}): TestCluster {
		const cluster = new TestCluster(options);
		cluster.timers.advance(6000);
		return cluster;
	}

	function getOthers(id: string): string[] {
		return ['a', 'b', 'c'].filter(other => other !== id);
	}

	it('elect one leader and accept publishes at any of them', () => {
		const cluster = createCluster();
		assert.equal(cluster.findLeaders().length, 1);
		for (const [position, id] of ['a', 'b', 'c'].entries()) {
			assert.deepEqual(publish(cluster, id, getRequest(id, position)), {outcome: 'published', version: position + 1});
		}
	});

	for (const kind of ['consensus.vote-request', 'consensus.vote-answer', 'consensus.append-answer', 'consensus.timeout-now'] as const) {
		// Guards against keepers that can't elect a leader, or start, because no term can follow one that they have seen.
		it(`accept publishes, also after a restart of all, after a message ${kind} of a term that is too large`, () => {
			const cluster = createCluster();
			for (const id of ['a', 'b', 'c']) {
				const [from] = getOthers(id);
				cluster.handleMessage(id, from!, {
					kind,
					term: Number.MAX_SAFE_INTEGER,
					fromIdentity: cluster.keepers.get(from!)!.getStatus().identity,
					toIdentity: cluster.keepers.get(id)!.getStatus().identity,
					lastIndex: 1000,
					lastTerm: Number.MAX_SAFE_INTEGER,
					askedTerm: Number.MAX_SAFE_INTEGER,
					isPreVote: false,
					isTransfer: false,
					isGranted: false,
					isMatched: false,
					index: 0,
					round: 0,
				});
			}

			cluster.timers.advance(6000);
			for (const id of ['a', 'b', 'c']) {
				cluster.restart(id);
			}

			cluster.timers.advance(6000);
			assert.deepEqual(publish(cluster, 'a', getRequest('first', 0)), {outcome: 'published', version: 1});
		});
	}

	it('return the first result for a resend, and the winner of a race to the loser', () => {
		const cluster = createCluster();
		publish(cluster, 'a', getRequest('first', 0));
		const results: PublishResult[] = [];
		for (const [id, author] of [['b', 'bert'], ['c', 'cleo']] as const) {
			cluster.keepers.get(id)!.publish(getRequest(author, 1, author), result => {
				results.push(result);
			});
		}

		cluster.timers.advance(6000);
		const winner = results[0]?.outcome === 'published' ? cluster.getLeader().getHistory().findVersion(2)!.author : '';
		assert.deepEqual(results, [{outcome: 'published', version: 2}, {outcome: 'conflict', version: 2, winner: {version: 2, author: winner, publishId: winner}}]);
		assert.deepEqual(publish(cluster, 'c', getRequest('first', 0)), {outcome: 'published', version: 1});
		const reused = {...getRequest('first', 0), objects: getRequest('other', 0).objects};
		assert.deepEqual(publish(cluster, 'c', reused), {outcome: 'rejected', reason: 'publish-id-reused'});
		assert.deepEqual(publish(cluster, 'c', getRequest('future', 9)), {outcome: 'rejected', reason: 'unknown-base'});
	});

	it('report a publish without a majority as unknown, and its outcome to a resend', () => {
		const cluster = createCluster();
		const leaderId = cluster.findLeaders()[0]!;
		cluster.network.partitionPeers([leaderId], getOthers(leaderId));
		assert.deepEqual(publish(cluster, leaderId, getRequest('first', 0)), {outcome: 'no-majority', state: 'unknown'});
		assert.notEqual(cluster.keepers.get(leaderId)!.getStatus().role, 'leader');
		assert.deepEqual(publish(cluster, leaderId, getRequest('second', 0)), {outcome: 'no-majority', state: 'not-published'});
		cluster.network.healLinks();
		cluster.timers.advance(6000);
		const result = publish(cluster, leaderId, getRequest('first', 0));
		assert.deepEqual(result, {outcome: 'published', version: 1});
	});

	it('keep the leader and its term when a keeper reconnects after a long isolation', () => {
		const cluster = createCluster();
		const leaderId = cluster.findLeaders()[0]!;
		const cutId = getOthers(leaderId)[0]!;
		cluster.network.partitionPeers([cutId], ['a', 'b', 'c'].filter(id => id !== cutId));
		cluster.timers.advance(600_000);
		const {term} = cluster.getLeader().getStatus();
		cluster.network.healLinks();
		cluster.timers.advance(10_000);
		assert.deepEqual(cluster.findLeaders(), [leaderId]);
		assert.equal(cluster.getLeader().getStatus().term, term);
	});

	it('replace a lost disk with a new identity that votes once its log is synced, and then survive the loss of a second keeper', () => {
		const cluster = createCluster();
		const leaderId = cluster.findLeaders()[0]!;
		const [firstId, secondId] = getOthers(leaderId);
		publish(cluster, leaderId, getRequest('first', 0));
		const {identity} = cluster.keepers.get(firstId!)!.getStatus();
		cluster.loseDisk(firstId!);
		cluster.start(firstId!);
		cluster.timers.advance(5000);
		const status = cluster.keepers.get(firstId!)!.getStatus();
		assert.notEqual(status.identity, identity);
		assert.deepEqual(status.keepers.filter(keeper => keeper.role === 'voter').map(keeper => keeper.keeperId).toSorted(), ['a', 'b', 'c']);
		cluster.loseDisk(secondId!);
		assert.deepEqual(publish(cluster, firstId!, getRequest('second', 1)), {outcome: 'published', version: 2});
	});

	it('never bootstrap a second cluster when the keeper that bootstrapped the first one lost its disk', () => {
		const cluster = createCluster();
		publish(cluster, 'b', getRequest('first', 0));
		const {clusterId} = cluster.keepers.get('b')!.getStatus();
		cluster.loseDisk('a');
		cluster.crash('c');
		cluster.network.partitionPeers(['a'], ['b']);
		cluster.start('a');
		cluster.timers.advance(30_000);
		assert.deepEqual(cluster.findLeaders(), []);
		const {clusterId: ownClusterId, isFounder} = cluster.keepers.get('a')!.getStatus();
		assert.deepEqual([ownClusterId, isFounder], [undefined, false]);
		cluster.network.healLinks();
		cluster.start('c');
		cluster.timers.advance(15_000);
		assert.deepEqual([...cluster.keepers.values()].map(keeper => keeper.getStatus().clusterId), [clusterId, clusterId, clusterId]);
		assert.equal(cluster.keepers.get('a')!.getStatus().version, 1);
		assert.deepEqual(['a', 'b', 'c'].map(id => cluster.keepers.get(id)!.getStatus().isFounder), [false, true, true]);
	});

	it('transfer leadership when the leader leaves, without waiting for an election timeout', () => {
		const cluster = createCluster();
		const leaderId = cluster.findLeaders()[0]!;
		cluster.getLeader().startLeaving();
		cluster.timers.advance(100);
		assert.equal(cluster.findLeaders().length, 1);
		assert.notEqual(cluster.findLeaders()[0], leaderId);
	});

	it('bring a keeper up to date with a snapshot in pieces when the log was compacted in its absence', () => {
		const cluster = createCluster();
		const cutId = getOthers(cluster.findLeaders()[0]!)[0]!;
		cluster.crash(cutId);
		const leader = cluster.getLeader();
		const names = Array.from({length: 800}, (_, index) => `pool-${index}`);
		for (let version = 0; version < 560; version++) {
			leader.publish({
				baseVersion: version, publishId: `publish-${version}`, author: 'anna', objects: getObjects(version === 0 ? names : [...names.slice(1), `extra-${version}`]),
			}, () => undefined);
			cluster.timers.advance(20);
		}

		assert.equal(leader.getStatus().version, 560);
		cluster.start(cutId);
		cluster.timers.advance(5000);
		assert.equal(cluster.keepers.get(cutId)!.getStatus().version, 560);
		assert.deepEqual(cluster.keepers.get(cutId)!.getHistory().findObjects(559, getObjects([...names.slice(1), 'extra-559'])), getObjects([...names.slice(1), 'extra-558']));
	});

	it('add further keepers as learners and keep an odd number of voters', () => {
		const cluster = createCluster();
		cluster.add('d');
		cluster.timers.advance(5000);
		assert.equal(cluster.keepers.get('d')!.getStatus().role, 'learner');
		cluster.add('e');
		cluster.timers.advance(10_000);
		assert.deepEqual(cluster.getLeader().getStatus().keepers.map(keeper => keeper.role), Array.from({length: 5}, () => 'voter'));
		const removedId = cluster.findLeaders()[0]!;
		assert.equal(cluster.getLeader().removeKeeper(removedId), 'accepted');
		cluster.timers.advance(6000);
		assert.equal(cluster.findLeaders().length, 1);
		assert.equal(cluster.getLeader().getStatus().keepers.length, 4);
	});

	it('replicate committed entries through another voter to a learner that the leader cannot reach', () => {
		const cluster = createCluster();
		cluster.add('d');
		cluster.timers.advance(5000);
		publish(cluster, 'a', getRequest('first', 0));
		cluster.network.partitionPeers(['d'], cluster.findLeaders());
		publish(cluster, 'a', getRequest('second', 1));
		assert.equal(cluster.keepers.get('d')!.getStatus().version, 2);
	});

	it('drop and count malformed messages', () => {
		const cluster = createCluster();
		cluster.keepers.get('a')!.handlePeerMessage('b', {kind: 'consensus.append', term: 'x'});
		assert.equal(cluster.metrics.getCount('peer-malformed'), 1);
	});
});
