import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {BackendServerDescription, HandoverSource} from '@camphortack/placement';
import {VirtualTimers} from '@camphortack/testkit';
import {recordRequestIntervalMs} from '../../src/cluster-timings.js';
import {createEarlierRecords, type EarlierRecords} from '../../src/records/earlier-records.js';
import {getIncarnationsDigest} from '../../src/registry/get-incarnations-digest.js';
import {createServerRegistry, type ServerRegistry} from '../../src/registry/server-registry.js';
import {createFakeReplicator} from '../support/create-fake-replicator.js';
import {createServerDescription} from '../support/create-server-description.js';

const north = createServerDescription('north');
const south = createServerDescription('south', {availabilityZone: 'south'});

type TestRecords = {
	timers: VirtualTimers;
	registry: ServerRegistry;
	earlierRecords: EarlierRecords;
	requests: string[];
	/** The ids of the backend servers of which this daemon has learned from records. */
	learnedIds: string[];
};

function createTestRecords(shard: string): TestRecords {
	const timers = new VirtualTimers();
	const registry = createServerRegistry(timers);
	const requests: string[] = [];
	const learnedIds: string[] = [];
	const earlierRecords = createEarlierRecords({
		timers,
		registry,
		replicator: createFakeReplicator(descriptions => {
			learnedIds.push(...descriptions.map(({id}) => id));
		}),
		getShard: () => shard,
		sendRequest(entryId, digest) {
			requests.push(`${entryId} ${digest}`);
		},
		onRecord() {
			// These tests have no placer.
		},
	});
	return {
		timers, registry, earlierRecords, requests, learnedIds,
	};
}

function getSource(descriptions: BackendServerDescription[] | undefined, entryId = 'entry'): HandoverSource {
	return {
		entryId, placers: [], registryDigest: '', recordDigest: descriptions === undefined ? undefined : getIncarnationsDigest(descriptions),
	};
}

function getIds(records: EarlierRecords, source: HandoverSource): string[] | undefined {
	return records.findServers(source)?.map(({id}) => id);
}

describe('findServers', () => {
	const rows: Array<{title: string; shard: string; registered: BackendServerDescription[]; source: HandoverSource; expected: string[] | undefined}> = [
		{
			title: 'a record that equals the own registry', shard: '', registered: [north, south], source: getSource([north, south]), expected: ['north', 'south'],
		},
		{
			title: 'a record that equals what the registry has of the shard', shard: 'north', registered: [north, south], source: getSource([north]), expected: ['north'],
		},
		// Guards against a search that ends without a backend server on which the earlier placer has started tasks.
		{
			title: 'a record with one more', shard: '', registered: [north], source: getSource([north, south]), expected: undefined,
		},
		{
			title: 'a record with another incarnation', shard: '', registered: [{...north, bornMs: 2}], source: getSource([north]), expected: undefined,
		},
		{
			title: 'an empty record', shard: '', registered: [], source: getSource([]), expected: [],
		},
		// Guards against a handover of an earlier version that is taken for an empty record.
		{
			title: 'no record', shard: '', registered: [], source: getSource(undefined), expected: undefined,
		},
	];
	for (const {title, shard, registered, source, expected} of rows) {
		it(`${title} → ${expected === undefined ? 'not known' : `[${expected.join(', ')}]`}`, () => {
			const {registry, earlierRecords} = createTestRecords(shard);
			for (const description of registered) {
				registry.addDescription(description);
			}

			assert.deepEqual(getIds(earlierRecords, source), expected);
		});
	}

	// Guards against a record that changes with the own registry after it was found.
	it('keeps a record that was found once', () => {
		const {registry, earlierRecords} = createTestRecords('');
		registry.addDescription(north);
		earlierRecords.findServers(getSource([north]));
		registry.addDescription(south);
		assert.deepEqual(getIds(earlierRecords, getSource([north])), ['north']);
	});
});

describe('addRecord', () => {
	const rows = [
		{title: 'a record with its digest', digest: getIncarnationsDigest([north, south]), expected: ['north', 'south']},
		// Guards against a record of which rows were dropped because they could not be parsed.
		{title: 'a record that lacks a row', digest: getIncarnationsDigest([north, south, {id: 'odd', bornMs: 1}]), expected: undefined},
	];
	for (const {title, digest, expected} of rows) {
		it(`${title} → ${expected === undefined ? 'dropped' : 'known, and so are its backend servers'}`, () => {
			const {earlierRecords, learnedIds} = createTestRecords('');
			earlierRecords.addRecord('entry', {kind: 'placement.record', digest, descriptions: [north, south]});
			assert.deepEqual(getIds(earlierRecords, {...getSource([]), recordDigest: digest}), expected);
			assert.deepEqual(learnedIds, expected ?? []);
		});
	}
});

describe('requestMissing', () => {
	const digest = getIncarnationsDigest([north]);
	const rows: Array<{title: string; act: (test: TestRecords) => void; expected: string[]}> = [
		{
			title: 'a record that is not known', act({earlierRecords}) {
				earlierRecords.requestMissing(getSource([north]));
			}, expected: [`entry ${digest}`],
		},
		{
			title: 'a known one', act({registry, earlierRecords}) {
				registry.addDescription(north);
				earlierRecords.requestMissing(getSource([north]));
			}, expected: [],
		},
		{
			title: 'no record', act({earlierRecords}) {
				earlierRecords.requestMissing(getSource(undefined));
			}, expected: [],
		},
		// Guards against a request for each of many jobs with one record, and at each pass.
		{
			title: 'the same one of the same entry daemon at once', act({earlierRecords}) {
				earlierRecords.requestMissing(getSource([north]));
				earlierRecords.requestMissing(getSource([north]));
			}, expected: [`entry ${digest}`],
		},
		// Guards against a search that ends as unknown because a request or its answer was lost.
		{
			title: 'the same one when a repetition is due', act({timers, earlierRecords}) {
				earlierRecords.requestMissing(getSource([north]));
				timers.advance(recordRequestIntervalMs);
				earlierRecords.requestMissing(getSource([north]));
			}, expected: [`entry ${digest}`, `entry ${digest}`],
		},
		// Guards against a request to an entry daemon that is gone, which holds back the one to another with the same record.
		{
			title: 'the same one of another entry daemon', act({earlierRecords}) {
				earlierRecords.requestMissing(getSource([north], 'gone'));
				earlierRecords.requestMissing(getSource([north]));
			}, expected: [`gone ${digest}`, `entry ${digest}`],
		},
	];
	for (const {title, act, expected} of rows) {
		it(`${title} → ${expected.length} requests`, () => {
			const test = createTestRecords('');
			act(test);
			assert.deepEqual(test.requests, expected);
		});
	}
});

describe('hasLeft', () => {
	// Guards against jobs that end as unknown because a recorded backend server has deregistered and cannot be claimed.
	it('an incarnation that has ended → true, a later one under its id → false', () => {
		const {registry, earlierRecords} = createTestRecords('');
		registry.removeServer('north', 1);
		assert.deepEqual([1, 2].map(bornMs => earlierRecords.hasLeft({id: 'north', bornMs})), [true, false]);
	});
});
