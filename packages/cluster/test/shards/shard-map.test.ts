import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import {VirtualTimers} from '@camphortack/testkit';
import {createShardMap, type ShardMap} from '../../src/shards/shard-map.js';

type Announcement = {shard: string; term: number; placerId: string; loadMs?: number; atMs?: number};

type TestMap = {
	timers: VirtualTimers;
	shards: ShardMap;
};

function createTestMap(announcements: readonly Announcement[], evacuatedZones: ReadonlySet<string> = new Set()): TestMap {
	const timers = new VirtualTimers();
	const shards = createShardMap({
		availabilityZone: 'own', wasDivided: true, isEvacuated: zone => evacuatedZones.has(zone), timers, random: createSeededRandomSource(1),
	});
	for (const {shard, term, placerId, loadMs, atMs = 0} of announcements) {
		timers.advance(atMs - timers.getNowMs());
		shards.updateOtherShard(shard, {term, placerId}, loadMs);
	}

	return {timers, shards};
}

function countChoices(shards: ShardMap, choices: number): Record<string, number> {
	const counts: Record<string, number> = {};
	for (let choice = 0; choice < choices; choice++) {
		const shard = shards.findIdleShard() ?? 'none';
		counts[shard] = (counts[shard] ?? 0) + 1;
	}

	return counts;
}

describe('findIdleShard', () => {
	const rows: Array<{title: string; announcements: Announcement[]; nowMs: number; expected: string | undefined}> = [
		{
			title: 'no other shard', announcements: [], nowMs: 0, expected: undefined,
		},
		{
			title: 'an idle shard', announcements: [{
				shard: 'b', term: 1, placerId: 'keeper-b', loadMs: 0,
			}], nowMs: 0, expected: 'b',
		},
		{
			title: 'a busy shard', announcements: [{
				shard: 'b', term: 1, placerId: 'keeper-b', loadMs: 40,
			}], nowMs: 0, expected: undefined,
		},
		{
			title: 'an idle shard that was last heard 600 ms ago', announcements: [{
				shard: 'b', term: 1, placerId: 'keeper-b', loadMs: 0,
			}], nowMs: 600, expected: 'b',
		},
		{
			title: 'an idle shard that was last heard 800 ms ago', announcements: [{
				shard: 'b', term: 1, placerId: 'keeper-b', loadMs: 0,
			}], nowMs: 800, expected: undefined,
		},
		{
			title: 'a shard whose placer others name, but that has not announced its load', announcements: [{
				shard: 'b', term: 1, placerId: 'keeper-b',
			}], nowMs: 0, expected: undefined,
		},
		{
			title: 'a shard with a newer placer that has not announced its load', announcements: [{
				shard: 'b', term: 1, placerId: 'keeper-b', loadMs: 0,
			}, {shard: 'b', term: 2, placerId: 'keeper-b2'}], nowMs: 0, expected: undefined,
		},
		{
			title: 'the load of a replaced placer, which arrives late', announcements: [{
				shard: 'b', term: 2, placerId: 'keeper-b2', loadMs: 90,
			}, {
				shard: 'b', term: 1, placerId: 'keeper-b', loadMs: 0,
			}], nowMs: 0, expected: undefined,
		},
	];
	for (const {title, announcements, nowMs, expected} of rows) {
		it(`${title} → ${expected ?? 'none'}`, () => {
			const {timers, shards} = createTestMap(announcements);
			timers.advance(nowMs);
			assert.equal(shards.findIdleShard(), expected);
		});
	}

	// Guards against all daemons of an overloaded zone choosing the same idle zone.
	it('spreads jobs over the idle shards, and prefers those with shorter waits', () => {
		const {shards} = createTestMap([
			{
				shard: 'b', term: 1, placerId: 'keeper-b', loadMs: 0,
			},
			{
				shard: 'c', term: 1, placerId: 'keeper-c', loadMs: 0,
			},
			{
				shard: 'd', term: 1, placerId: 'keeper-d', loadMs: 20,
			},
			{
				shard: 'e', term: 1, placerId: 'keeper-e', loadMs: 90,
			},
		]);
		const counts = countChoices(shards, 700);
		assert.deepEqual(Object.keys(counts).toSorted((left, right) => left.localeCompare(right)), ['b', 'c', 'd']);
		assert.ok(counts.b! > 240 && counts.c! > 240, JSON.stringify(counts));
		assert.ok(counts.d! > 50 && counts.d! < 150, JSON.stringify(counts));
	});
});

describe('an evacuated shard', () => {
	// Guards against jobs that are forwarded to a zone in which nothing starts, and which therefore looks idle.
	it('is never idle or open', () => {
		const {shards} = createTestMap([{
			shard: 'b', term: 1, placerId: 'keeper-b', loadMs: 0,
		}], new Set(['b']));
		assert.deepEqual([shards.findIdleShard(), shards.findOpenShard('job', new Set())], [undefined, undefined]);
	});
});

describe('findOpenShard', () => {
	const busy = [{
		shard: 'b', term: 1, placerId: 'keeper-b', loadMs: 90,
	}, {
		shard: 'c', term: 1, placerId: 'keeper-c', loadMs: 270,
	}];

	it('gives a busy shard, but none that was tried or is silent', () => {
		const {timers, shards} = createTestMap(busy);
		assert.equal(shards.findOpenShard('job', new Set(['b'])), 'c');
		assert.equal(shards.findOpenShard('job', new Set(['b', 'c'])), undefined);
		timers.advance(800);
		assert.equal(shards.findOpenShard('job', new Set()), undefined);
	});

	// Guards against all daemons of an evacuated zone choosing the same other zone.
	it('spreads jobs, with more to the shard with the shorter wait', () => {
		const {shards} = createTestMap(busy);
		const chosen = Array.from({length: 400}, (_, number) => shards.findOpenShard(`job-${number}`, new Set()));
		const share = chosen.filter(shard => shard === 'b').length / 400;
		assert.ok(share > 0.65 && share < 0.78, `${share}`);
	});

	// Guards against a job that runs twice because its caller submits it again through another daemon.
	it('gives the same shard to every daemon for a job', () => {
		const maps = [createTestMap(busy), createTestMap(busy.toReversed())];
		for (let number = 0; number < 50; number++) {
			const [left, right] = maps.map(({shards}) => shards.findOpenShard(`job-${number}`, new Set()));
			assert.equal(left, right);
		}
	});
});

describe('isHeard', () => {
	// Guards against forwarded jobs that end as unknown because their zone has just replaced its placer.
	it('a zone that was heard 300 ms ago and has a new placer that has not announced its load → true', () => {
		const {timers, shards} = createTestMap([{
			shard: 'b', term: 1, placerId: 'keeper-b', loadMs: 0,
		}]);
		timers.advance(300);
		shards.updateOtherShard('b', {term: 2, placerId: 'keeper-b2'}, undefined);
		assert.equal(shards.isHeard('b'), true);
		assert.equal(shards.findIdleShard(), undefined);
	});

	const rows = [
		{silenceMs: 0, expected: true},
		{silenceMs: 900, expected: true},
		{silenceMs: 1100, expected: false},
	];
	for (const {silenceMs, expected} of rows) {
		it(`a placer that was last heard ${silenceMs} ms ago → ${expected}`, () => {
			const {timers, shards} = createTestMap([{
				shard: 'b', term: 1, placerId: 'keeper-b', loadMs: 90,
			}]);
			timers.advance(silenceMs);
			assert.equal(shards.isHeard('b'), expected);
		});
	}
});
