import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';

/** Reports the backend servers and waits until the deployment can serve jobs. */
async function startAndWaitUntilServing(test: TestCluster): Promise<void> {
	test.reportServers();
	await runFor(test.timers, 2000);
	test.reportServers();
	await runFor(test.timers, 100);
}

/** Submits jobs at regular intervals, round-robin to the entry daemons that are up. */
async function submitFor(test: TestCluster, durationMs: number, intervalMs: number, prefix: string): Promise<void> {
	for (let passedMs = 0; passedMs < durationMs; passedMs += intervalMs) {
		const entries = test.daemons.filter(daemon => daemon.isUp && daemon.id.startsWith('entry'));
		test.submit(entries[Math.floor(passedMs / intervalMs) % entries.length]!.id, `${prefix}-${passedMs}`);
		// eslint-disable-next-line no-await-in-loop -- Jobs are submitted over time.
		await runFor(test.timers, intervalMs);
	}
}

/** Replaces the placer repeatedly, so that the term exceeds the one that daemons without hints start with. */
async function replacePlacers(test: TestCluster, count: number): Promise<void> {
	for (let replaced = 0; replaced < count; replaced++) {
		const placer = test.getPlacer();
		test.kill(placer.id);
		// eslint-disable-next-line no-await-in-loop -- Placers are replaced one after the other.
		await runFor(test.timers, 1500);
		test.restart(placer.id);
		// eslint-disable-next-line no-await-in-loop -- Placers are replaced one after the other.
		await runFor(test.timers, 1500);
	}
}

function ignoreAcknowledgement(): void {
	// The test checks the registries instead.
}

