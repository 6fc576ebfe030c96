import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import type {EntryJob} from '../src/index.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';
import {ignoreAcknowledgement, startWithoutRoom, startAndWaitUntilServing} from './support/drive-cluster.js';

const durationMs = 1500;
const job: Partial<EntryJob> = {
	steps: [{
		taskCount: 2, cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0, estimateMs: durationMs, dependsOn: [],
	}],
	callerTimeoutMs: 10_000,
	slackMs: 10_000,
};

function getOutcomes({results}: TestCluster): Array<[string, string]> {
	return results.map(({daemonId, result}): [string, string] => [daemonId, result.outcome]);
}

/** Starts the job of entry-b1 on keeper-a. */
async function startJob(test: TestCluster): Promise<void> {
	await startAndWaitUntilServing(test);
	test.submit('entry-b1', 'job', job);
	await runFor(test.timers, 100);
	assert.deepEqual(test.fleet.records.map(({runNumber, daemonId}) => [runNumber, daemonId]), [[1, 'keeper-a'], [1, 'keeper-a']]);
}

/** Lets a backend server deregister, as it does when its process ends. */
async function deregister(test: TestCluster, serverId: string): Promise<void> {
	const server = test.fleet.servers.find(({description}) => description.id === serverId)!;
	test.find('keeper-c').cluster.reportServer({...server.description, sequence: 1000, state: 'draining'}, ignoreAcknowledgement);
	await runFor(test.timers, 20);
	test.find('keeper-c').cluster.removeServer(serverId);
	server.fault = {isRefusing: true};
	await runFor(test.timers, 20);
}

/** Finds a backend server on which the job does not run. */
function findIdleServerId({fleet: {servers}}: TestCluster): string {
	return servers.find(({runs}) => runs.size === 0)!.description.id;
}

// Guards against an entry daemon of another availability zone that records nothing, as it is not a member of the shard.
describe('createCluster, with a job that was forwarded to another availability zone', () => {
	it('starts it after the entry daemon has recorded the backend servers of that zone, and only once although the placer there is lost', async () => {
		const acknowledgedAtMs = new Map<string, number>();
		const test = createTestCluster({
			serverCount: 105, hasSecondKeepers: true, getDurationMs: () => durationMs, onMessage(fromId, toId, {kind}) {
				if (kind === 'placement.servers-recorded' && fromId === 'entry-a1' && !acknowledgedAtMs.has(toId)) {
					acknowledgedAtMs.set(toId, test.timers.getNowMs());
				}
			},
		});
		await startAndWaitUntilServing(test);
		await runFor(test.timers, 2500);
		test.kill(test.find('entry-a1').cluster.getStatus().placerId);
		await runFor(test.timers, 350);
		test.submit('entry-a1', 'job', job);
		await runFor(test.timers, 100);
		const [first] = test.fleet.records;
		const {availabilityZone} = test.daemons.find(({id}) => id === first!.daemonId)!;
		assert.notEqual(availabilityZone, 'a', 'the job was forwarded');
		assert.ok(first!.startedAtMs > acknowledgedAtMs.get(first!.daemonId)!, 'the entry daemon had recorded the backend servers');
		test.kill(first!.daemonId);
		await runFor(test.timers, 6000);
		assert.deepEqual(getOutcomes(test), [['entry-a1', 'completed']]);
		assert.deepEqual(test.fleet.findOverlaps(), []);
		const recovered = test.events.filter(({name}) => name === 'job-recovered').map(({fields}) => [fields.known, fields.isCovered]);
		assert.deepEqual(recovered, [[true, true]]);
	});
});

// Guards against a record that loses the rows which expire in the registry of the entry daemon.
describe('createCluster, when the rows of all backend servers expire during a run', () => {
	it('finds the run by the record, which still names its backend server', async () => {
		const test = createTestCluster({getDurationMs: () => 60_000});
		await startAndWaitUntilServing(test);
		test.submit('entry-b1', 'job', {steps: [{...job.steps![0]!, estimateMs: 60_000}], callerTimeoutMs: 100_000, slackMs: 100_000});
		await runFor(test.timers, 100);
		for (let passedMs = 0; passedMs < 60_000 && test.find('entry-b1').cluster.getStatus().serverCount > 0; passedMs++) {
			await runFor(test.timers, 1); // eslint-disable-line no-await-in-loop -- Time passes in steps.
		}

		assert.equal(test.find('entry-b1').cluster.getStatus().serverCount, 0, 'the rows have expired');
		test.kill('keeper-a');
		await runFor(test.timers, 2000);
		assert.equal(test.find('entry-b1').cluster.getStatus().placerId, 'keeper-b');
		await runFor(test.timers, 40_000, 5);
		assert.deepEqual(test.fleet.records.map(({runNumber, outcome}) => [runNumber, outcome]), [[1, 'done'], [1, 'done']]);
		assert.deepEqual(getOutcomes(test), [['entry-b1', 'completed']]);
	});
});

