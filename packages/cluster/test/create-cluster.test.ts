import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster} from './support/create-test-cluster.js';
import {
	countOutcomes, ignoreAcknowledgement, startAndWaitUntilServing, submitFor,
} from './support/drive-cluster.js';

describe('createCluster', () => {
	it('elects one keeper as placer and serves jobs from every availability zone', async () => {
		const test = createTestCluster();
		await startAndWaitUntilServing(test);
		await submitFor(test, 600, 20, 'calm');
		await runFor(test.timers, 300);
		assert.equal(new Set(test.daemons.map(daemon => daemon.cluster.getStatus().placerId)).size, 1);
		assert.match(test.getPlacer().id, /^keeper/v);
		assert.deepEqual(countOutcomes(test, 'calm'), {completed: 30});
		assert.equal(test.events.filter(({name}) => name === 'placer-elected').length, 1);
	});

	it('serves on both sides of a partition, and merges afterwards without overlapping runs of a task', async () => {
		const test = createTestCluster({getDurationMs: () => 150});
		await startAndWaitUntilServing(test);
		for (const zone of ['a', 'b', 'c']) {
			test.isolateZone(zone);
			// eslint-disable-next-line no-await-in-loop -- Zones are partitioned one after the other.
			await submitFor(test, 1500, 30, `first-${zone}`);
			// eslint-disable-next-line no-await-in-loop -- Zones are partitioned one after the other.
			await submitFor(test, 1500, 60, `second-${zone}`);
			test.heal();
			// eslint-disable-next-line no-await-in-loop -- Zones are partitioned one after the other.
			await submitFor(test, 1500, 30, `third-${zone}`);
			// eslint-disable-next-line no-await-in-loop -- Zones are partitioned one after the other.
			await submitFor(test, 600, 30, `fourth-${zone}`);
			// eslint-disable-next-line no-await-in-loop -- Zones are partitioned one after the other.
			await runFor(test.timers, 300);
			assert.deepEqual(countOutcomes(test, `second-${zone}`), {completed: 25});
			assert.equal(countOutcomes(test, `fourth-${zone}`).completed, 20);
		}

		assert.deepEqual(test.fleet.findOverlaps(), []);
		assert.ok(test.fleet.getPeakUtilization() <= 1);
	});

	it('does not raise the term if backend servers become reachable again before the other daemons', async () => {
		const test = createTestCluster({getDurationMs: () => 150});
		await startAndWaitUntilServing(test);
		const {availabilityZone} = test.getPlacer();
		test.isolateZone(availabilityZone);
		await submitFor(test, 2000, 50, 'cut');
		test.healServers();
		await submitFor(test, 1000, 50, 'between');
		test.heal();
		await submitFor(test, 1000, 50, 'healed');
		await submitFor(test, 400, 20, 'after');
		await runFor(test.timers, 400);
		assert.deepEqual(test.events.filter(({fields}) => fields.reason === 'tokens-too-low'), []);
		assert.deepEqual(countOutcomes(test, 'after'), {completed: 20});
		assert.deepEqual(test.fleet.findOverlaps(), []);
	});

	// Guards against a registry that misses a report for ten seconds because its daemon was silent when the report was sent.
	it('announces a backend server to a daemon that was silent meanwhile as soon as it is heard again', async () => {
		const test = createTestCluster();
		const [late, ...others] = test.fleet.getDescriptions();
		for (const description of others) {
			test.find('keeper-a').cluster.reportServer(description, ignoreAcknowledgement);
		}

		await runFor(test.timers, 2000);
		test.network.cutLink('keeper-b', 'keeper-a');
		await runFor(test.timers, 800);
		test.find('keeper-a').cluster.reportServer(late!, ignoreAcknowledgement);
		await runFor(test.timers, 100);
		test.network.healLinks();
		await runFor(test.timers, 500);
		const counts = test.daemons.filter(daemon => daemon.id.startsWith('keeper')).map(daemon => daemon.cluster.getStatus().serverCount);
		assert.deepEqual(counts, [9, 9, 9]);
	});

	// Guards against entry daemons that do not know all backend servers of their zone when its keepers are lost.
	it('announces a backend server to all daemons of its zone, whichever keeper it reports to', async () => {
		const test = createTestCluster({serverCount: 105, hasSecondKeepers: true});
		const [late, ...others] = test.fleet.getDescriptions();
		for (const description of others) {
			test.find('keeper-a').cluster.reportServer(description, ignoreAcknowledgement);
		}

		await runFor(test.timers, 3000);
		test.find('keeper-b2').cluster.reportServer(late!, ignoreAcknowledgement);
		await runFor(test.timers, 500);
		const counts = test.daemons.filter(daemon => daemon.availabilityZone === 'a').map(daemon => [daemon.id, daemon.cluster.getStatus().serverCount]);
		assert.deepEqual(counts, [['keeper-a', 105], ['keeper-a2', 105], ['entry-a1', 35], ['entry-a2', 35]]);
	});

	it('relays messages to the placer through another daemon if the direct link is cut', async () => {
		const test = createTestCluster();
		await startAndWaitUntilServing(test);
		const placer = test.getPlacer();
		const entry = test.daemons.find(daemon => daemon.id.startsWith('entry') && daemon.availabilityZone !== placer.availabilityZone)!;
		test.network.partitionPeers([entry.id], test.daemons.filter(daemon => daemon.id.startsWith('keeper')).map(daemon => daemon.id));
		await runFor(test.timers, 1500);
		test.submit(entry.id, 'relayed');
		await runFor(test.timers, 300);
		assert.deepEqual(test.results.map(({result}) => result), [{outcome: 'completed'}]);
		assert.equal(test.getPlacer().id, placer.id);
	});

	it('starts no task on a backend server once a keeper has acknowledged that it is draining', async () => {
		const test = createTestCluster();
		await startAndWaitUntilServing(test);
		const leaving = test.fleet.servers[0]!.description;
		let isAcknowledged = false;
		test.fleet.servers[0]!.description = {...leaving, state: 'draining'};
		test.find('keeper-b').cluster.reportServer({...leaving, state: 'draining', sequence: 1000}, acknowledged => {
			isAcknowledged = acknowledged;
		});
		await runFor(test.timers, 20);
		assert.ok(isAcknowledged);
		const count = test.fleet.records.length;
		await submitFor(test, 600, 20, 'after');
		await runFor(test.timers, 200);
		assert.ok(test.fleet.records.slice(count).every(({serverId}) => serverId !== leaving.id));
		assert.deepEqual(countOutcomes(test, 'after'), {completed: 30});
	});

	it('propagates a configuration to every daemon, and never an older one', async () => {
		const test = createTestCluster();
		await startAndWaitUntilServing(test);
		test.find('keeper-a').cluster.setConfiguration({number: 7, content: 'seven'});
		await runFor(test.timers, 700);
		test.find('keeper-b').cluster.setConfiguration({number: 5, content: 'five'});
		await runFor(test.timers, 700);
		assert.deepEqual([...new Set(test.daemons.map(daemon => daemon.cluster.getConfiguration()?.number))], [7]);
	});

	// Guards against a daemon that one message takes down.
	it('drops a message whose handling fails, and handles the next one', async () => {
		const test = createTestCluster({
			onConfiguration(content) {
				if (content === 'unreadable') {
					throw new SyntaxError('unexpected token');
				}
			},
		});
		await startAndWaitUntilServing(test);
		const {cluster} = test.find('entry-a1');
		cluster.handlePeerMessage('keeper-a', {kind: 'cluster.configuration', number: 7, content: 'unreadable'});
		cluster.handlePeerMessage('keeper-a', {kind: 'cluster.configuration', number: 8, content: 'readable'});
		assert.equal(cluster.getConfiguration()?.content, 'readable');
		const failures = test.events.filter(({name}) => name === 'peer-message-failed').map(({fields}) => [fields.from, fields.kind]);
		assert.deepEqual(failures, [['keeper-a', 'cluster.configuration']]);
	});

	it('elects a placer in each availability zone if there are many backend servers', async () => {
		const test = createTestCluster({serverCount: 105});
		await startAndWaitUntilServing(test);
		await runFor(test.timers, 2500);
		const placers = new Set(test.daemons.map(daemon => daemon.cluster.getStatus().placerId));
		assert.deepEqual([...placers].toSorted((left, right) => left.localeCompare(right)), ['keeper-a', 'keeper-b', 'keeper-c']);
		await submitFor(test, 600, 20, 'calm');
		await runFor(test.timers, 300);
		assert.deepEqual(countOutcomes(test, 'calm'), {completed: 30});
		test.kill('keeper-b');
		await runFor(test.timers, 1500);
		await submitFor(test, 600, 20, 'after');
		await runFor(test.timers, 300);
		assert.deepEqual(countOutcomes(test, 'after'), {completed: 30});
		assert.deepEqual(test.fleet.findOverlaps(), []);
	});

	it('propagates a configuration in a divided deployment, including to a zone without a keeper', async () => {
		const test = createTestCluster({serverCount: 105});
		await startAndWaitUntilServing(test);
		await runFor(test.timers, 2500);
		test.kill('keeper-a');
		await runFor(test.timers, 1500);
		test.find('keeper-b').cluster.setConfiguration({number: 7, content: 'seven'});
		await runFor(test.timers, 2000);
		const numbers = test.daemons.filter(daemon => daemon.isUp).map(daemon => daemon.cluster.getConfiguration()?.number);
		assert.deepEqual([...new Set(numbers)], [7]);
	});

	it('sends few messages between the zones of a divided deployment', async () => {
		const test = createTestCluster({serverCount: 105});
		await startAndWaitUntilServing(test);
		await runFor(test.timers, 2500);
		const sentBefore = test.network.totals.sentMessages;
		await runFor(test.timers, 2000);
		const sentPerSecond = (test.network.totals.sentMessages - sentBefore) / 2;
		// 6 entry daemons send to 2 daemons of their zone and 2 placers of other zones, 3 placers to 2 daemons of their zone and
		// 6 of other zones; lists of open jobs come on top.
		assert.ok(sentPerSecond < 300, `${sentPerSecond} messages a second`);
	});

	it('forwards jobs that exceed the capacity of a zone to an idle zone', async () => {
		const test = createTestCluster({serverCount: 105, getDurationMs: () => 400});
		await startAndWaitUntilServing(test);
		await runFor(test.timers, 2500);
		for (let number = 0; number < 70; number++) {
			test.submit('entry-a1', `burst-${number}`, {
				steps: [{
					taskCount: 2, cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0, estimateMs: 400, dependsOn: [],
				}],
			});
		}

		await runFor(test.timers, 1500);
		assert.deepEqual(countOutcomes(test, 'burst'), {completed: 70});
		const zones = new Set(test.fleet.records.map(({serverId}) => test.fleet.servers.find(server => server.description.id === serverId)!.description.availabilityZone));
		assert.ok(zones.size > 1, [...zones].join(' '));
		assert.ok(test.events.some(({name}) => name === 'job-forwarded'));
	});
});
