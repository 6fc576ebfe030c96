import assert from 'node:assert/strict';
import {setImmediate} from 'node:timers/promises';
import {describe, it} from 'node:test';
import {ProcessTimers} from '@camphortack/testkit';
import {
	decodeOutcome, encodeOutcome, wireOutcomeSchema, type JobOutcome,
} from '../../src/index.js';
import {createTestPlacer, defaultRequest, type TestPlacer} from '../support/create-test-placer.js';
import {runFor} from '../support/run-for.js';

const [step] = defaultRequest.steps;

/** Creates a placer whose backend servers can run two jobs at a time, and submits three. */
async function createBusyPlacer(): Promise<TestPlacer> {
	const test = createTestPlacer({serverCount: 2});
	await runFor(test.timers, 10);
	for (const jobId of ['first', 'second', 'waiting']) {
		test.submit({jobId, stretch: 10});
	}

	await runFor(test.timers, 20);
	return test;
}

describe('a placer whose availability zone is evacuated', () => {
	it('lets running tasks end, refuses jobs that have not started, and announces no free capacity', async () => {
		const {timers, fleet, placer, results, submit} = await createBusyPlacer();
		placer.setEvacuatedZones(['north']);
		const evacuatedAtMs = timers.getNowMs();
		submit({jobId: 'late'});
		await runFor(timers, 200);
		assert.deepEqual(['first', 'second', 'waiting', 'late'].map(jobId => results.get(jobId)?.outcome), ['completed', 'completed', 'refused', 'refused']);
		const refusal = results.get('late')!;
		assert.equal(refusal.outcome === 'refused' && refusal.reason, 'evacuated');
		assert.ok(fleet.records.every(({startedAtMs}) => startedAtMs < evacuatedAtMs));
		assert.ok(placer.getLoadMs() > 10_000);
	});

	it('ends a job that has started but needs more starts as unknown, within a second', async () => {
		const {timers, placer, results, endedAtMs, submit} = createTestPlacer();
		await runFor(timers, 10);
		submit({jobId: 'job', steps: [{...step!, taskCount: 1}, {...step!, taskCount: 1, dependsOn: [0]}]});
		await runFor(timers, 20);
		placer.setEvacuatedZones(['north']);
		const evacuatedAtMs = timers.getNowMs();
		await runFor(timers, 1200);
		assert.deepEqual(results.get('job'), {outcome: 'unknown'});
		assert.ok(endedAtMs.get('job')! - evacuatedAtMs <= 1050);
	});

	it('starts tasks again after the withdrawal', async () => {
		const {timers, placer, results, submit} = createTestPlacer();
		await runFor(timers, 10);
		placer.setEvacuatedZones(['north']);
		await runFor(timers, 100);
		placer.setEvacuatedZones([]);
		submit({jobId: 'job'});
		await runFor(timers, 200);
		assert.deepEqual(results.get('job'), {outcome: 'completed'});
	});

	// Guards against jobs that wait until they are too late because the backend servers of the zone have left.
	it('refuses jobs also when no backend server is left', async () => {
		const {timers, placer, results, submit} = createTestPlacer();
		await runFor(timers, 10);
		placer.setEvacuatedZones(['north']);
		placer.setServers([], 0);
		submit({jobId: 'job'});
		await runFor(timers, 60);
		assert.equal(results.get('job')?.outcome, 'refused');
	});

	// Guards against tasks that a suspended placer starts when it wakes, before it reads the evacuation that arrived meanwhile.
	it('starts nothing when it wakes before it has handled the messages received meanwhile', async () => {
		const {timers, fleet, results, submit, usePlacer, createSuccessor} = createTestPlacer();
		const processTimers = new ProcessTimers(timers);
		const placer = createSuccessor(2, 'second', 2, {placerTimers: processTimers});
		placer.setServers(fleet.getDescriptions(), 0);
		usePlacer(placer);
		await runFor(timers, 100);
		processTimers.pause();
		await runFor(timers, 2000, 5);
		processTimers.resume();
		submit({jobId: 'job'});
		await setImmediate();
		placer.setEvacuatedZones(['north']);
		await runFor(timers, 100);
		assert.deepEqual([fleet.records.length, results.get('job')?.outcome], [0, 'refused']);
	});
});

describe('a placer with backend servers in several availability zones', () => {
	it('uses the others', async () => {
		const {timers, fleet, placer, results, submit} = createTestPlacer({serverCount: 4, availabilityZones: ['north', 'south']});
		await runFor(timers, 10);
		placer.setEvacuatedZones(['north']);
		for (const jobId of ['one', 'two']) {
			submit({jobId});
		}

		await runFor(timers, 300);
		assert.deepEqual(['one', 'two'].map(jobId => results.get(jobId)?.outcome), ['completed', 'completed']);
		const zones = new Map(fleet.getDescriptions().map(({id, availabilityZone}) => [id, availabilityZone]));
		assert.deepEqual(new Set(fleet.records.map(({serverId}) => zones.get(serverId))), new Set(['south']));
	});
});

describe('a refusal because of an evacuation', () => {
	// Guards against daemons of an earlier version that drop a message with an unknown reason, so that callers get no answer.
	it('is a refusal for overload to daemons of earlier versions, and is read back by others', () => {
		const outcomes: JobOutcome[] = [
			{outcome: 'refused', reason: 'evacuated', retryAfterMs: 1000}, {outcome: 'refused', reason: 'overload', retryAfterMs: 1000}, {outcome: 'unknown'}, {outcome: 'completed'},
		];
		assert.deepEqual(outcomes.map(outcome => decodeOutcome(wireOutcomeSchema.parse(encodeOutcome(outcome)))), outcomes);
		assert.deepEqual(encodeOutcome(outcomes[0]!), {
			outcome: 'refused', reason: 'overload', retryAfterMs: 1000, isEvacuated: true,
		});
	});
});
