import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import {createMemberTable, type MemberTable} from '../../src/members/member-table.js';
import {createRegistrySources, type RegistrySources} from '../../src/registry/registry-sources.js';

type TestSources = {
	sources: RegistrySources;
	members: MemberTable;
	timers: VirtualTimers;
	requestedIds: string[];
	hear: (incarnation: string) => void;
};

/** Creates the sources of a daemon that has placed in term 4 and hears the placer of term 3. */
function createTestSources(): TestSources {
	const timers = new VirtualTimers();
	const members = createMemberTable('own', [], timers);
	const requestedIds: string[] = [];
	const hear = (incarnation: string) => {
		members.addHeartbeat('placer', {
			kind: 'cluster.heartbeat',
			availabilityZone: 'a',
			isKeeper: true,
			incarnation,
			upMs: 5000,
			shard: 'a',
			term: 3,
			placerId: 'placer',
			hearsPlacer: true,
			isLeaving: false,
			configurationNumber: 1,
		});
	};

	hear('one');
	const sources = createRegistrySources({
		ownId: 'own',
		members,
		timers,
		hasPlacedIn: term => term === 4,
		sendRequest(memberId) {
			requestedIds.push(memberId);
		},
	});
	return {
		sources, members, timers, requestedIds, hear,
	};
}

describe('createRegistrySources', () => {
	const cases: Array<{title: string; placerId?: string; term?: number; prepare?: (test: TestSources) => void; knows: boolean}> = [
		{title: 'a placer that has not sent its registry', knows: false},
		{
			title: 'a placer that has sent its registry', prepare({sources}) {
				sources.addSource('placer');
			}, knows: true,
		},
		{
			title: 'a placer that has restarted since', prepare({sources, hear}) {
				sources.addSource('placer');
				hear('two');
			}, knows: false,
		},
		{
			title: 'a placer that has been silent for 1.9 s', prepare({sources, timers}) {
				sources.addSource('placer');
				timers.advance(1900);
			}, knows: true,
		},
		{
			title: 'a placer that has been silent for 2 s', prepare({sources, timers}) {
				sources.addSource('placer');
				timers.advance(2000);
			}, knows: false,
		},
		{
			title: 'a placer that was never heard', placerId: 'stranger', prepare({sources}) {
				sources.addSource('stranger');
			}, knows: false,
		},
		{
			title: 'an earlier term of this daemon', placerId: 'own', term: 4, knows: true,
		},
		{
			title: 'a term of this daemon before its restart', placerId: 'own', term: 3, knows: false,
		},
	];
	for (const {title, placerId = 'placer', term = 3, prepare, knows} of cases) {
		it(`${title} → ${knows ? 'known' : 'not known'}`, () => {
			const test = createTestSources();
			prepare?.(test);
			assert.equal(test.sources.knowsServersOf({placerId, term}), knows);
		});
	}

	it('requests each missing registry, and not again within 100 ms', () => {
		const {sources, timers, requestedIds} = createTestSources();
		sources.requestMissing([{placerId: 'placer', term: 3}, {placerId: 'own', term: 3}]);
		timers.advance(50);
		sources.requestMissing([{placerId: 'placer', term: 3}]);
		assert.deepEqual(requestedIds, ['placer']);
		timers.advance(50);
		sources.requestMissing([{placerId: 'placer', term: 3}]);
		assert.deepEqual(requestedIds, ['placer', 'placer']);
		sources.addSource('placer');
		timers.advance(200);
		sources.requestMissing([{placerId: 'placer', term: 3}]);
		assert.equal(requestedIds.length, 2);
	});
});
