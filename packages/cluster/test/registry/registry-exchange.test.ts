import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import type {ClusterMessageOf} from '../../src/messages/cluster-messages.js';
import {createMemberTable} from '../../src/members/member-table.js';
import {createRegistryExchange} from '../../src/registry/registry-exchange.js';
import {createServerRegistry} from '../../src/registry/server-registry.js';
import {createFakeReplicator} from '../support/create-fake-replicator.js';

type Heartbeat = {atMs: number; fromId?: string; placerId?: string; digest?: string | undefined};

/** Sends heartbeats to a daemon whose registry has the digest `own`, and gets the times at which it requests a registry. */
function getRequestTimes(heartbeats: readonly Heartbeat[], memberIds: readonly string[] = ['placer', 'other']): number[] {
	const timers = new VirtualTimers();
	const atMs: number[] = [];
	const exchange = createRegistryExchange({
		availabilityZone: 'north',
		isKeeper: true,
		timers,
		registry: createServerRegistry(timers),
		members: createMemberTable('own', [], timers),
		replicator: createFakeReplicator(() => {
			assert.fail('no descriptions arrive');
		}),
		isDivided: () => true,
		needsServersOf: () => true,
		getDigest: () => 'own',
		isInShard: memberId => memberIds.includes(memberId),
		send(_toId, message) {
			assert.equal(message.kind, 'cluster.registry-request');
			atMs.push(timers.getNowMs());
		},
	});
	for (const {fromId = 'placer', placerId = 'placer', ...heartbeat} of heartbeats) {
		timers.advance(heartbeat.atMs - timers.getNowMs());
		const message: ClusterMessageOf<'cluster.heartbeat'> = {
			kind: 'cluster.heartbeat', availabilityZone: 'north', isKeeper: true, incarnation: 'one', upMs: 60_000, shard: 'north', term: 1, placerId,
			hearsPlacer: true, isLeaving: false, configurationNumber: 0, registryDigest: 'digest' in heartbeat ? heartbeat.digest : 'other',
		};
		exchange.refreshRegistry(fromId, message);
	}

	return atMs;
}

function repeat(count: number, intervalMs: number, rest: Omit<Heartbeat, 'atMs'> = {}): Heartbeat[] {
	return Array.from({length: count}, (_, number) => ({atMs: number * intervalMs, ...rest}));
}

describe('refreshRegistry', () => {
	const rows: Array<{title: string; heartbeats: Heartbeat[]; memberIds?: string[]; expected: number[]}> = [
		// Guards against a request for a whole registry at each of ten heartbeats a second.
		{title: 'a placer that differs for a second', heartbeats: repeat(11, 100), expected: [0, 500, 1000]},
		{title: 'a placer with the same registry', heartbeats: repeat(11, 100, {digest: 'own'}), expected: []},
		// Guards against a request at each new backend server, whose report is mostly on its way.
		{title: 'a placer that has differed for 400 ms', heartbeats: [{atMs: 0, digest: 'own'}, {atMs: 400}], expected: []},
		// Guards against a backend server that this daemon never learns of because its report was lost.
		{title: 'a placer that has differed for 500 ms', heartbeats: [{atMs: 0, digest: 'own'}, {atMs: 100}, {atMs: 500}], expected: [500]},
		{title: 'a daemon that is not the placer', heartbeats: repeat(11, 100, {fromId: 'other'}), expected: []},
		// Guards against a daemon that collects the backend servers of other availability zones.
		{
			title: 'a placer of another shard', heartbeats: repeat(11, 100), memberIds: [], expected: [],
		},
		{title: 'a placer that does not state its digest', heartbeats: repeat(11, 100, {digest: undefined}), expected: []},
		// Guards against a request to the new placer that is held back by one to the placer before.
		{title: 'two placers, one after the other', heartbeats: [{atMs: 0}, {atMs: 100, fromId: 'other', placerId: 'other'}], expected: [0, 100]},
	];
	for (const {title, heartbeats, memberIds, expected} of rows) {
		it(`${title} → ${expected.length === 0 ? 'no request' : `requests at ${expected.join(', ')} ms`}`, () => {
			assert.deepEqual(getRequestTimes(heartbeats, memberIds), expected);
		});
	}
});
