import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {EvacuationResult, Evacuations} from '../../src/index.js';
import {TestCluster, type TestClusterOptions} from '../support/test-cluster.js';

const settleMs = 20_000;
const orderDurationMs = 6000;

function createCluster(options: TestClusterOptions = {}): TestCluster {
	const cluster = new TestCluster(options);
	cluster.timers.advance(1000);
	cluster.shareMembers();
	cluster.timers.advance(settleMs);
	return cluster;
}

type Order = {id: string; zone: string; isEvacuated: boolean};

/** Gives orders at the same time, and returns their results in the order in which they arrive. */
function give(cluster: TestCluster, ...orders: Order[]): EvacuationResult[] {
	const results: EvacuationResult[] = [];
	for (const {id, zone, isEvacuated} of orders) {
		cluster.keepers.get(id)!.setEvacuation(zone, isEvacuated, result => {
			results.push(result);
		});
	}

	cluster.timers.advance(orderDurationMs);
	return results;
}

function restartAll(cluster: TestCluster, ids: readonly string[], lostDiskIds: readonly string[] = []): void {
	for (const id of ids) {
		cluster.crash(id);
	}

	for (const id of lostDiskIds) {
		cluster.loseDisk(id);
	}

	for (const id of ids) {
		cluster.start(id);
	}

	cluster.timers.advance(1000);
	cluster.shareMembers();
	cluster.timers.advance(settleMs);
}

function getEvacuations(cluster: TestCluster): Evacuations[] {
	return [...cluster.keepers.values()].map(keeper => keeper.findEvacuations());
}

/** Delivers a copy of an order message to the leader, as a link that delays messages does. */
function deliverCopy(cluster: TestCluster, order: {requestId: string; availabilityZone: string; isEvacuated: boolean}): void {
	cluster.handleMessage(cluster.findLeaders()[0]!, 'elsewhere', {kind: 'consensus.set-evacuation', order});
	cluster.timers.advance(orderDurationMs);
}

describe('evacuation orders', () => {
	it('are applied in the order of the log, and each change has a revision', () => {
		const cluster = createCluster();
		const rows = [
			{
				id: 'a', zone: 'zone-b', isEvacuated: true, expected: {revision: 1, availabilityZones: ['zone-b']},
			},
			{
				id: 'b', zone: 'zone-b', isEvacuated: true, expected: {revision: 1, availabilityZones: ['zone-b']},
			},
			{
				id: 'c', zone: 'zone-c', isEvacuated: true, expected: {revision: 2, availabilityZones: ['zone-b', 'zone-c']},
			},
			{
				id: 'b', zone: 'zone-b', isEvacuated: false, expected: {revision: 3, availabilityZones: ['zone-c']},
			},
			{
				id: 'a', zone: 'zone-a', isEvacuated: false, expected: {revision: 3, availabilityZones: ['zone-c']},
			},
		];
		for (const {expected, ...order} of rows) {
			assert.deepEqual(give(cluster, order), [{outcome: 'stored', revision: expected.revision}]);
			assert.deepEqual(getEvacuations(cluster), [expected, expected, expected]);
		}
	});

	// Guards against an acknowledgement that only one disk holds: every keeper loses power at the moment of the acknowledgement.
	it('are durable on a majority when they are acknowledged', () => {
		const cluster = createCluster({syncMs: 40});
		const leaderId = cluster.findLeaders()[0]!;
		let isAcknowledged = false;
		cluster.keepers.get(leaderId)!.setEvacuation('zone-b', true, () => {
			isAcknowledged = true;
			for (const id of ['a', 'b', 'c']) {
				cluster.crash(id);
			}
		});
		cluster.timers.advance(orderDurationMs);
		assert.equal(isAcknowledged, true);
		cluster.loseDisk(leaderId);
		restartAll(cluster, ['a', 'b', 'c']);
		assert.deepEqual(getEvacuations(cluster)[0]?.availabilityZones, ['zone-b']);
	});

	it('are not acknowledged without a majority, whether or not they change anything', () => {
		const cluster = createCluster();
		cluster.crash('b');
		cluster.crash('c');
		for (const isEvacuated of [true, false]) {
			assert.deepEqual(give(cluster, {id: 'a', zone: 'zone-b', isEvacuated}), [{outcome: 'no-majority'}]);
		}
	});

	// Guards against a withdrawal that counts as redundant because the order before it has not been applied yet.
	it('given right after each other both take effect, the later one last', () => {
		const cluster = createCluster();
		const [id] = cluster.findLeaders();
		const results = give(cluster, {id: id!, zone: 'zone-b', isEvacuated: true}, {id: id!, zone: 'zone-b', isEvacuated: false});
		assert.deepEqual(results.map(({outcome}) => outcome), ['stored', 'stored']);
		assert.deepEqual(getEvacuations(cluster).map(({availabilityZones}) => availabilityZones), [[], [], []]);
	});

	it('that race at two keepers end in the same state everywhere', () => {
		for (const seed of [1, 2, 3, 4, 5, 6]) {
			const cluster = createCluster({seed, network: {minDelayMs: 1, maxDelayMs: 80}});
			const results = give(cluster, {id: 'a', zone: 'zone-b', isEvacuated: true}, {id: 'b', zone: 'zone-b', isEvacuated: false});
			assert.deepEqual(results.map(({outcome}) => outcome), ['stored', 'stored'], `seed ${seed}`);
			assert.equal(new Set(getEvacuations(cluster).map(evacuations => JSON.stringify(evacuations))).size, 1, `seed ${seed}`);
		}
	});

	// Guards against a delayed copy of an order that evacuates the availability zone again after the withdrawal.
	const copies = [
		{title: 'that changed something', isRedundant: false},
		{title: 'that changed nothing', isRedundant: true},
	];
	for (const {title, isRedundant} of copies) {
		it(`${title} do not take effect again when a copy arrives after the withdrawal`, () => {
			const cluster = createCluster();
			const order = {requestId: 'first', availabilityZone: 'zone-b', isEvacuated: true};
			give(cluster, ...(isRedundant ? [{id: 'a', zone: 'zone-b', isEvacuated: true}] : []));
			deliverCopy(cluster, order);
			assert.deepEqual(getEvacuations(cluster)[0]!.availabilityZones, ['zone-b']);
			give(cluster, {id: 'a', zone: 'zone-b', isEvacuated: false});
			deliverCopy(cluster, order);
			assert.deepEqual(getEvacuations(cluster)[0]!.availabilityZones, []);
		});
	}

	// Guards against a log entry that a keeper of an earlier version cannot read, in a deployment that never evacuates.
	it('that change nothing are not written', () => {
		const cluster = createCluster();
		const getLastIndexes = () => [...cluster.keepers.values()].map(keeper => keeper.getStatus().lastIndex);
		const before = getLastIndexes();
		assert.deepEqual(give(cluster, {id: 'b', zone: 'zone-b', isEvacuated: false}), [{outcome: 'stored', revision: 0}]);
		assert.deepEqual(getLastIndexes(), before);
	});

	it('reach listeners once they are durable, also after a restart', () => {
		const cluster = createCluster();
		give(cluster, {id: 'a', zone: 'zone-b', isEvacuated: true});
		const keeper = cluster.restart('c');
		const revisions: number[] = [];
		keeper.addEvacuationListener(({revision}) => {
			revisions.push(revision);
		});
		cluster.timers.advance(settleMs);
		give(cluster, {id: 'a', zone: 'zone-b', isEvacuated: false});
		assert.deepEqual(revisions, [1, 2]);
	});
});