describe('createCluster, when a recorded incarnation ends', () => {
	const rows: Array<{title: string; act: (test: TestCluster) => Promise<void>}> = [
		// Guards against a search that waits for the claim of a backend server which has left, until the job ends as unknown.
		{
			title: 'one without runs leaves, and the placer is lost afterwards', async act(test) {
				await deregister(test, findIdleServerId(test));
				await runFor(test.timers, 200);
				test.kill('keeper-a');
			},
		},
		{
			title: 'the placer is lost, and one without runs leaves afterwards', async act(test) {
				test.kill('keeper-a');
				await deregister(test, findIdleServerId(test));
			},
		},
		// Guards against a search that waits for an incarnation which a later one has replaced.
		{
			title: 'one without runs restarts, and the placer is lost afterwards', async act(test) {
				test.fleet.crashProcess(findIdleServerId(test));
				await runFor(test.timers, 600);
				test.kill('keeper-a');
			},
		},
		{
			title: 'the placer is lost, and one without runs restarts afterwards', async act(test) {
				test.kill('keeper-a');
				test.fleet.crashProcess(findIdleServerId(test));
			},
		},
		{
			title: 'the one with the runs restarts, and the placer is lost at once', async act(test) {
				test.fleet.crashProcess(test.fleet.records[0]!.serverId);
				test.kill('keeper-a');
			},
		},
		{
			title: 'the one with the runs restarts, and the placer is lost when it has started others', async act(test) {
				test.fleet.crashProcess(test.fleet.records[0]!.serverId);
				await runFor(test.timers, 600);
				test.kill('keeper-a');
			},
		},
	];
	for (const {title, act} of rows) {
		it(`${title} → the job completes without overlapping runs`, async () => {
			const test = createTestCluster({getDurationMs: () => durationMs, restartMs: 200});
			await startJob(test);
			await act(test);
			await runFor(test.timers, 8000);
			assert.equal(test.find('entry-b1').cluster.getStatus().placerId, 'keeper-b');
			assert.deepEqual(test.fleet.findOverlaps(), []);
			assert.deepEqual(getOutcomes(test), [['entry-b1', 'completed']]);
		});
	}
});

describe('createCluster, when the record of a job is lost with its entry daemon', () => {
	const rows: Array<{title: string; act: (test: TestCluster) => Promise<void>}> = [
		{
			title: 'the entry daemon restarts, then the placer is lost', async act(test) {
				test.kill('entry-b1');
				await runFor(test.timers, 20);
				test.restart('entry-b1');
				await runFor(test.timers, 100);
				test.kill('keeper-a');
			},
		},
		{
			title: 'both are lost at the same time, and the entry daemon restarts', async act(test) {
				test.kill('keeper-a');
				test.kill('entry-b1');
				await runFor(test.timers, 100);
				test.restart('entry-b1');
			},
		},
		{
			title: 'the placer is lost, then the entry daemon, before it follows the next one', async act(test) {
				test.kill('keeper-a');
				await runFor(test.timers, 300);
				test.kill('entry-b1');
			},
		},
	];
	for (const {title, act} of rows) {
		for (const waitMs of [20, 300, 600, 1000]) {
			// Guards against a second run of a job whose caller comes again through an entry daemon that has never had a record for it.
			it(`${title}, and the caller comes again through another one ${waitMs} ms later → no overlapping runs`, async () => {
				const test = createTestCluster({getDurationMs: () => durationMs});
				await startJob(test);
				await act(test);
				await runFor(test.timers, waitMs);
				test.submit('entry-c1', 'job', job);
				await runFor(test.timers, 8000);
				assert.deepEqual(test.fleet.findOverlaps(), []);
				assert.deepEqual(getOutcomes(test), [['entry-c1', 'completed']]);
			});
		}
	}
});

