import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {getRequest, publish} from '../support/publish.js';
import {TestCluster} from '../support/test-cluster.js';

describe('a single keeper', () => {
	it('elects itself at once and publishes', () => {
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

	it('goes on from its disk after a crash', () => {
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
	it('elect one leader and publish from any of them', () => {
		const cluster = new TestCluster();
		cluster.timers.advance(5000);
		assert.equal(cluster.findLeaders().length, 1);
		for (const [position, id] of ['a', 'b', 'c'].entries()) {
			assert.deepEqual(publish(cluster, id, getRequest(id, position)), {outcome: 'published', version: position + 1});
		}
	});
});
