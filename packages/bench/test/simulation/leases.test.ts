import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createCluster, type Cluster, type Node} from '../support/create-cluster.js';

const runTimesMs = Array.from({length: 20}, (_, index) => 50 + (index * 20));

/** Submits jobs every 50 ms, to the live daemons in turn. */
function runLoad(cluster: Cluster, prefix: string, durationMs: number, {nodes = cluster.nodes, concurrentJobs = 1}: LoadOptions = {}): void {
	const {submit, advance} = cluster;
	let submitted = 0;
	for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
		const live = nodes.filter(node => node.isUp);
		for (let job = 0; job < concurrentJobs; job++) {
			submit(live[submitted++ % live.length]!, `${prefix}-${passedMs}-${job}`, runTimesMs);
		}

		advance(50);
	}
}

function assertOncePerTask({fleet}: Cluster): void {
	assert.ok(fleet.startsByTask.size > 0);
	assert.deepEqual([...fleet.startsByTask].filter(([, starts]) => starts > 1), []);
}

type LoadOptions = {nodes?: readonly Node[]; concurrentJobs?: number};

describe('slot leases', () => {
	for (const {daemons, servers} of [{daemons: 2, servers: 30}, {daemons: 8, servers: 30}, {daemons: 130, servers: 1050}]) {
		it(`are never granted twice with ${daemons} daemons and ${servers} backend servers of a zone`, () => {
			const cluster = createCluster({daemons, servers});
			cluster.timers.advance(3000);
			const seconds = daemons > 100 ? 1 : 4;
			const sentBefore = cluster.network.totals.sentMessages;
			const bytesBefore = cluster.network.totals.sentBytes;
			runLoad(cluster, 'job', seconds * 1000, {concurrentJobs: Math.ceil(servers / 20)});
			const messageRate = (cluster.network.totals.sentMessages - sentBefore) / daemons / seconds;
			const byteRate = (cluster.network.totals.sentBytes - bytesBefore) / daemons / seconds;
			const tasks = cluster.fleet.totals.startedTasks / seconds;
			console.log(`${daemons} daemons, ${servers} servers, ${tasks.toFixed(0)} tasks a second: ${messageRate.toFixed(1)} messages and ${byteRate.toFixed(0)} bytes a second for each daemon`);
			cluster.timers.advance(10_000);
			assert.equal(cluster.overLeased.size, 0);
			assert.equal(cluster.fleet.totals.refusedTasks, 0);
			assert.ok(cluster.fleet.servers.every(server => server.maxBusySlots <= server.slots));
			assert.ok([...cluster.outcomes.values()].every(({outcome}) => outcome === 'complete'));
			assertOncePerTask(cluster);
		});
	}

	it('tolerate loss, delay and duplication of messages', () => {
		for (const seed of [1, 2, 3]) {
			const cluster = createCluster({
				daemons: 8,
				servers: 30,
				seed,
				network: {
					minDelayMs: 0.1, maxDelayMs: 30, lossRatio: 0.05, duplicationRatio: 0.1,
				},
			});
			cluster.timers.advance(3000);
			runLoad(cluster, 'job', 4000);
			cluster.timers.advance(15_000);
			assert.equal(cluster.overLeased.size, 0, `seed ${seed}`);
			assert.equal(cluster.outcomes.size, 80, `seed ${seed}`);
			assertOncePerTask(cluster);
		}
	});

	it('of a crashed daemon are granted again only after they have expired', () => {
		const cluster = createCluster({daemons: 3, servers: 12});
		cluster.timers.advance(3000);
		const lost = cluster.nodes[0]!;
		const others = cluster.nodes.slice(1);
		const lostServers = lost.dispatcher.getStatus().backendServers.filter(server => server.heldSlots > 0).map(({id}) => id);
		assert.ok(lostServers.length > 0);
		runLoad(cluster, 'before', 1000);
		cluster.crash(lost);
		cluster.setMembers(others, others);
		const countHeld = () => others.flatMap(({dispatcher}) => dispatcher.getStatus().backendServers)
			.filter(server => lostServers.includes(server.id) && server.heldSlots > 0).length;
		cluster.advance(1950);
		assert.equal(countHeld(), 0);
		cluster.advance(100);
		assert.equal(countHeld(), lostServers.length);
		runLoad(cluster, 'after', 1000);
		cluster.timers.advance(12_000);
		assert.ok([...cluster.outcomes].every(([id, {outcome}]) => !id.startsWith('after') || outcome === 'complete'));
		assertOncePerTask(cluster);
	});

	it('move immediately to a daemon that joins, except for slots that are still in use', () => {
		const cluster = createCluster({daemons: 4, servers: 12});
		const joining = cluster.nodes[0]!;
		const others = cluster.nodes.slice(1);
		cluster.setMembers(others, others);
		cluster.timers.advance(4000);
		runLoad(cluster, 'before', 1000, {nodes: others});
		cluster.setMembers(cluster.nodes, cluster.nodes);
		cluster.advance(100);
		assert.ok(joining.dispatcher.getStatus().backendServers.some(({heldSlots}) => heldSlots > 0));
		runLoad(cluster, 'after', 2000);
		cluster.timers.advance(10_000);
		assert.equal(cluster.overLeased.size, 0);
		assert.equal(cluster.fleet.totals.refusedTasks, 0);
		assert.ok([...cluster.outcomes.values()].every(({outcome}) => outcome === 'complete'));
	});

	it('expire within 2 s at a partitioned daemon, so that a leaving backend server gets no tasks after 3 s', () => {
		const cluster = createCluster({daemons: 2, servers: 4});
		cluster.timers.advance(3000);
		const partitioned = cluster.nodes[0]!;
		const other = cluster.nodes[1]!;
		cluster.network.partitionPeers([partitioned.member.id], [other.member.id]);
		for (const {id} of cluster.announcements) {
			other.dispatcher.removeBackendServer(id, 'first');
		}

		cluster.advance(1000);
		cluster.setMembers([partitioned], [partitioned]);
		cluster.advance(2000);
		const {startedTasks} = cluster.fleet.totals;
		for (let index = 0; index < 20; index++) {
			cluster.submit(partitioned, `late-${index}`, [50]);
			cluster.advance(250);
		}

		assert.equal(cluster.fleet.totals.startedTasks, startedTasks);
		partitioned.dispatcher.announceBackendServer(cluster.announcements[0]!);
		cluster.advance(500);
		assert.ok(cluster.fleet.totals.startedTasks > startedTasks, 'a direct announcement proves that the backend server is still available');
	});

	it('are handed over by a draining daemon, which finishes its own jobs', () => {
		const cluster = createCluster({daemons: 3, servers: 6});
		cluster.timers.advance(3000);
		const draining = cluster.nodes[0]!;
		const other = cluster.nodes[1]!;
		for (let index = 0; index < 10; index++) {
			cluster.submit(draining, `job-${index}`, runTimesMs, {tasks: runTimesMs.map(payload => ({payload, needs: {processors: 0.1}}))});
		}

		cluster.advance(10);
		draining.dispatcher.startDraining();
		cluster.submit(draining, 'refused', [50]);
		cluster.submit(other, 'served', runTimesMs);
		cluster.advance(100);
		const refused = cluster.outcomes.get('refused');
		assert.ok(refused?.outcome === 'refused' && refused.code === 'draining');
		assert.ok(draining.dispatcher.getStatus().backendServers.every(({heldSlots}) => heldSlots === 0));
		cluster.advance(6000);
		cluster.outcomes.delete('refused');
		assert.equal(cluster.outcomes.size, 11);
		assert.ok([...cluster.outcomes.values()].every(({outcome}) => outcome === 'complete'));
		assert.equal(cluster.overLeased.size, 0);
		assert.equal(draining.dispatcher.getStatus().openJobs, 0);
	});
});
