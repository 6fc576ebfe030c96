import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {MembershipCluster} from './membership-cluster.js';

function startCluster(zones: number, nodesPerZone: number, lossRatio = 0) {
	const cluster = new MembershipCluster(zones, nodesPerZone, lossRatio);
	const ids = [...cluster.nodes.keys()];
	assert.notEqual(cluster.findTimeToAgree(ids, 15_000), undefined, 'the daemons did not find each other');
	cluster.timers.advance(10_000);
	return {
		cluster,
		ids,
		others: ids.slice(0, -1),
		last: ids.at(-1)!,
	};
}

function assertWithin(timeMs: number | undefined, longestMs: number): void {
	assert.ok(timeMs !== undefined && timeMs <= longestMs, `took ${timeMs} ms`);
}

describe('createMembership', () => {
	for (const [nodesPerZone, longestMs] of [[2, 2000], [8, 2200], [32, 2600], [128, 3000]] as const) {
		it(`detects a crash among ${nodesPerZone} daemons and stays under 1 KB a second each`, () => {
			const {cluster, others, last} = startCluster(1, nodesPerZone);
			cluster.timers.advance(30_000);
			const bytesBefore = cluster.network.totals.sentBytes;
			cluster.timers.advance(10_000);
			const bytesPerSecond = (cluster.network.totals.sentBytes - bytesBefore) / 10 / nodesPerZone;
			assert.ok(bytesPerSecond < 1000, `${bytesPerSecond} bytes a second`);
			cluster.crash(last);
			assertWithin(cluster.findTimeToAgree(others, 10_000), longestMs);
		});
	}

	it('removes nobody while 5% of the messages are lost and doubled', () => {
		const {cluster, ids} = startCluster(1, 8, 0.05);
		const sinceMs = cluster.timers.getNowMs();
		cluster.timers.advance(120_000);
		assert.deepEqual(ids.map(id => cluster.countRemovals(id, sinceMs)), ids.map(() => 0));
	});

	it('removes nobody for a link that is cut in one direction or both, while others reach both sides', () => {
		const {cluster, ids} = startCluster(1, 6);
		const sinceMs = cluster.timers.getNowMs();
		cluster.network.cutLink('z0n0', 'z0n1');
		cluster.network.cutSides(['z0n2'], ['z0n3']);
		cluster.timers.advance(60_000);
		assert.deepEqual(ids.map(id => cluster.countRemovals(id, sinceMs)), ids.map(() => 0));
	});

	it('takes back a paused daemon that wakes up, which removes nobody itself', () => {
		const {cluster, ids, others, last} = startCluster(1, 6);
		const {timers, views} = cluster.nodes.get(last)!;
		const viewsBefore = views.length;
		timers.pause();
		assertWithin(cluster.findTimeToAgree(others, 10_000), 2200);
		cluster.timers.advance(10_000);
		timers.resume();
		assertWithin(cluster.findTimeToAgree(ids, 10_000), 3000);
		assert.equal(views.length, viewsBefore);
	});

	it('takes a restarted daemon as a new one, and a whole zone that restarts at once', () => {
		const {cluster, ids, last} = startCluster(1, 6);
		cluster.crash(last);
		cluster.start(last);
		assertWithin(cluster.findTimeToAgree(ids, 10_000), 3000);
		for (const id of ids) {
			cluster.crash(id);
		}

		for (const id of ids) {
			cluster.start(id);
		}

		assertWithin(cluster.findTimeToAgree(ids, 10_000), 4000);
	});

	it('removes a daemon at once after its farewell', () => {
		const {cluster, others, last} = startCluster(1, 6);
		cluster.nodes.get(last)!.membership.startLeaving();
		assertWithin(cluster.findTimeToAgree(others, 1000), 50);
		cluster.timers.advance(5000);
		assertWithin(cluster.findTimeToAgree(others, 0), 0);
	});

	it('parts two sides of a zone and joins them again', () => {
		const {cluster, ids} = startCluster(1, 6);
		const left = ids.slice(0, 3);
		const right = ids.slice(3);
		cluster.network.cutSides(left, right);
		assertWithin(cluster.findTimeToAgree(left, 10_000), 4000);
		assertWithin(cluster.findTimeToAgree(right, 10_000), 4000);
		cluster.timers.advance(60_000);
		cluster.network.healLinks();
		assertWithin(cluster.findTimeToAgree(ids, 20_000), 8000);
	});

	it('tells other zones of crashes, restarts and cuts, and of the end of a cut', () => {
		const {cluster, ids, last} = startCluster(3, 3);
		const before = ids.filter(id => id !== last);
		cluster.crash(last);
		assertWithin(cluster.findTimeToAgree(before, 10_000), 5000);
		cluster.start(last);
		assertWithin(cluster.findTimeToAgree(ids, 10_000), 5000);
		const inside = ids.filter(id => id.startsWith('z0'));
		const outside = ids.filter(id => !id.startsWith('z0'));
		cluster.network.cutSides(inside, outside);
		assertWithin(cluster.findTimeToAgree(inside, 10_000), 8000);
		assertWithin(cluster.findTimeToAgree(outside, 10_000), 8000);
		cluster.timers.advance(60_000);
		cluster.crash(inside[0]!);
		cluster.start(inside[0]!);
		cluster.network.healLinks();
		assertWithin(cluster.findTimeToAgree(ids, 20_000), 5000);
	});

	it('elects another gateway when one dies', () => {
		const {cluster, ids} = startCluster(2, 3);
		for (const id of ids.slice(0, 2)) {
			cluster.crash(id);
			cluster.timers.advance(12_000);
			const left = ids.filter(each => cluster.nodes.has(each));
			assertWithin(cluster.findTimeToAgree(left, 0), 0);
		}
	});

	it('counts and drops malformed messages', () => {
		const {cluster, ids} = startCluster(1, 2);
		const {membership} = cluster.nodes.get(ids[0]!)!;
		for (const message of [{kind: 'membership.ping', sequence: 'x'}, {kind: 'membership.unknown'}]) {
			membership.handlePeerMessage(ids[1]!, message);
		}

		assert.equal(membership.getMalformedCount(), 2);
	});
});
