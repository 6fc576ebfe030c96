import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {backendServerAnnouncementSchema} from '@camphortack/core';
import {createCluster, type Cluster, type Node} from '../support/create-cluster.js';

const taskMs = 300;
const tasks = (count: number, runTimeMs = taskMs) => Array.from({length: count}, () => runTimeMs);

type ZoneCluster = {
	cluster: Cluster;
	/** The number of tasks that started in each zone since the last call. */
	takeStarts: () => Record<string, number>;
	/** Advances the clock; the backend servers renew their announcements meanwhile. */
	advance: (durationMs: number) => void;
	close: (zones: readonly string[], nodes?: readonly Node[]) => void;
};

/** Three zones with two daemons and four backend servers of 8 slots each. */
function createZoneCluster({zones = 3, servers = 12} = {}): ZoneCluster {
	const cluster = createCluster({daemons: 2 * zones, servers, zones});
	let starts: Record<string, number> = {};
	const tryRun = cluster.fleet.tryRun.bind(cluster.fleet);
	cluster.fleet.tryRun = (server, ...rest) => {
		starts[server.availabilityZone] = (starts[server.availabilityZone] ?? 0) + 1;
		return tryRun(server, ...rest);
	};

	const announce = () => {
		for (const [index, announcement] of cluster.announcements.entries()) {
			const ownZone = cluster.nodes.filter(node => node.isUp && node.member.availabilityZone === announcement.availabilityZone);
			ownZone[index % ownZone.length]?.dispatcher.announceBackendServer(announcement);
		}
	};

	const advance = (durationMs: number) => {
		for (let passedMs = 0; passedMs < durationMs; passedMs += 1000) {
			cluster.timers.advance(Math.min(1000, durationMs - passedMs));
			announce();
		}
	};

	advance(3000);
	return {
		cluster,
		advance,
		takeStarts() {
			const taken = starts;
			starts = {};
			return taken;
		},
		close(closed, nodes = cluster.nodes) {
			for (const {dispatcher} of nodes) {
				dispatcher.setClosedZones(closed);
			}
		},
	};
}

function getOutcomes({outcomes}: Cluster): Array<string | undefined> {
	return [...new Set([...outcomes.values()].map(outcome => outcome.outcome))].toSorted();
}

function assertStartedOnce({fleet}: Cluster): void {
	assert.ok([...fleet.startsByTask.values()].every(count => count === 1));
}