describe('createCluster, with an entry daemon without records', () => {
	// Guards against jobs of an entry daemon of an earlier version that wait for an acknowledgement which it cannot send.
	it('runs its jobs, and logs it once', async () => {
		const test = createTestCluster({getDurationMs: () => 100, earlierDaemonIds: ['entry-b1']});
		await startAndWaitUntilServing(test);
		for (const jobId of ['first', 'second']) {
			test.submit('entry-b1', jobId);
			await runFor(test.timers, 300); // eslint-disable-line no-await-in-loop -- The jobs follow each other.
		}

		assert.deepEqual(getOutcomes(test), [['entry-b1', 'completed'], ['entry-b1', 'completed']]);
		const logged = test.events.filter(({name}) => name === 'entry-without-record').map(({daemonId, fields}) => [daemonId, fields.entry]);
		assert.deepEqual(logged, [['keeper-a', 'entry-b1']]);
	});

	// Guards against a handover without a record that is taken for one without backend servers.
	it('does not run its job a second time after a change of placers', async () => {
		const test = createTestCluster({getDurationMs: () => durationMs, earlierDaemonIds: ['entry-b1']});
		await startJob(test);
		test.kill('keeper-a');
		await runFor(test.timers, 8000);
		assert.equal(test.find('entry-b1').cluster.getStatus().placerId, 'keeper-b');
		assert.deepEqual(test.fleet.records.map(({runNumber}) => runNumber), [1, 1]);
		assert.deepEqual(test.results.length, 1);
	});

	// Guards against a record of one of two entry daemons that counts for the other one.
	it('does not run a second time a job for which an entry daemon with records waits besides', async () => {
		const test = createTestCluster({getDurationMs: () => durationMs, earlierDaemonIds: ['entry-b1']});
		await startJob(test);
		test.submit('entry-c1', 'job', job);
		await runFor(test.timers, 100);
		test.kill('keeper-a');
		await runFor(test.timers, 8000);
		assert.deepEqual(test.fleet.findOverlaps(), []);
		assert.deepEqual(test.results.length, 2);
	});
});

describe('createCluster, when the placer is lost several times or restarts', () => {
	// Guards against a record that is handed over for the last placer only.
	it('finds the runs of two placers, of which the first one started the first step and the second one the second step', async () => {
		const test = createTestCluster({getDurationMs: () => durationMs, hasSecondKeepers: true});
		await startAndWaitUntilServing(test);
		const [step] = job.steps!;
		test.submit('entry-b1', 'job', {...job, steps: [{...step!, taskCount: 1}, {...step!, taskCount: 1}, {...step!, taskCount: 1, dependsOn: [0, 1]}]});
		await runFor(test.timers, 100);
		const placerIds = [test.getPlacer().id];
		test.kill(placerIds[0]!);
		await runFor(test.timers, 1700);
		placerIds.push(test.getPlacer().id);
		assert.deepEqual(test.fleet.records.map(({daemonId}) => daemonId), [placerIds[0], placerIds[0], placerIds[1]]);
		test.kill(placerIds[1]!);
		await runFor(test.timers, 6000);
		assert.deepEqual(getOutcomes(test), [['entry-b1', 'completed']]);
		assert.deepEqual(test.fleet.findOverlaps(), []);
		const recovered = test.events.filter(({name}) => name === 'job-recovered').map(({fields}) => [fields.known, fields.earlierPlacers]);
		assert.deepEqual(recovered, [[true, placerIds[0]], [true, placerIds.join(' ')]]);
	});

	const rows = [5, 50, 150, 300].flatMap(downMs => [false, true].map(isAlone => ({downMs, isAlone})));
	for (const {downMs, isAlone} of rows) {
		// Guards against a restarted placer that goes on in its term, whose record is that of its process before.
		it(`completes a job without overlapping runs, in a later term, when the placer restarts after ${downMs} ms${isAlone ? ' as the only keeper' : ''}`, async () => {
			const test = createTestCluster({getDurationMs: () => durationMs});
			await startJob(test);
			const {term} = test.find('entry-b1').cluster.getStatus();
			test.kill('keeper-a');
			if (isAlone) {
				test.kill('keeper-b');
				test.kill('keeper-c');
			}

			await runFor(test.timers, downMs);
			test.restart('keeper-a');
			await runFor(test.timers, 8000);
			assert.ok(test.find('entry-b1').cluster.getStatus().term > term);
			assert.deepEqual(test.fleet.findOverlaps(), []);
			assert.deepEqual(getOutcomes(test), [['entry-b1', 'completed']]);
		});
	}
});

/** Creates a cluster whose placer, keeper-a, knows all backend servers but the first one and has room on that one only. */
async function createWithLateServer(runDurationMs: number): Promise<{test: TestCluster; reportLate: () => void; restoreServers: () => void}> {
	const {test, late} = await startWithoutRoom(runDurationMs);

	await runFor(test.timers, 600);
	return {
		test,
		reportLate() {
			test.find('keeper-a').cluster.reportServer(late, ignoreAcknowledgement);
		},
		restoreServers() {
			for (const server of test.fleet.servers) {
				server.fault = {};
			}
		},
	};
}

