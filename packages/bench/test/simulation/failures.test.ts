import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createCluster, type Cluster} from '../support/create-cluster.js';

const oneSecondTasks = (count: number) => Array.from({length: count}, () => 1000);

/** Submits enough tasks to one daemon that it hands work over to the others. */
function submitLargeJob(cluster: Cluster, id: string, other = {}): void {
	cluster.submit(cluster.nodes[0]!, id, oneSecondTasks(100), other);
}

describe('jobs that are partly run by other daemons', () => {
	it('use the slots of every availability zone', () => {
		const cluster = createCluster({daemons: 4, servers: 16, zones: 2});
		cluster.timers.advance(3000);
		submitLargeJob(cluster, 'first');
		cluster.timers.advance(3000);
		submitLargeJob(cluster, 'second');
		cluster.timers.advance(1100);
		assert.equal(cluster.outcomes.get('second')?.outcome, 'complete');
	});

	it('fail with the correct state of each task when the other daemon is lost', () => {
		const cluster = createCluster({daemons: 2, servers: 8});
		cluster.timers.advance(3000);
		const [origin, lost] = [cluster.nodes[0]!, cluster.nodes[1]!];
		submitLargeJob(cluster, 'job');
		cluster.timers.advance(100);
		const startedAtLost = lost.dispatcher.getStatus().runningTasks;
		assert.ok(startedAtLost > 0);
		cluster.crash(lost);
		cluster.setMembers([origin], [origin]);
		const outcome = cluster.outcomes.get('job');
		assert.ok(outcome?.outcome === 'failed' && outcome.reason === 'daemon-lost');
		cluster.timers.advance(10_000);
		for (const {index, state} of outcome.tasks) {
			assert.ok(state !== 'not-run' || !cluster.fleet.startsByTask.has(`job/${index}`), `task ${index}`);
		}

		assert.ok([...cluster.fleet.startsByTask.values()].every(starts => starts === 1));
	});

	it('rerun the tasks of an idempotent job that were lost with the other daemon, within the retry budget', () => {
		const cluster = createCluster({daemons: 2, servers: 8, service: {retryBudgetRatio: 1}});
		cluster.timers.advance(3000);
		const [origin, lost] = [cluster.nodes[0]!, cluster.nodes[1]!];
		for (let index = 0; index < 5; index++) {
			cluster.submit(origin, `before-${index}`, Array.from({length: 20}, () => 50));
			cluster.timers.advance(1000);
		}

		submitLargeJob(cluster, 'job', {idempotent: true, deadlineMs: 30_000});
		cluster.timers.advance(100);
		cluster.crash(lost);
		cluster.setMembers([origin], [origin]);
		cluster.timers.advance(15_000);
		assert.equal(cluster.outcomes.get('job')?.outcome, 'complete');
	});

	it('end at their deadline when the link is cut, and run no task twice after it heals', () => {
		const cluster = createCluster({daemons: 2, servers: 8});
		cluster.timers.advance(3000);
		submitLargeJob(cluster, 'job', {deadlineMs: 3000});
		cluster.timers.advance(100);
		cluster.network.partitionPeers(['daemon-0'], ['daemon-1']);
		cluster.timers.advance(4000);
		const outcome = cluster.outcomes.get('job');
		assert.ok(outcome?.outcome === 'failed');
		cluster.network.healLinks();
		cluster.timers.advance(10_000);
		assert.ok([...cluster.fleet.startsByTask.values()].every(starts => starts === 1));
		cluster.submit(cluster.nodes[0]!, 'after', oneSecondTasks(40));
		cluster.timers.advance(3000);
		assert.equal(cluster.outcomes.get('after')?.outcome, 'complete');
	});

	it('run on the only backend server of the zone that is large enough, whichever daemon manages it', () => {
		const cluster = createCluster({daemons: 4, servers: 8});
		const large = {...cluster.announcements[0]!, incarnation: 'second', processors: 64};
		cluster.nodes[0]!.dispatcher.announceBackendServer(large);
		cluster.timers.advance(3000);
		for (const [index, node] of cluster.nodes.entries()) {
			cluster.submit(node, `job-${index}`, [], {tasks: [{payload: 100, needs: {processors: 32}}, {payload: 100}]});
			cluster.submit(node, `too-large-${index}`, [], {tasks: [{payload: 100, needs: {processors: 65}}]});
		}

		cluster.timers.advance(1000);
		for (const [id, outcome] of cluster.outcomes) {
			assert.equal(outcome.outcome === 'refused' ? outcome.code : outcome.outcome, id.startsWith('job') ? 'complete' : 'never-fits', id);
		}

		assert.equal(cluster.outcomes.size, 8);
	});

	it('immediately reassign the tasks that the other daemon refused', () => {
		const cluster = createCluster({daemons: 2, servers: 8});
		cluster.timers.advance(3000);
		submitLargeJob(cluster, 'first');
		cluster.nodes[1]!.dispatcher.startDraining();
		cluster.timers.advance(6000);
		assert.equal(cluster.outcomes.get('first')?.outcome, 'complete');
		assert.ok(cluster.metrics.getCount('part-refused') > 0);
		assert.ok([...cluster.fleet.startsByTask.values()].every(starts => starts === 1));
	});

	it('are stopped with at most one message per job when many are cancelled at once', () => {
		const cluster = createCluster({daemons: 2, servers: 8});
		cluster.timers.advance(3000);
		for (let index = 0; index < 20; index++) {
			submitLargeJob(cluster, `job-${index}`, {deadlineMs: 60_000});
		}

		cluster.timers.advance(200);
		const sentBefore = cluster.network.totals.sentMessages;
		for (let index = 0; index < 20; index++) {
			assert.equal(cluster.nodes[0]!.dispatcher.cancelJob(`job-${index}`), true);
		}

		assert.ok(cluster.network.totals.sentMessages - sentBefore <= 20);
		assert.equal(cluster.outcomes.size, 20);
		assert.equal(cluster.nodes[0]!.dispatcher.getStatus().queuedTasks, 0);
		cluster.timers.advance(100);
		assert.equal(cluster.nodes[1]!.dispatcher.getStatus().queuedTasks, 0);
	});
});

