import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {Member} from '@camphortack/core';
import fc from 'fast-check';
import {leaveDurationMs} from '../src/membership-timings.js';
import {getGatewayIds} from '../src/zones/get-gateway-ids.js';
import {getIds, MembershipCluster} from './support/membership-cluster.js';

const detectionMs = 3500;
const settleMs = 30_000;

function startCluster(ids: readonly string[], seed = 1, lossRatio = 0): MembershipCluster {
	const cluster = new MembershipCluster(seed, ids.slice(0, 8), {maxDelayMs: 2, lossRatio});
	for (const id of ids) {
		cluster.start(id);
	}

	assert.ok(cluster.advanceUntil(() => cluster.isConverged(), settleMs) <= settleMs, 'the daemons have joined');
	return cluster;
}

function hasRunningZonePeer(cluster: MembershipCluster, id: string): boolean {
	return [...cluster.nodes.keys()].some(other => other.startsWith(id.slice(0, 2)));
}

function applyStep(cluster: MembershipCluster, action: string, id: string, otherId: string): void {
	switch (action) {
		case 'kill': {
			cluster.kill(id);
			break;
		}

		case 'start': {
			cluster.start(id);
			break;
		}

		case 'cut': {
			cluster.network.cutLink(id, otherId);
			break;
		}

		case 'heal': {
			cluster.network.healLinks();
			break;
		}

		default: {
			if (cluster.nodes.has(id)) {
				cluster.stop(id);
			}
		}
	}
}

function countLostMembers(cluster: MembershipCluster): number {
	return cluster.events.events.filter(event => event.name === 'member-lost').length;
}

function isReachable(cluster: MembershipCluster, observerId: string, zone: string): boolean | undefined {
	return cluster.nodes.get(observerId)!.membership.getStatus().zones.find(entry => entry.availabilityZone === zone)?.isReachable;
}