describe('evacuation of an availability zone', () => {
	// The load of an evacuated zone whose callers still arrive there.
	it('sends the new jobs of the zone to the others, and none of the others to the zone', () => {
		const {cluster, advance, takeStarts, close} = createZoneCluster();
		close(['zone-0']);
		for (let round = 0; round < 20; round++) {
			for (const [index, node] of cluster.nodes.entries()) {
				cluster.submit(node, `job-${round}-${index}`, tasks(4));
			}

			advance(200);
		}

		advance(5000);
		const starts = takeStarts();
		assert.equal(starts['zone-0'], undefined);
		assert.equal(starts['zone-1']! + starts['zone-2']!, 480);
		assert.deepEqual(getOutcomes(cluster), ['complete']);
		assert.equal(cluster.metrics.getCount('task-diverted'), 160);
		assertStartedOnce(cluster);
	});

	// Guards against waiting tasks that stay where nothing starts any more.
	it('moves the waiting tasks of jobs that have begun, and lets the running ones end', () => {
		const {cluster, advance, takeStarts, close} = createZoneCluster();
		for (const [index, node] of cluster.nodes.entries()) {
			cluster.submit(node, `job-${index}`, tasks(40, 1000));
		}

		cluster.timers.advance(100);
		assert.equal(takeStarts()['zone-0'], 32);
		close(['zone-0']);
		advance(9000);
		assert.equal(takeStarts()['zone-0'], undefined);
		assert.deepEqual(getOutcomes(cluster), ['complete']);
		assertStartedOnce(cluster);
	});

	// The order reaches daemons at different times: one that does not know it yet offers tasks to the zone.
	it('gets tasks back that a daemon of another zone hands over before it knows the order', () => {
		const {cluster, advance, takeStarts, close} = createZoneCluster();
		close(['zone-0'], cluster.nodes.filter(node => node.member.availabilityZone === 'zone-0'));
		cluster.submit(cluster.nodes[1]!, 'job', tasks(120));
		advance(4000);
		assert.equal(takeStarts()['zone-0'], undefined);
		assert.deepEqual(getOutcomes(cluster), ['complete']);
		assertStartedOnce(cluster);
	});

	// Guards against tasks that wait for their deadline because they have been handed over twice before.
	it('moves tasks again when the zone that took them is evacuated too', () => {
		const {cluster, advance, takeStarts, close} = createZoneCluster();
		for (const [index, node] of cluster.nodes.entries()) {
			cluster.submit(node, `job-${index}`, tasks(60, 900), {deadlineMs: 60_000});
		}

		for (const closed of [['zone-0'], ['zone-0', 'zone-1'], ['zone-1', 'zone-2']]) {
			close(closed);
			cluster.timers.advance(100);
			takeStarts();
			cluster.timers.advance(200);
			const starts = takeStarts();
			assert.deepEqual(closed.map(zone => starts[zone]), closed.map(() => undefined));
		}

		advance(40_000);
		assert.equal(cluster.outcomes.size, cluster.nodes.length);
		assert.deepEqual(getOutcomes(cluster), ['complete']);
		assertStartedOnce(cluster);
	});

	// Guards against work that is held until its deadline, and against a refusal that lasts after a zone has slots again.
	it('refuses at once while no other zone has backend servers, and goes on as soon as one has', () => {
		const {cluster, advance, takeStarts, close} = createZoneCluster({zones: 2, servers: 0});
		cluster.submit(cluster.nodes[1]!, 'learn', tasks(1));
		advance(1000);
		close(['zone-0']);
		for (let index = 0; index < 10; index++) {
			cluster.submit(cluster.nodes[0]!, `refused-${index}`, tasks(2));
			cluster.timers.advance(1);
		}

		cluster.timers.advance(200);
		const outcomes = [...cluster.outcomes].filter(([id]) => id.startsWith('refused')).map(([, outcome]) => outcome);
		assert.equal(outcomes.length, 10);
		assert.ok(outcomes.every(outcome => outcome.outcome === 'refused' && outcome.code === 'no-backend-server'));
		cluster.fleet.addServer('server-0', 'zone-1', 8);
		cluster.nodes[1]!.dispatcher.announceBackendServer(backendServerAnnouncementSchema.parse({
			id: 'server-0', incarnation: 'first', host: '127.0.0.1', port: 1, availabilityZone: 'zone-1', slots: 8, services: ['price'],
		}));
		cluster.timers.advance(4000);
		cluster.submit(cluster.nodes[0]!, 'late', tasks(2));
		cluster.timers.advance(3000);
		assert.equal(cluster.outcomes.get('late')?.outcome, 'complete');
		assert.deepEqual(takeStarts(), {'zone-1': 2});
	});

	it('refuses jobs that have not begun at once when the other zones are lost, and the rest when nothing of them runs', () => {
		const {cluster, advance, takeStarts, close} = createZoneCluster({zones: 2, servers: 8});
		const own = cluster.nodes.filter(node => node.member.availabilityZone === 'zone-0');
		for (const node of cluster.nodes.filter(other => !own.includes(other))) {
			cluster.crash(node);
		}

		cluster.setMembers(own, own);
		cluster.submit(own[0]!, 'running', tasks(16));
		cluster.submit(own[0]!, 'begun', tasks(40));
		cluster.submit(own[0]!, 'waiting', tasks(10));
		cluster.timers.advance(50);
		takeStarts();
		close(['zone-0'], own);
		cluster.timers.advance(250);
		assert.equal(cluster.outcomes.get('waiting')?.outcome, 'refused');
		advance(1500);
		assert.equal(cluster.outcomes.get('running')?.outcome, 'complete');
		assert.equal(cluster.outcomes.get('begun')?.outcome, 'failed');
		assert.deepEqual(takeStarts(), {});
		assertStartedOnce(cluster);
	});

	// The loads that other daemons know of the zone are without slots, and nobody announces new ones.
	it('uses the zone again after the withdrawal, also for tasks of other zones', () => {
		const {cluster, advance, takeStarts, close} = createZoneCluster();
		close(['zone-0']);
		for (const node of cluster.nodes) {
			cluster.submit(node, `before-${node.member.id}`, tasks(40));
			advance(2000);
		}

		assert.equal(takeStarts()['zone-0'], undefined);
		close([]);
		cluster.submit(cluster.nodes[0]!, 'own', tasks(16));
		cluster.timers.advance(taskMs + 50);
		assert.equal(takeStarts()['zone-0'], 16);
		cluster.submit(cluster.nodes[1]!, 'other', tasks(150, 900));
		advance(6000);
		assert.ok(takeStarts()['zone-0']! > 0);
		assert.deepEqual(getOutcomes(cluster), ['complete']);
	});
});