describe('backend servers', () => {
	it('of a rack that fails as a whole refuse connections, and every job completes on the others', () => {
		const cluster = createCluster({daemons: 2, servers: 16});
		cluster.timers.advance(3000);
		cluster.submit(cluster.nodes[0]!, 'warm-up', Array.from({length: 100}, () => 50));
		cluster.timers.advance(1000);
		for (const server of cluster.fleet.servers.slice(0, 8)) {
			server.fault = 'dead';
		}

		for (let index = 0; index < 10; index++) {
			cluster.submit(cluster.nodes[index % 2]!, `job-${index}`, Array.from({length: 20}, () => 100));
			cluster.timers.advance(500);
		}

		cluster.timers.advance(10_000);
		assert.ok([...cluster.outcomes.values()].every(({outcome}) => outcome === 'complete'));
		assert.ok(cluster.metrics.getCount('retry-connect-refused') > 0);
	});

	it('that are stragglers get their idempotent tasks hedged, if the service has a hedge budget', () => {
		for (const hedgeBudgetRatio of [0, 0.1]) {
			const cluster = createCluster({daemons: 1, servers: 4, service: {hedgeBudgetRatio}});
			for (let index = 0; index < 40; index++) {
				cluster.submit(cluster.nodes[0]!, `before-${index}`, [100, 100, 100, 100], {idempotent: true});
				cluster.timers.advance(200);
			}

			cluster.fleet.getServer('server-0').fault = 'straggler';
			for (let index = 0; index < 4; index++) {
				cluster.submit(cluster.nodes[0]!, `job-${index}`, [100], {idempotent: index !== 3});
			}

			cluster.timers.advance(370);
			const done = ['job-0', 'job-1', 'job-2', 'job-3'].filter(id => cluster.outcomes.has(id)).length;
			assert.equal(cluster.metrics.getCount('hedge-started'), hedgeBudgetRatio === 0 ? 0 : 1);
			assert.equal(done, hedgeBudgetRatio === 0 ? 3 : 4);
			cluster.timers.advance(1000);
		}
	});

	it('that fail every task are ejected, so that at most 0.5% of the tasks fail after the first second', () => {
		const cluster = createCluster({daemons: 2, servers: 16});
		cluster.timers.advance(3000);
		cluster.fleet.getServer('server-3').fault = 'fails-fast';
		for (let index = 0; index < 600; index++) {
			cluster.submit(cluster.nodes[index % 2]!, `job-${index}`, Array.from({length: 8}, () => 200));
			cluster.timers.advance(25);
			if (index === 40) {
				cluster.fleet.measureFailuresFromMs = cluster.timers.getNowMs();
			}
		}

		const {measuredFailedTasks, measuredStartedTasks} = cluster.fleet.totals;
		assert.ok(cluster.metrics.getCount('backend-server-ejected') > 0);
		assert.ok(measuredFailedTasks / measuredStartedTasks <= 0.005, `${measuredFailedTasks} of ${measuredStartedTasks}`);
	});
});
