import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster} from './support/create-test-cluster.js';
import {
	countOutcomes, ignoreAcknowledgement, replacePlacers, startAndWaitUntilServing, submitFor,
} from './support/drive-cluster.js';

describe('createCluster, when the placer is replaced', () => {
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
	const losses = [
		{title: 'a silent placer', isSuccessorLost: false},
		// Guards against a wait for a successor that was lost together with the placer, as both keepers of an availability zone are.
		{title: 'a silent placer whose preferred successor is lost too', isSuccessorLost: true},
	];
	for (const {title, isSuccessorLost} of losses) {
		it(`replaces ${title} within 600 ms, whenever it became silent`, async () => {
			const delays: number[] = [];
			for (let phaseMs = 0; phaseMs < 250; phaseMs += 50) {
				const test = createTestCluster();
				// eslint-disable-next-line no-await-in-loop -- The moments are tested one after the other.
				await startAndWaitUntilServing(test);
				// eslint-disable-next-line no-await-in-loop -- The moments are tested one after the other.
				await runFor(test.timers, 500 + phaseMs);
				const {id} = test.getPlacer();
				const [successorId] = test.daemons.map(daemon => daemon.id).filter(other => other.startsWith('keeper') && other !== id).toSorted();
				const killedAtMs = test.timers.getNowMs();
				test.kill(id);
				if (isSuccessorLost) {
					test.kill(successorId!);
				}

				while (test.find('entry-a1').cluster.getStatus().placerId === id) {
					// eslint-disable-next-line no-await-in-loop -- The moments are tested one after the other.
					await runFor(test.timers, 10);
				}

				delays.push(Math.round(test.timers.getNowMs() - killedAtMs));
			}

			assert.ok(Math.max(...delays) <= 600, delays.join(' '));
		});
	}

	// Guards against a placer that acts on a term which ended while its process was paused.
	it('accepts no start of a placer that was paused with waiting jobs, and runs none of them twice', async () => {
		const test = createTestCluster({getDurationMs: () => 400});
		await startAndWaitUntilServing(test);
		const paused = test.getPlacer();
		for (let number = 0; number < 30; number++) {
			test.submit(`entry-${['a', 'b', 'c'][number % 3]}1`, `waiting-${number}`, {slackMs: 5000, callerTimeoutMs: 10_000});
		}

		await runFor(test.timers, 50);
		const startedBefore = test.fleet.records.length;
		assert.ok(startedBefore > 0 && startedBefore < 60, `${startedBefore} of 60 tasks have started`);
		paused.timers.pause();
		await runFor(test.timers, 2000);
		paused.timers.resume();
		await runFor(test.timers, 6000);
		const startedLater = test.fleet.records.slice(startedBefore).filter(({daemonId}) => daemonId === paused.id);
		assert.deepEqual(startedLater, []);
		assert.deepEqual(test.fleet.findOverlaps(), []);
		assert.equal(Object.values(countOutcomes(test, 'waiting')).reduce((sum, count) => sum + count, 0), 30);
	});

	// Guards against a backend server that leaves and is in use again because the daemons that knew so have restarted.
	it('does not use a draining backend server again after all keepers restarted, although an old report of it arrives late', async () => {
		const test = createTestCluster();
		await startAndWaitUntilServing(test);
		const leaving = test.fleet.servers[0]!.description;
		test.fleet.servers[0]!.description = {...leaving, state: 'draining'};
		test.find('keeper-b').cluster.reportServer({...leaving, state: 'draining', sequence: 1000}, ignoreAcknowledgement);
		await runFor(test.timers, 100);
		const keeperIds = test.daemons.map(({id}) => id).filter(id => id.startsWith('keeper'));
		for (const id of keeperIds) {
			test.kill(id);
		}

		await runFor(test.timers, 100);
		for (const id of keeperIds) {
			test.restart(id);
		}

		const startedBefore = test.fleet.records.length;
		test.find('keeper-a').cluster.reportServer({...leaving, sequence: 999}, ignoreAcknowledgement);
		await submitFor(test, 2000, 20, 'after');
		await runFor(test.timers, 500);
		assert.ok(test.fleet.records.length > startedBefore);
		assert.ok(test.fleet.records.slice(startedBefore).every(({serverId}) => serverId !== leaving.id));
	});
});