describe('createMembership', () => {
	it('reports itself immediately if no seeds are configured', () => {
		const cluster = new MembershipCluster(1, []);
		const {reports, membership} = cluster.start('a-0');
		assert.deepEqual(reports.map(members => members.map(member => member.id)), [['a-0']]);
		cluster.timers.advance(settleMs);
		assert.equal(cluster.network.totals.sentMessages, 0);
		let hasEnded = false;
		membership.startLeaving(() => {
			hasEnded = true;
		});
		assert.ok(hasEnded);
	});

	for (const size of [2, 3, 8, 32, 130]) {
		it(`removes a dead daemon among ${size} within 3.5 s and no live daemon`, () => {
			const ids = getIds('a', size);
			const cluster = startCluster(ids);
			cluster.timers.advance(settleMs);
			cluster.kill(ids.at(-1)!);
			assert.ok(cluster.advanceUntil(() => cluster.isConverged(), detectionMs) <= detectionMs);
			assert.equal(countLostMembers(cluster), size - 1);
		});
	}

	it('removes adjacent daemons of the ring that die together', () => {
		const ids = getIds('a', 16);
		const cluster = startCluster(ids);
		for (const id of ids.slice(2, 6)) {
			cluster.kill(id);
		}

		const limitMs = 2 * detectionMs;
		assert.ok(cluster.advanceUntil(() => cluster.isConverged(), limitMs) <= limitMs);
	});

	it('removes no daemon at a message loss of 20%', () => {
		const cluster = startCluster(getIds('a', 8), 3, 0.2);
		cluster.timers.advance(300_000);
		assert.equal(countLostMembers(cluster), 0);
	});

	const cuts: Array<{name: string; links: Array<[string, string]>}> = [
		{name: 'a daemon whose messages do not reach its watcher', links: [['a-1', 'a-2']]},
		{name: 'a daemon that the messages of its watcher do not reach', links: [['a-2', 'a-1']]},
		{name: 'a daemon whose messages reach only one other daemon', links: [['a-1', 'a-0'], ['a-1', 'a-2'], ['a-1', 'a-3']]},
	];
	for (const {name, links} of cuts) {
		it(`keeps ${name}`, () => {
			const cluster = startCluster(getIds('a', 5));
			for (const [from, to] of links) {
				cluster.network.cutLink(from, to);
			}

			cluster.timers.advance(60_000);
			assert.ok(cluster.isConverged());
			assert.equal(countLostMembers(cluster), 0);
		});
	}

	it('sends indirect pings through other zones if the own zone has no helper', () => {
		const cluster = startCluster(['a-0', 'a-1', 'b-0', 'b-1']);
		cluster.network.cutLink('a-0', 'a-1');
		cluster.timers.advance(60_000);
		assert.ok(cluster.isConverged());
		assert.equal(countLostMembers(cluster), 0);
	});

	it('readmits a paused daemon that refutes its death, and that daemon removes no member on resuming', () => {
		const ids = getIds('a', 6);
		const cluster = startCluster(ids);
		const {timers, reports} = cluster.nodes.get('a-3')!;
		timers.pause();
		cluster.timers.advance(20_000);
		const viewsOfOthers = cluster.getViews().filter((_, index) => index !== 3);
		assert.ok(viewsOfOthers.every(view => view.length === 5), 'the other daemons removed it');
		const reportCount = reports.length;
		timers.resume();
		assert.ok(cluster.advanceUntil(() => cluster.isConverged(), detectionMs) <= detectionMs);
		assert.ok(reports.slice(reportCount).every(members => members.length === 6), 'it kept all members');
		assert.ok(cluster.metrics.getCount('membership-refuted') > 0);
	});

	it('replaces a restarted daemon within 1 s, without declaring its previous process dead', () => {
		const cluster = startCluster(getIds('a', 8));
		cluster.timers.advance(settleMs);
		cluster.start('a-4');
		const limitMs = 1000;
		assert.ok(cluster.advanceUntil(() => cluster.isConverged(), limitMs) <= limitMs);
		assert.equal(cluster.metrics.getCount('membership-declared-dead'), 0);
	});

	it('converges after all daemons restart at the same time', () => {
		const ids = [...getIds('a', 4), ...getIds('b', 4)];
		const cluster = startCluster(ids);
		for (const id of ids) {
			cluster.kill(id);
		}

		for (const id of ids) {
			cluster.start(id);
		}

		assert.ok(cluster.advanceUntil(() => cluster.isConverged(), settleMs) <= settleMs);
	});

	it('removes a daemon that announces its leave without suspecting it', () => {
		const cluster = startCluster([...getIds('a', 6), ...getIds('b', 2)]);
		cluster.stop('a-2');
		cluster.timers.advance(leaveDurationMs);
		const limitMs = 1000;
		assert.ok(cluster.advanceUntil(() => cluster.isConverged(), limitMs) <= limitMs);
		assert.equal(cluster.metrics.getCount('membership-suspected'), 0);
	});

	it('converges after a rolling restart without declaring a daemon dead', () => {
		const cluster = startCluster(getIds('a', 8));
		for (const id of getIds('a', 8)) {
			cluster.stop(id);
			cluster.timers.advance(1000);
			cluster.start(id);
			cluster.timers.advance(1000);
		}

		assert.ok(cluster.advanceUntil(() => cluster.isConverged(), settleMs) <= settleMs);
		assert.equal(cluster.metrics.getCount('membership-declared-dead'), 0);
	});

	it('splits with its zone and merges again, without losing a reachable member on merging', () => {
		const ids = getIds('a', 10);
		const cluster = startCluster(ids);
		cluster.network.partitionPeers(ids.slice(0, 5), ids.slice(5));
		cluster.timers.advance(settleMs);
		assert.deepEqual(cluster.getViews().map(view => view.length), ids.map(() => 5));
		const lostCount = countLostMembers(cluster);
		cluster.network.healLinks();
		const limitMs = 10_000;
		assert.ok(cluster.advanceUntil(() => cluster.isConverged(), limitMs) <= limitMs);
		assert.equal(countLostMembers(cluster), lostCount);
	});

	it('marks a partitioned zone as unreachable, keeps its members, and marks it as reachable after healing', () => {
		const zones = ['a', 'b', 'c'];
		const ids = zones.flatMap(zone => getIds(zone, 3));
		const cluster = startCluster(ids);
		cluster.timers.advance(settleMs);
		cluster.network.partitionPeers(getIds('a', 3), [...getIds('b', 3), ...getIds('c', 3)]);
		cluster.timers.advance(6500);
		for (const id of ids) {
			const unreachableZones = zones.filter(zone => !isReachable(cluster, id, zone));
			assert.deepEqual(unreachableZones, id.startsWith('a') ? ['b', 'c'] : ['a'], id);
		}

		assert.ok(cluster.isConverged(), 'the daemons of an unreachable zone remain members');
		cluster.kill('a-1');
		cluster.start('b-1');
		cluster.timers.advance(settleMs);
		cluster.network.healLinks();
		const limitMs = 5000;
		const isHealed = () => cluster.isConverged() && [...cluster.nodes.keys()].every(id => zones.every(zone => isReachable(cluster, id, zone)));
		assert.ok(cluster.advanceUntil(isHealed, limitMs) <= limitMs);
	});

	it('keeps a zone reachable when one of its gateways dies', () => {
		const ids = ['a', 'b'].flatMap(zone => getIds(zone, 3));
		const cluster = startCluster(ids);
		cluster.timers.advance(settleMs);
		for (const id of ['a-0', 'a-1', 'a-2']) {
			cluster.kill(id);
			cluster.timers.advance(settleMs);
			cluster.start(id);
			cluster.timers.advance(settleMs);
		}

		assert.equal(cluster.events.events.filter(event => event.name === 'zone-unreachable').length, 0);
	});

	for (const action of ['kill', 'stop'] as const) {
		it(`keeps a zone reachable when both of its gateways terminate at the same time (${action})`, () => {
			const zoneIds = getIds('a', 5);
			const cluster = startCluster([...zoneIds, ...getIds('b', 3)]);
			cluster.timers.advance(settleMs);
			for (const id of getGatewayIds(zoneIds, 'b')) {
				cluster[action](id);
			}

			cluster.timers.advance(settleMs);
			const unreachable = cluster.events.events.filter(event => event.name === 'zone-unreachable');
			assert.deepEqual(unreachable.filter(event => event.fields.availabilityZone === 'b'), []);
			assert.ok(cluster.isConverged());
		});
	}

	it('keeps a daemon from which messages arrive when another daemon declares it dead', () => {
		const cluster = startCluster(getIds('a', 4));
		cluster.timers.advance(settleMs);
		const [observer, , reporter, target] = [...cluster.nodes.values()];
		observer!.membership.recordReceived(target!.member.id);
		observer!.membership.handlePeerMessage(reporter!.member.id, {
			kind: 'membership.gossip',
			incarnation: reporter!.member.incarnation,
			counter: 0,
			records: [{...target!.member, counter: 0, state: 'dead'}],
			observations: [],
		});
		cluster.timers.advance(settleMs);
		assert.equal(countLostMembers(cluster), 0);
		assert.ok(cluster.isConverged());
	});

	it('does not mistake its own pause for the failure of another daemon', () => {
		for (let cutMs = 1000; cutMs <= 2600; cutMs += 100) {
			const cluster = startCluster(getIds('a', 5));
			cluster.timers.advance(settleMs);
			cluster.network.partitionPeers(['a-1'], ['a-0', 'a-2', 'a-3', 'a-4']);
			cluster.timers.advance(cutMs);
			cluster.network.healLinks();
			const {timers, reports, membership} = cluster.nodes.get('a-2')!;
			const hasMember = (members: readonly Member[]) => members.some(member => member.id === 'a-1');
			const wasMember = hasMember(membership.getMembers());
			const reportCount = reports.length;
			timers.pause();
			cluster.timers.advance(1000);
			timers.resume();
			cluster.timers.advance(1000);
			const isKept = reports.slice(reportCount).every(members => hasMember(members));
			assert.ok(isKept || !wasMember, `cut for ${cutMs} ms`);
		}
	});

	it('counts and drops malformed messages', () => {
		const cluster = startCluster(getIds('a', 2));
		const {membership, member} = cluster.nodes.get('a-0')!;
		const sender = {...member, counter: 0, state: 'alive'};
		for (const message of [
			{kind: 'membership.ping'},
			{kind: 'membership.unknown'},
			{
				kind: 'membership.exchange', sender, digests: [], isReply: false,
			},
		]) {
			membership.handlePeerMessage('a-1', message);
		}

		assert.equal(cluster.metrics.getCount('peer-malformed'), 3);
	});

	const oddRows: Array<{title: string; odd: Record<string, unknown>}> = [
		{title: 'a port out of range', odd: {peerPort: 99_999}},
		{title: 'a port that is no number', odd: {peerPort: Number.NaN}},
		{title: 'no host', odd: {host: ''}},
		{title: 'an unknown state', odd: {state: 'asleep'}},
		{title: 'a counter that can\'t be exceeded', odd: {counter: Number.MAX_SAFE_INTEGER}},
		{title: 'a counter that is too large', odd: {counter: 1e308}},
	];
	for (const {title, odd} of oddRows) {
		// Guards against a member list of which one odd row takes all others with it.
		it(`uses the other rows of a list in which one has ${title}`, () => {
			const cluster = startCluster(getIds('a', 2));
			const {membership} = cluster.nodes.get('a-0')!;
			const {incarnation} = cluster.nodes.get('a-1')!.member;
			const row = {
				id: 'a-8', incarnation: 'one', availabilityZone: 'a', roles: ['entry'], host: 'host', peerPort: 1, counter: 0, state: 'alive',
			};
			membership.handlePeerMessage('a-1', {
				kind: 'membership.records', incarnation, counter: 0, records: [{...row, ...odd}, {...row, id: 'a-9'}], observations: [{}],
			});
			assert.deepEqual(membership.getMembers().map(member => member.id), ['a-0', 'a-1', 'a-9']);
			const dropped = cluster.events.events.filter(({name}) => name === 'peer-row-dropped').map(({fields}) => `${fields.from} ${fields.list} ${fields.index}`);
			assert.deepEqual(dropped, ['a-1 records 0', 'a-1 observations 0']);
		});
	}

	// Guards against a daemon that no other one hears any more, because it refuted a row with a counter that can't be exceeded.
	it('stays a member after an odd row about itself', () => {
		const cluster = startCluster(getIds('a', 3));
		const {membership, member} = cluster.nodes.get('a-0')!;
		membership.handlePeerMessage('a-1', {
			kind: 'membership.gossip',
			incarnation: cluster.nodes.get('a-1')!.member.incarnation,
			counter: 0,
			records: [{...member, counter: Number.MAX_SAFE_INTEGER, state: 'dead'}],
			observations: [],
		});
		cluster.timers.advance(settleMs);
		assert.ok(cluster.isConverged());
		assert.equal(cluster.metrics.getCount('peer-malformed'), 0);
	});

	it('is not pinged while other messages arrive from it', () => {
		const cluster = startCluster(getIds('a', 2));
		cluster.timers.advance(settleMs);
		const before = cluster.network.totals.sentMessages;
		for (let round = 0; round < 60; round++) {
			cluster.timers.advance(500);
			cluster.nodes.get('a-0')!.membership.recordReceived('a-1');
			cluster.nodes.get('a-1')!.membership.recordReceived('a-0');
		}

		assert.ok(cluster.network.totals.sentMessages - before <= 6, 'only exchanges are sent');
	});

	it('converges on the running processes after random faults', () => {
		const ids = [...getIds('a', 4), ...getIds('b', 3)];
		const step = fc.record({
			action: fc.constantFrom('kill', 'start', 'stop', 'cut', 'heal'),
			id: fc.constantFrom(...ids),
			otherId: fc.constantFrom(...ids),
			pauseMs: fc.integer({min: 0, max: 8000}),
		});
		fc.assert(fc.property(fc.integer({min: 1, max: 1_000_000}), fc.array(step, {maxLength: 12}), (seed, steps) => {
			const cluster = startCluster(ids, seed);
			for (const {action, id, otherId, pauseMs} of steps) {
				applyStep(cluster, action, id, otherId);
				cluster.timers.advance(pauseMs);
			}

			cluster.network.healLinks();
			// An unreachable zone keeps its members, so at least one daemon of each zone has to run.
			for (const id of ['a-0', 'b-0'].filter(first => !hasRunningZonePeer(cluster, first))) {
				cluster.start(id);
			}

			cluster.timers.advance(detectionMs);
			const limitMs = 60_000;
			assert.ok(cluster.advanceUntil(() => cluster.isConverged(), limitMs) <= limitMs);
			cluster.timers.advance(settleMs);
			assert.ok(cluster.isConverged());
		}), {numRuns: 60, seed: 7});
	});
});