describe('an acknowledged evacuation', () => {
	const keeperIds = ['a', 'b', 'c', 'd', 'e', 'f'];
	const rows = [
		{title: 'no disk', lostDisks: 0},
		{title: 'one disk', lostDisks: 1},
		{title: 'as many disks as are tolerated', lostDisks: 2},
	];
	for (const {title, lostDisks} of rows) {
		it(`is kept when all keepers restart and ${title} is lost`, () => {
			const cluster = createCluster({keeperIds, initialKeeperIds: ['a', 'b', 'c'], maxVoters: 5});
			const voterIds = cluster.getLeader().getStatus().keepers.filter(({role}) => role === 'voter').map(({keeperId}) => keeperId);
			give(cluster, {id: 'a', zone: 'zone-b', isEvacuated: true});
			restartAll(cluster, keeperIds, voterIds.slice(0, lostDisks));
			assert.deepEqual(getEvacuations(cluster).map(({availabilityZones}) => availabilityZones), keeperIds.map(() => ['zone-b']));
		});
	}

	// Guards against a snapshot without the evacuations: the log is compacted, and a further keeper gets only the snapshot.
	it('is kept through the compaction of the log and the transfer of a snapshot', () => {
		const cluster = createCluster();
		give(cluster, {id: 'a', zone: 'zone-b', isEvacuated: true});
		for (let number = 1; number <= 600; number++) {
			cluster.keepers.get('a')!.putDocument({number, content: String(number)}, () => {
				// The last number is checked below.
			});
			cluster.timers.advance(20);
		}

		cluster.timers.advance(settleMs);
		cluster.add('d');
		cluster.timers.advance(settleMs);
		restartAll(cluster, ['a', 'b', 'c', 'd']);
		assert.deepEqual([...cluster.keepers.values()].map(keeper => [keeper.findDocument()?.number, ...keeper.findEvacuations().availabilityZones]), [
			[600, 'zone-b'], [600, 'zone-b'], [600, 'zone-b'], [600, 'zone-b'],
		]);
	});
});
