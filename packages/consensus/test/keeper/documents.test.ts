import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {DocumentResult, NumberedDocument} from '../../src/index.js';
import {TestCluster, type TestClusterOptions} from '../support/test-cluster.js';

const settleMs = 20_000;
const documentDurationMs = 6000;

function createCluster(options: TestClusterOptions = {}): TestCluster {
	const cluster = new TestCluster(options);
	cluster.timers.advance(1000);
	cluster.shareMembers();
	cluster.timers.advance(settleMs);
	return cluster;
}

function put(cluster: TestCluster, id: string, document: NumberedDocument): DocumentResult | undefined {
	let found: DocumentResult | undefined;
	cluster.keepers.get(id)!.putDocument(document, result => {
		found = result;
	});
	cluster.timers.advance(documentDurationMs);
	return found;
}

function getVoterIds(cluster: TestCluster): string[] {
	return cluster.getLeader().getStatus().keepers.filter(keeper => keeper.role === 'voter').map(keeper => keeper.keeperId);
}

describe('documents', () => {
	it('stores the highest number and rejects different content with the same number', () => {
		const cluster = createCluster();
		const rows: Array<{id: string; document: NumberedDocument; expected: DocumentResult}> = [
			{id: 'a', document: {number: 7, content: 'seven'}, expected: {outcome: 'stored', number: 7}},
			{id: 'b', document: {number: 7, content: 'seven'}, expected: {outcome: 'stored', number: 7}},
			{id: 'c', document: {number: 7, content: 'other'}, expected: {outcome: 'conflict', number: 7}},
			{id: 'a', document: {number: 5, content: 'five'}, expected: {outcome: 'stored', number: 7}},
			{id: 'b', document: {number: 9, content: 'nine'}, expected: {outcome: 'stored', number: 9}},
		];
		for (const {id, document, expected} of rows) {
			assert.deepEqual(put(cluster, id, document), expected);
		}

		assert.deepEqual([...cluster.keepers.values()].map(keeper => keeper.findDocument()?.content), ['nine', 'nine', 'nine']);
	});

	it('stores exactly one of two documents with the same number', () => {
		const cluster = createCluster();
		const results: string[] = [];
		for (const id of ['a', 'b']) {
			cluster.keepers.get(id)!.putDocument({number: 3, content: id}, ({outcome}) => {
				results.push(outcome);
			});
		}

		cluster.timers.advance(documentDurationMs);
		assert.deepEqual(results.toSorted((left, right) => left.localeCompare(right)), ['conflict', 'stored']);
		assert.equal(new Set([...cluster.keepers.values()].map(keeper => keeper.findDocument()?.content)).size, 1);
	});

	it('acknowledges no document without a majority', () => {
		const cluster = createCluster();
		cluster.crash('b');
		cluster.crash('c');
		assert.deepEqual(put(cluster, 'a', {number: 7, content: 'seven'}), {outcome: 'no-majority'});
	});

	it('retains an acknowledged document when all keepers restart', () => {
		const cluster = createCluster();
		put(cluster, 'a', {number: 7, content: 'seven'});
		for (const id of ['a', 'b', 'c']) {
			cluster.crash(id);
		}

		for (const id of ['a', 'b', 'c']) {
			cluster.start(id);
		}

		cluster.timers.advance(settleMs);
		assert.deepEqual([...cluster.keepers.values()].map(keeper => keeper.findDocument()?.content), ['seven', 'seven', 'seven']);
	});
});

describe('six keepers of which three bootstrap the cluster', () => {
	const keeperIds = ['a', 'b', 'c', 'd', 'e', 'f'];

	/** Loses the disks of two voters while all keepers are down, then starts every keeper again. */
	function loseTwoDisks(maxVoters: number): {content: string | undefined; voterCount: number} {
		const cluster = createCluster({keeperIds, initialKeeperIds: ['a', 'b', 'c'], maxVoters});
		const voterIds = getVoterIds(cluster);
		put(cluster, 'a', {number: 7, content: 'seven'});
		for (const id of keeperIds) {
			cluster.crash(id);
		}

		for (const id of voterIds.slice(0, 2)) {
			cluster.loseDisk(id);
		}

		for (const id of keeperIds) {
			cluster.start(id);
		}

		cluster.timers.advance(1000);
		cluster.shareMembers();
		cluster.timers.advance(settleMs);
		let isConfirmed = false;
		const keeper = [...cluster.keepers.values()].find(({getStatus}) => getStatus().role === 'leader');
		keeper?.confirm(value => {
			isConfirmed = value;
		});
		cluster.timers.advance(documentDurationMs);
		return {content: isConfirmed ? keeper?.findDocument()?.content : undefined, voterCount: voterIds.length};
	}

	const rows = [
		{maxVoters: 5, expected: {content: 'seven', voterCount: 5}},
		{maxVoters: 3, expected: {content: undefined, voterCount: 3}},
	];
	for (const {maxVoters, expected} of rows) {
		it(`with ${maxVoters} voters ${expected.content === undefined ? 'serve no document' : 'retain an acknowledged document'} after two lost disks`, () => {
			assert.deepEqual(loseTwoDisks(maxVoters), expected);
		});
	}
});

describe('a permanently lost voter', () => {
	it('is replaced by a learner that is up to date', () => {
		const cluster = createCluster({
			keeperIds: ['a', 'b', 'c', 'd'], initialKeeperIds: ['a', 'b', 'c'], maxVoters: 3, voterReplacementMs: 4000,
		});
		const lostId = getVoterIds(cluster).find(id => !cluster.findLeaders().includes(id))!;
		cluster.crash(lostId);
		cluster.timers.advance(settleMs);
		const voterIds = getVoterIds(cluster);
		assert.deepEqual([voterIds.length, voterIds.includes(lostId)], [3, false]);
		assert.deepEqual(put(cluster, voterIds[0]!, {number: 7, content: 'seven'}), {outcome: 'stored', number: 7});
	});
});
