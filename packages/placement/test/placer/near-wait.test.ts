import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestPlacer, defaultRequest} from '../support/create-test-placer.js';
import {replayLoad} from '../support/load-replay.js';
import {runFor} from '../support/run-for.js';

const [step] = defaultRequest.steps;

/** Creates two backend servers for two tasks each, in different racks. */
function createTwoRacks(remoteRunFactor: number | undefined) {
	const test = createTestPlacer({serverCount: 2, remoteRunFactor});
	for (const [position, {description}] of test.fleet.servers.entries()) {
		description.labels = [`rack-${position}`];
	}

	test.placer.setServers(test.fleet.getDescriptions(), 0);
	return test;
}

describe('a task whose rack is full', () => {
	const rows = [
		{
			title: 'waits if the rack is free soon', factor: 3, ageMs: 60, expected: 'server-0',
		},
		{
			title: 'runs elsewhere if the rack is busy for longer than a far run takes', factor: 1.5, ageMs: 5, expected: 'server-1',
		},
		{
			title: 'runs elsewhere if the factor is not known', factor: undefined, ageMs: 60, expected: 'server-1',
		},
	];
	for (const {title, factor, ageMs, expected} of rows) {
		it(`${title}: factor ${factor ?? 'unknown'}, runs there ${ageMs} ms old → ${expected}`, async () => {
			const {timers, fleet, submit, results, metrics} = createTwoRacks(factor);
			await runFor(timers, 10);
			submit({jobId: 'first', steps: [{...step!, dataRack: 'rack-0'}]});
			await runFor(timers, ageMs);
			submit({jobId: 'second', steps: [{...step!, taskCount: 1, dataRack: 'rack-0'}]});
			await runFor(timers, 400);
			assert.equal(results.get('second')?.outcome, 'completed');
			const run = fleet.records.find(({taskName}) => taskName.startsWith('second'));
			assert.equal(run?.serverId, expected);
			assert.equal(metrics.getCount('near-wait'), expected === 'server-0' ? 1 : 0);
		});
	}

	// Guards against herding: all tasks would wait for the same end, although it serves only the first of them.
	it('counts the tasks that wait ahead of it: of four, two wait and two run elsewhere', async () => {
		const {timers, fleet, submit, results} = createTwoRacks(1.5);
		await runFor(timers, 10);
		submit({jobId: 'first', steps: [{...step!, dataRack: 'rack-0'}]});
		await runFor(timers, 70);
		submit({jobId: 'second', steps: [{...step!, taskCount: 4, dataRack: 'rack-0'}]});
		await runFor(timers, 400);
		assert.equal(results.get('second')?.outcome, 'completed');
		const servers = fleet.records.filter(({taskName}) => taskName.startsWith('second')).map(({serverId}) => serverId);
		assert.deepEqual(servers.toSorted((left, right) => left.localeCompare(right)), ['server-0', 'server-0', 'server-1', 'server-1']);
	});
});

describe('a load with a rack that 0.6 of a kind want', () => {
	// Guards against tasks that run far as soon as their rack is full, which triples their work and overloads the rest.
	it('is served better at three times the run time far from the data', async () => {
		const racks = {remoteFactor: 3, hot: {kindName: 'small', share: 0.6}};
		const without = await replayLoad({load: 0.75, durationMs: 2000, racks: {...racks, isFactorKnown: false}});
		const {earnedShare, test} = await replayLoad({load: 0.75, durationMs: 2000, racks: {...racks, isFactorKnown: true}});
		assert.ok(earnedShare > without.earnedShare + 0.2, `${without.earnedShare} without, ${earnedShare} with the wait`);
		assert.ok(test.fleet.getPeakUtilization() <= 1);
		assert.deepEqual(test.fleet.findOverlaps(), []);
	});
});
