import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {getRequest, publish} from '../support/publish.js';
import {TestCluster} from '../support/test-cluster.js';

/** Three zones with a keeper and up to three other daemons each, and one zone without a keeper. */
function createFollowerCluster(): TestCluster {
	const cluster = new TestCluster({zoneOf: id => `zone-${id.slice(0, 1)}`});
	for (const id of ['a', 'b', 'c', 'a1', 'a2', 'a3', 'b1', 'b2', 'c1', 'd1', 'd2', 'd3']) {
		cluster.startFollower(id);
	}

	cluster.shareMembers();
	cluster.timers.advance(5000);
	return cluster;
}

function getVersions(cluster: TestCluster, ids: readonly string[]): number[] {
	return ids.map(id => cluster.followers.get(id)!.getStatus().version);
}

describe('createConfigurationFollower', () => {
	it('activates a version on every daemon within 4 s, including a zone without a keeper', () => {
		const cluster = createFollowerCluster();
		const startedAtMs = cluster.timers.getNowMs();
		publish(cluster, 'b', getRequest('first', 0));
		for (const [id, versions] of cluster.versions) {
			assert.equal(versions.length, 1, id);
			assert.ok(versions[0]!.atMs - startedAtMs < 4000, `${id} ${versions[0]!.atMs - startedAtMs}`);
		}
	});

	it('publishes through any daemon', () => {
		const cluster = createFollowerCluster();
		const outcomes: string[] = [];
		cluster.followers.get('d2')!.publish(getRequest('first', 0), result => {
			outcomes.push(result.outcome);
		});
		cluster.timers.advance(4000);
		assert.deepEqual(outcomes, ['published']);
		assert.equal(cluster.followers.get('a3')!.getStatus().version, 1);
	});

	it('keeps working in an isolated zone, reports staleness, and serves the keeper\'s version to a restarted daemon', () => {
		const cluster = createFollowerCluster();
		publish(cluster, 'a', getRequest('first', 0));
		const zone = ['a', 'a1', 'a2', 'a3'];
		const others = [...cluster.followers.keys()].filter(id => !zone.includes(id));
		cluster.network.partitionPeers(zone, others);
		cluster.timers.advance(4000);
		publish(cluster, 'b', getRequest('second', 1));
		cluster.crash('a2');
		cluster.startFollower('a2');
		cluster.shareMembers();
		cluster.timers.advance(20_000);
		assert.deepEqual(getVersions(cluster, [...zone, 'b1', 'd1']), [1, 1, 1, 1, 2, 2]);
		assert.ok(cluster.followers.get('a2')!.getStatus().isStale);
		assert.ok(!cluster.followers.get('d1')!.getStatus().isStale);
		assert.ok(cluster.events.events.some(event => event.name === 'configuration-stale'));
		cluster.network.healLinks();
		cluster.timers.advance(6000);
		assert.deepEqual(getVersions(cluster, zone), [2, 2, 2, 2]);
		assert.ok(!cluster.followers.get('a2')!.getStatus().isStale);
	});

	it('never serves a starting daemon a version older than the committed one, even if the zone\'s keeper lags', () => {
		const cluster = createFollowerCluster();
		publish(cluster, 'a', getRequest('first', 0));
		cluster.crash('a');
		publish(cluster, 'b', getRequest('second', 1), 8000);
		cluster.network.partitionPeers(['a'], ['b', 'c']);
		cluster.start('a');
		cluster.startFollower('a');
		cluster.crash('a1');
		cluster.startFollower('a1');
		cluster.shareMembers();
		cluster.timers.advance(10_000);
		assert.deepEqual(getVersions(cluster, ['a1']), [0]);
		cluster.network.healLinks();
		cluster.timers.advance(6000);
		assert.deepEqual(getVersions(cluster, ['a1']), [2]);
	});

	it('drops messages for an earlier start of the daemon', () => {
		const cluster = createFollowerCluster();
		const content = {version: 1, digest: 0, changes: []};
		const piece = {pieceIndex: 0, pieceCount: 1};
		cluster.followers.get('d1')!.handlePeerMessage('a', {
			kind: 'configuration.update',
			startId: -1,
			fromVersion: 0,
			keeperAgeMs: 0,
			...content,
			...piece,
		});
		assert.deepEqual(getVersions(cluster, ['d1']), [0]);
	});

	it('restores the version of a daemon with a disk after a restart', () => {
		const cluster = createFollowerCluster();
		cluster.startFollower('a4', true);
		cluster.shareMembers();
		publish(cluster, 'a', getRequest('first', 0));
		publish(cluster, 'a', getRequest('second', 1));
		cluster.crash('a4');
		cluster.startFollower('a4', true);
		assert.deepEqual(getVersions(cluster, ['a4']), [2]);
	});

	it('switches to another source when a daemon between it and the keeper crashes', () => {
		const cluster = new TestCluster({keeperIds: ['a'], zoneOf: () => 'zone-a'});
		const ids = Array.from({length: 30}, (_, index) => `daemon-${index}`);
		for (const id of ['a', ...ids]) {
			cluster.startFollower(id);
		}

		cluster.shareMembers();
		cluster.timers.advance(3000);
		publish(cluster, 'a', getRequest('first', 0));
		const innerIds = ids.filter(id => cluster.followers.get(id)!.getStatus().subscriberCount > 0);
		assert.ok(innerIds.length > 0);
		cluster.crash(innerIds[0]!);
		publish(cluster, 'a', getRequest('second', 1), 4000);
		const liveIds = ids.filter(id => id !== innerIds[0]);
		assert.deepEqual(new Set(getVersions(cluster, liveIds)), new Set([2]));
	});
});