describe('createCluster, when an entry daemon does not hear the placer, which hears it', () => {
	for (const cutMs of [50, 1500]) {
		// Guards against jobs that wait although their entry daemon has recorded the backend servers.
		it(`starts its job on recorded backend servers, and answers it after the cut, when it begins ${cutMs} ms earlier`, async () => {
			const test = createTestCluster({getDurationMs: () => 300});
			await startAndWaitUntilServing(test);
			test.network.cutLink('keeper-a', 'entry-b1');
			await runFor(test.timers, cutMs);
			test.submit('entry-b1', 'job', job);
			await runFor(test.timers, 500);
			assert.deepEqual(test.fleet.records.map(({runNumber, outcome}) => [runNumber, outcome]), [[1, 'done'], [1, 'done']]);
			test.network.healLinks();
			await runFor(test.timers, 500);
			assert.deepEqual(getOutcomes(test), [['entry-b1', 'completed']]);
			assert.equal(test.fleet.records.length, 2);
		});

		// Guards against a start on a backend server that the entry daemon cannot hand over to the next placer.
		it(`starts nothing on a backend server that it has not recorded until the cut has ended, when it begins ${cutMs} ms earlier`, async () => {
			const {test, reportLate} = await createWithLateServer(300);
			test.network.cutLink('keeper-a', 'entry-b1');
			await runFor(test.timers, cutMs);
			reportLate();
			await runFor(test.timers, 20);
			test.submit('entry-b1', 'job', job);
			await runFor(test.timers, 500);
			assert.deepEqual(test.fleet.records, []);
			test.network.healLinks();
			await runFor(test.timers, 1000);
			assert.deepEqual(test.fleet.records.map(({serverId, runNumber}) => [serverId, runNumber]), [['server-0', 1], ['server-0', 1]]);
			assert.deepEqual(getOutcomes(test), [['entry-b1', 'completed']]);
		});
	}
});

/**
 * Lets keeper-a start the job of entry-b1 on a backend server that neither the next placer nor entry-c1 learns of, and submits the job through
 * entry-c1 too. Gets a function by which the caller of entry-b1 leaves.
 */
async function submitTwiceWithLateServer(): Promise<{test: TestCluster; leave: () => void}> {
	const {test, reportLate, restoreServers} = await createWithLateServer(durationMs);
	test.network.cutLink('keeper-a', 'keeper-b');
	test.network.cutLink('keeper-a', 'entry-c1');
	reportLate();
	const {unsubscribe} = test.submit('entry-b1', 'job', job);
	await runFor(test.timers, 50);
	assert.deepEqual(test.fleet.records.map(({serverId}) => serverId), ['server-0', 'server-0']);
	test.submit('entry-c1', 'job', job);
	await runFor(test.timers, 50);
	restoreServers();
	return {
		test, leave() {
			unsubscribe();
		},
	};
}

async function checkOverlaps(test: TestCluster): Promise<void> {
	await runFor(test.timers, 6000);
	assert.equal(test.find('entry-c1').cluster.getStatus().placerId, 'keeper-b');
	assert.deepEqual(test.fleet.findOverlaps(), []);
}

// Guards against a handover whose record lacks the backend servers on which the job had started before the entry daemon submitted it.
describe('createCluster, when a second entry daemon waits for a job that runs on a backend server which it has not recorded', () => {
	it('does not start the job again when the placer and the first entry daemon are lost', {todo: 'KNOWN-RED.txt'}, async () => {
		const {test} = await submitTwiceWithLateServer();
		test.kill('keeper-a');
		test.kill('entry-b1');
		await checkOverlaps(test);
	});

	it('does not start the job again when its first caller has left and the placer is lost', {todo: 'KNOWN-RED.txt'}, async () => {
		const {test, leave} = await submitTwiceWithLateServer();
		leave();
		await runFor(test.timers, 10);
		test.kill('keeper-a');
		await checkOverlaps(test);
	});

	it('does not start the job again when the placer is lost and the first entry daemon is cut off', {todo: 'KNOWN-RED.txt'}, async () => {
		const {test} = await submitTwiceWithLateServer();
		test.kill('keeper-a');
		test.network.partitionPeers(['entry-b1'], test.daemons.map(({id}) => id).filter(id => id !== 'entry-b1'));
		await checkOverlaps(test);
	});
});