function countOutcomes(test: TestCluster, prefix: string): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {jobId, result} of test.results) {
		if (jobId.startsWith(prefix)) {
			counts[result.outcome] = (counts[result.outcome] ?? 0) + 1;
		}
	}

	return counts;
}

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

	it('continues after the placer was killed, without overlapping runs of a task', async () => {
		const test = createTestCluster({getDurationMs: () => 150});
		await startAndWaitUntilServing(test);
		await submitFor(test, 200, 20, 'before');
		const {id} = test.getPlacer();
		test.kill(id);
		await submitFor(test, 1000, 50, 'during');
		await runFor(test.timers, 1000);
		await submitFor(test, 400, 20, 'after');
		await runFor(test.timers, 400);
		assert.notEqual(test.getPlacer().id, id);
		assert.deepEqual(test.fleet.findOverlaps(), []);
		assert.equal(countOutcomes(test, 'before').completed, 10);
		assert.deepEqual(countOutcomes(test, 'after'), {completed: 20});
	});

	it('continues after the placer restarted before its silence was detected', async () => {
		const test = createTestCluster({getDurationMs: () => 150});
		await startAndWaitUntilServing(test);
		await submitFor(test, 200, 20, 'before');
		const {id} = test.getPlacer();
		test.kill(id);
		await runFor(test.timers, 100);
		test.restart(id);
		await runFor(test.timers, 1500);
		await submitFor(test, 400, 20, 'after');
		await runFor(test.timers, 400);
		assert.deepEqual(test.fleet.findOverlaps(), []);
		assert.deepEqual(countOutcomes(test, 'after'), {completed: 20});
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

	it('serves again after all daemons lost their state, with tokens that backend servers accept', async () => {
		const test = createTestCluster();
		await startAndWaitUntilServing(test);
		await submitFor(test, 200, 20, 'before');
		await replacePlacers(test, 2);
		for (const {id} of test.daemons) {
			test.kill(id);
		}

		await runFor(test.timers, 1200);
		for (const {id} of test.daemons) {
			test.restart(id);
		}

		await startAndWaitUntilServing(test);
		await runFor(test.timers, 1000);
		await submitFor(test, 400, 20, 'after');
		await runFor(test.timers, 300);
		assert.deepEqual(countOutcomes(test, 'after'), {completed: 20});
	});

	const restarts: Array<{name: string; serverCount: number; keepsHints: boolean; longestMs: number}> = [
		{
			name: 'with hints', serverCount: 9, keepsHints: true, longestMs: 450,
		},
		{
			name: 'without hints', serverCount: 9, keepsHints: false, longestMs: 700,
		},
		{
			name: 'with hints, divided', serverCount: 105, keepsHints: true, longestMs: 450,
		},
	];
	for (const {name, longestMs, ...rest} of restarts) {
		it(`serves again ${longestMs} ms after all daemons restarted, ${name}`, async () => {
			const test = createTestCluster(rest);
			await startAndWaitUntilServing(test);
			await replacePlacers(test, 2);
			for (const {id} of test.daemons) {
				test.kill(id);
			}

			await runFor(test.timers, 1200);
			for (const {id} of test.daemons) {
				test.restart(id);
			}

			const eventCount = test.events.length;
			test.reportServers();
			await runFor(test.timers, longestMs);
			const submittedAtMs = test.timers.getNowMs();
			await submitFor(test, 400, 20, 'after');
			await runFor(test.timers, 300);
			assert.deepEqual(countOutcomes(test, 'after'), {completed: 20});
			const first = test.results.find(({jobId}) => jobId.startsWith('after'))!;
			assert.ok(first.atMs - submittedAtMs < 150, `the first job took ${first.atMs - submittedAtMs} ms`);
			const divisions = test.events.slice(eventCount).filter(({name, daemonId}) => name === 'deployment-divided' && daemonId.startsWith('keeper'));
			assert.deepEqual(divisions, [], 'keepers restore from their hints that the deployment was divided');
			assert.deepEqual(test.fleet.findOverlaps(), []);
		});
	}

	it('does not report a job as not run after the entry daemon was suspended', async () => {
		const test = createTestCluster({getDurationMs: () => 1400});
		await startAndWaitUntilServing(test);
		test.submit('entry-a1', 'frozen', {
			steps: [{
				taskCount: 2, cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0, estimateMs: 900, dependsOn: [],
			}],
		});
		await runFor(test.timers, 50);
		test.find('entry-a1').timers.pause();
		await runFor(test.timers, 5000);
		test.find('entry-a1').timers.resume();
		await runFor(test.timers, 1000);
		assert.equal(test.fleet.records.length, 2);
		assert.deepEqual(test.results.map(({result}) => result.outcome), ['unknown']);
	});

	// Guards against a placer that takes a run on a backend server that it has not heard of for a run that does not exist.
	it('does not start a task again that runs on a backend server which only the previous placer knows', async () => {
		const test = createTestCluster({getDurationMs: () => 900});
		test.isolateZone('a');
		test.reportServers();
		await runFor(test.timers, 1900);
		test.reportServers();
		await runFor(test.timers, 100);
		test.submit('entry-a1', 'job');
		await runFor(test.timers, 100);
		assert.deepEqual(test.fleet.records.map(({runNumber, daemonId}) => [runNumber, daemonId]), [[1, 'keeper-a'], [1, 'keeper-a']]);
		test.heal();
		test.network.partitionPeers(['keeper-a'], ['keeper-b', 'keeper-c']);
		await runFor(test.timers, 2500);
		assert.equal(test.find('entry-a1').cluster.getStatus().placerId, 'keeper-b');
		assert.deepEqual(test.fleet.findOverlaps(), []);
		assert.deepEqual(test.results.map(({result}) => result), [{outcome: 'completed'}], 'the registry of the entry daemon names the backend server');
	});

	// Guards against a new placer that misses a report which another daemon sent to the previous placer only.
	it('does not start a task again that runs on a backend server whose report did not reach the new placer', async () => {
		const test = createTestCluster({getDurationMs: () => 1000});
		const [late, ...others] = test.fleet.getDescriptions();
		for (const description of others) {
			test.find('keeper-a').cluster.reportServer(description, ignoreAcknowledgement);
		}

		await runFor(test.timers, 2000);
		test.network.cutLink('keeper-c', 'keeper-b');
		for (const server of test.fleet.servers.slice(1)) {
			server.fault = {isUnreachableFrom: daemonId => daemonId === 'keeper-a'};
		}

		await runFor(test.timers, 600);
		test.find('keeper-c').cluster.reportServer(late!, ignoreAcknowledgement);
		await runFor(test.timers, 50);
		test.submit('entry-b1', 'job');
		await runFor(test.timers, 50);
		assert.deepEqual(test.fleet.records.map(({serverId, daemonId}) => [serverId, daemonId]), [[late!.id, 'keeper-a'], [late!.id, 'keeper-a']]);
		for (const server of test.fleet.servers) {
			server.fault = {};
		}

		test.kill('keeper-a');
		await runFor(test.timers, 2500);
		assert.equal(test.find('entry-b1').cluster.getStatus().placerId, 'keeper-b');
		assert.deepEqual(test.fleet.findOverlaps(), []);
		assert.deepEqual(test.results.map(({result}) => result), [{outcome: 'completed'}]);
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

	it('elects another placer when the placer leaves, and loses no job', async () => {
		const test = createTestCluster({getDurationMs: () => 150});
		await startAndWaitUntilServing(test);
		const leaving = test.getPlacer();
		await submitFor(test, 200, 20, 'before');
		leaving.cluster.startLeaving();
		await submitFor(test, 400, 20, 'during');
		await runFor(test.timers, 600);
		assert.notEqual(test.getPlacer().id, leaving.id);
		assert.deepEqual([countOutcomes(test, 'before'), countOutcomes(test, 'during')], [{completed: 10}, {completed: 20}]);
		assert.deepEqual(test.fleet.findOverlaps(), []);
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

	describe('when a backend server says farewell', () => {
		const longRequest = {
			steps: [{
				taskCount: 1, cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0, estimateMs: 900, dependsOn: [],
			}],
		};

		async function startLongJob(): Promise<{test: TestCluster; serverId: string}> {
			const test = createTestCluster({getDurationMs: () => 900});
			await startAndWaitUntilServing(test);
			test.submit('entry-a1', 'job', longRequest);
			await runFor(test.timers, 50);
			return {test, serverId: test.fleet.records[0]!.serverId};
		}

		// Guards against the farewell of an earlier incarnation that arrives late: its sender's successor has the same id.
		it('keeps the runs of one that did not announce that it drains', async () => {
			const {test, serverId} = await startLongJob();
			test.find('keeper-b').cluster.removeServer(serverId);
			await runFor(test.timers, 1000);
			assert.deepEqual(test.fleet.records.map(({outcome}) => outcome), ['done']);
			assert.deepEqual(test.results.map(({result}) => result), [{outcome: 'completed'}]);
		});

		it('restarts the runs of one that drains only when it has ended', async () => {
			const {test, serverId} = await startLongJob();
			const description = test.fleet.getDescriptions().find(({id}) => id === serverId)!;
			const keeper = test.find('keeper-b').cluster;
			keeper.reportServer({...description, state: 'draining', sequence: 1000}, ignoreAcknowledgement);
			await runFor(test.timers, 20);
			keeper.removeServer(serverId);
			await runFor(test.timers, 30);
			test.fleet.crash(serverId);
			await runFor(test.timers, 500);
			assert.deepEqual(test.fleet.findOverlaps(), []);
			assert.equal(test.fleet.records.length, 2, 'the task was restarted soon after the end');
			await runFor(test.timers, 900);
			assert.deepEqual(test.results.map(({result}) => result), [{outcome: 'completed'}]);
		});
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

	const placerLosses = [
		{title: 'forwards them to another zone', serverCount: 105},
		{title: 'holds them for the next placer', serverCount: 9},
	];
	for (const {title, serverCount} of placerLosses) {
		// Guards against jobs that are sent to a placer which is already gone: the next placer cannot tell that they never started.
		it(`completes jobs that arrive while the placer is overdue, although a backend server is silent: ${title}`, async () => {
			const test = createTestCluster({serverCount, getDurationMs: () => 150});
			await startAndWaitUntilServing(test);
			await runFor(test.timers, 2500);
			const {placerId} = test.find('entry-a1').cluster.getStatus();
			const silent = test.fleet.servers.find(({description}) => description.availabilityZone === 'a')!;
			silent.fault = {isUnreachableFrom: () => true};
			await runFor(test.timers, 1000);
			test.kill(placerId);
			await runFor(test.timers, 350);
			for (let number = 0; number < 8; number++) {
				test.submit(`entry-a${(number % 2) + 1}`, `overdue-${number}`);
			}

			await runFor(test.timers, 600);
			assert.deepEqual(countOutcomes(test, 'overdue'), {completed: 8});
			assert.deepEqual(test.fleet.findOverlaps(), []);
		});
	}

	// Guards against entry daemons that go on placing the load of a zone, for which their VMs are too small.
	it('gives the placing back to keepers when these have restarted, and loses no job', async () => {
		const test = createTestCluster({serverCount: 105, getDurationMs: () => 150});
		await startAndWaitUntilServing(test);
		await runFor(test.timers, 2500);
		const keeperIds = test.daemons.map(({id}) => id).filter(id => id.startsWith('keeper'));
		for (const id of keeperIds) {
			test.kill(id);
		}

		await runFor(test.timers, 1000);
		assert.match(test.find('entry-a1').cluster.getStatus().placerId, /^entry/v);
		for (const id of keeperIds) {
			test.restart(id);
		}

		await submitFor(test, 3000, 20, 'during');
		await runFor(test.timers, 300);
		assert.match(test.find('entry-a1').cluster.getStatus().placerId, /^keeper/v);
		assert.deepEqual(countOutcomes(test, 'during'), {completed: 150});
		assert.deepEqual(test.fleet.findOverlaps(), []);
	});

	// Guards against daemons that report late that they do not hear the placer, whose majority the next placer needs.
	it('replaces a silent placer within 600 ms, whenever it became silent', async () => {
		const delays: number[] = [];
		for (let phaseMs = 0; phaseMs < 250; phaseMs += 50) {
			const test = createTestCluster();
			// eslint-disable-next-line no-await-in-loop -- The moments are tested one after the other.
			await startAndWaitUntilServing(test);
			// eslint-disable-next-line no-await-in-loop -- The moments are tested one after the other.
			await runFor(test.timers, 500 + phaseMs);
			const {id} = test.getPlacer();
			const killedAtMs = test.timers.getNowMs();
			test.kill(id);
			while (test.find('entry-a1').cluster.getStatus().placerId === id) {
				// eslint-disable-next-line no-await-in-loop -- The moments are tested one after the other.
				await runFor(test.timers, 10);
			}

			delays.push(Math.round(test.timers.getNowMs() - killedAtMs));
		}

		assert.ok(Math.max(...delays) <= 600, delays.join(' '));
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
