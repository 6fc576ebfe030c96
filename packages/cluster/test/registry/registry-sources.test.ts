import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {HandoverSource} from '@camphortack/placement';
import {VirtualTimers} from '@camphortack/testkit';
import {createMemberTable} from '../../src/members/member-table.js';
import {createRegistrySources, type RegistrySources} from '../../src/registry/registry-sources.js';

type TestSources = {
	sources: RegistrySources;
	timers: VirtualTimers;
	requestedIds: string[];
	hearPlacer: (incarnation: string) => void;
};

/** Creates the sources of a daemon that hears a placer. */
function createTestSources(): TestSources {
	const timers = new VirtualTimers();
	const members = createMemberTable('own', [], timers);
	const requestedIds: string[] = [];
	const hearPlacer = (incarnation: string) => {
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

	hearPlacer('one');
	const sources = createRegistrySources({
		ownId: 'own',
		ownIncarnation: 'mine',
		members,
		timers,
		getDigest: () => 'own digest',
		isInShard: entryId => entryId !== 'remote-entry',
		sendRequest(memberId) {
			requestedIds.push(memberId);
		},
	});
	return {
		sources, timers, requestedIds, hearPlacer,
	};
}

const source: HandoverSource = {entryId: 'entry', registryDigest: 'own digest', placers: [{placerId: 'placer', incarnation: 'one'}]};

describe('createRegistrySources', () => {
	const cases: Array<{title: string; rest?: Partial<HandoverSource>; prepare?: (test: TestSources) => void; isCovered: boolean}> = [
		{title: 'a placer that has not sent its registry', isCovered: false},
		{
			title: 'a placer that has sent its registry',
			prepare({sources}) {
				sources.addSource('placer', 'any');
			},
			isCovered: true,
		},
		{
			title: 'a placer that has restarted, and has sent its new registry',
			prepare({sources, hearPlacer}) {
				sources.addSource('placer', 'any');
				hearPlacer('two');
				sources.addSource('placer', 'any');
			},
			isCovered: false,
		},
		{
			title: 'the second incarnation of a placer, which has sent its registry',
			rest: {placers: [{placerId: 'placer', incarnation: 'two'}]},
			prepare({sources, hearPlacer}) {
				hearPlacer('two');
				sources.addSource('placer', 'any');
			},
			isCovered: true,
		},
		{
			title: 'a placer that has been silent for 1.9 s',
			prepare({sources, timers}) {
				sources.addSource('placer', 'any');
				timers.advance(1900);
			},
			isCovered: true,
		},
		{
			title: 'a placer that has been silent for 2 s',
			prepare({sources, timers}) {
				sources.addSource('placer', 'any');
				timers.advance(2000);
			},
			isCovered: false,
		},
		{
			title: 'a placer whose incarnation the entry daemon does not know',
			rest: {placers: [{placerId: 'placer', incarnation: ''}]},
			prepare({sources}) {
				sources.addSource('placer', 'any');
			},
			isCovered: false,
		},
		{title: 'no placer', rest: {placers: []}, isCovered: false},
		{title: 'this daemon', rest: {placers: [{placerId: 'own', incarnation: 'mine'}]}, isCovered: true},
		{title: 'this daemon before its restart', rest: {placers: [{placerId: 'own', incarnation: 'former'}]}, isCovered: false},
		{
			title: 'an entry daemon with another registry',
			rest: {registryDigest: 'other'},
			prepare({sources}) {
				sources.addSource('placer', 'any');
			},
			isCovered: false,
		},
		{
			title: 'an entry daemon that has sent its other registry',
			rest: {registryDigest: 'other'},
			prepare({sources}) {
				sources.addSource('placer', 'any');
				sources.addSource('entry', 'other');
			},
			isCovered: true,
		},
		{
			title: 'an entry daemon of another shard',
			rest: {registryDigest: 'other', entryId: 'remote-entry'},
			prepare({sources}) {
				sources.addSource('placer', 'any');
			},
			isCovered: true,
		},
	];
	for (const {title, rest, prepare, isCovered} of cases) {
		it(`${title} → ${isCovered ? 'covered' : 'not covered'}`, () => {
			const test = createTestSources();
			prepare?.(test);
			assert.equal(test.sources.isCoveredBy({...source, ...rest}), isCovered);
		});
	}

	it('requests the missing registries, and none again within 100 ms', () => {
		const {sources, timers, requestedIds} = createTestSources();
		const missing = {...source, registryDigest: 'other', placers: [...source.placers, {placerId: 'own', incarnation: 'former'}]};
		sources.requestMissing(missing);
		timers.advance(50);
		sources.requestMissing(missing);
		assert.deepEqual(requestedIds, ['entry', 'placer']);
		timers.advance(50);
		sources.requestMissing(missing);
		assert.deepEqual(requestedIds, ['entry', 'placer', 'entry', 'placer']);
		sources.addSource('placer', 'any');
		sources.addSource('entry', 'other');
		timers.advance(200);
		sources.requestMissing(missing);
		assert.equal(requestedIds.length, 4);
	});
});
