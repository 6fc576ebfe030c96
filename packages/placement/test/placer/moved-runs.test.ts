import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createTestPlacer, defaultRequest, unknownPlacerId, type TestPlacer,
} from '../support/create-test-placer.js';
import type {FakeFleetOptions} from '../support/fake-fleet.js';
import type {FakeServer} from '../support/fake-server.js';
import {runFor} from '../support/run-for.js';

const longMs = 1000;
const cpuMillicores = 30_000;
const longStep = {...defaultRequest.steps[0]!, taskCount: 1, estimateMs: longMs};

/** Creates backend servers with capacity for one task each, and a job of one long task that has run for 100 ms. */
async function runLongJob(options: Partial<FakeFleetOptions> & {mostAttempts?: number} = {}): Promise<TestPlacer & {leaving: FakeServer}> {
	const test = createTestPlacer({
		serverCount: 2, cpuMillicores, getDurationMs: () => longMs, ...options,
	});
	await runFor(test.timers, 10);
	test.submit({jobId: 'job', steps: [longStep], mostAttempts: options.mostAttempts ?? 3});
	await runFor(test.timers, 100);
	return {...test, leaving: findServerOf(test, 'job.0.0.0')};
}

function findServerOf({fleet}: TestPlacer, taskName: string): FakeServer {
	return fleet.servers.find(({runs}) => runs.has(taskName))!;
}

function setNotice({fleet, placer}: TestPlacer, server: FakeServer, noticeMs: number | undefined): void {
	server.description = {...server.description, state: 'draining', noticeMs};
	placer.setServers(fleet.getDescriptions(), 0);
}

function getRuns({fleet}: TestPlacer, jobId = 'job'): Array<string | undefined> {
	return fleet.records.filter(({taskName}) => taskName.startsWith(jobId)).map(({outcome}) => outcome);
}

function countMoves({events, metrics}: TestPlacer): number {
	const count = events.events.filter(({name}) => name === 'task-moved').length;
	assert.equal(metrics.getCount('task-moved'), count);
	return count;
}

describe('a backend server that will be taken away', () => {
	const rows = [
		{
			title: 'has a run moved that would outlast its notice', noticeMs: 300, mostAttempts: 3, expected: {moves: 1, runs: ['stopped', 'done']},
		},
		// Guards against restarts of tasks that have enough time.
		{
			title: 'keeps a run that ends in time', noticeMs: 2000, mostAttempts: 3, expected: {moves: 0, runs: ['done']},
		},
		// Guards against a new behaviour in deployments whose backend servers do not state their notice.
		{
			title: 'without a stated notice keeps its run', noticeMs: undefined, mostAttempts: 3, expected: {moves: 0, runs: ['done']},
		},
		// Guards against more runs of a task than its queue allows.
		{
			title: 'keeps the run of the last attempt', noticeMs: 300, mostAttempts: 1, expected: {moves: 0, runs: ['done']},
		},
	];
	for (const {title, noticeMs, mostAttempts, expected} of rows) {
		it(title, async () => {
			const test = await runLongJob({mostAttempts});
			setNotice(test, test.leaving, noticeMs);
			await runFor(test.timers, 1300);
			assert.deepEqual({moves: countMoves(test), runs: getRuns(test)}, expected);
			assert.deepEqual(test.results.get('job'), {outcome: 'completed'});
			assert.deepEqual(test.fleet.findOverlaps(), []);
		});
	}

	it('has a moved run start elsewhere only when the old one is over', async () => {
		const stopMs = 40;
		const test = await runLongJob({stopMs});
		const atMs = test.timers.getNowMs();
		setNotice(test, test.leaving, 300);
		await runFor(test.timers, 100);
		const [first, second] = test.fleet.records;
		assert.ok(first!.endedAtMs! >= atMs + stopMs);
		assert.ok(second!.startedAtMs >= first!.endedAtMs!);
		assert.notEqual(second!.serverId, first!.serverId);
	});

	// Guards against a run that is thrown away although its task can start nowhere.
	it('keeps its run while there is no capacity elsewhere, and has it moved when some becomes free', async () => {
		const test = await runLongJob({getDurationMs: taskName => (taskName.startsWith('other') ? 300 : longMs)});
		test.submit({jobId: 'other', steps: [{...longStep, estimateMs: 300}]});
		await runFor(test.timers, 20);
		setNotice(test, test.leaving, 500);
		await runFor(test.timers, 200);
		assert.equal(countMoves(test), 0);
		await runFor(test.timers, 1500);
		assert.deepEqual(getRuns(test), ['stopped', 'done']);
		assert.deepEqual(test.results.get('job'), {outcome: 'completed'});
	});

	// Guards against stops without use: without any other capacity, the run is lost when the backend server goes, as without a notice.
	it('keeps its run to the end if there is no capacity elsewhere at all', async () => {
		const test = await runLongJob({serverCount: 1});
		setNotice(test, test.leaving, 300);
		await runFor(test.timers, 300);
		test.fleet.crash(test.leaving.description.id);
		await runFor(test.timers, 300);
		assert.equal(countMoves(test), 0);
		assert.deepEqual(getRuns(test), [undefined]);
	});

	it('has only as many runs moved as there is capacity for, the one that has done less first', async () => {
		const test = createTestPlacer({serverCount: 2, cpuMillicores: 2 * cpuMillicores, getDurationMs: () => longMs});
		await runFor(test.timers, 10);
		test.submit({jobId: 'job', steps: [longStep]});
		await runFor(test.timers, 50);
		test.submit({jobId: 'late', steps: [longStep]});
		await runFor(test.timers, 50);
		const leaving = findServerOf(test, 'job.0.0.0');
		assert.equal(findServerOf(test, 'late.0.0.0'), leaving);
		test.submit({jobId: 'other', steps: [longStep]});
		await runFor(test.timers, 50);
		setNotice(test, leaving, 300);
		await runFor(test.timers, 200);
		assert.deepEqual({job: getRuns(test, 'job'), late: getRuns(test, 'late')}, {job: [undefined], late: ['stopped', undefined]});
	});

	// Guards against a task that has lost its run for a place that a job which arrives meanwhile takes.
	it('has a run moved whose place is not given to a job that arrives while the run is stopped', async () => {
		const test = await runLongJob({stopMs: 100});
		setNotice(test, test.leaving, 300);
		await runFor(test.timers, 20);
		test.submit({jobId: 'other', steps: [{...longStep, estimateMs: 20}]});
		await runFor(test.timers, 150);
		assert.deepEqual(getRuns(test), ['stopped', undefined]);
		assert.deepEqual(getRuns(test, 'other'), []);
	});

	it('is used as before when its notice is withdrawn', async () => {
		const test = await runLongJob({serverCount: 1});
		setNotice(test, test.leaving, 300);
		await runFor(test.timers, 50);
		test.leaving.description = {...test.leaving.description, state: 'ready', noticeMs: undefined};
		test.placer.setServers(test.fleet.getDescriptions(), 0);
		await runFor(test.timers, 900);
		test.submit({jobId: 'next', steps: [longStep]});
		await runFor(test.timers, 20);
		assert.equal(countMoves(test), 0);
		assert.deepEqual([...getRuns(test), ...getRuns(test, 'next')], ['done', undefined]);
	});

	// Guards against a notice that begins anew with each list of the backend servers that no longer contains this one.
	it('keeps its last notice when it has deregistered', async () => {
		const test = await runLongJob({getDurationMs: taskName => (taskName.startsWith('other') ? 300 : longMs)});
		test.submit({jobId: 'other', steps: [{...longStep, estimateMs: 300}]});
		await runFor(test.timers, 20);
		setNotice(test, test.leaving, 800);
		const remaining = test.fleet.getDescriptions().filter(({id}) => id !== test.leaving.description.id);
		for (let count = 0; count < 4; count++) {
			test.placer.setServers(remaining, 0);
			// eslint-disable-next-line no-await-in-loop -- The lists follow each other in time.
			await runFor(test.timers, 100);
		}

		assert.equal(countMoves(test), 1);
		assert.deepEqual(getRuns(test), ['stopped', undefined]);
	});

	it('can take a task again that was moved away from it', async () => {
		const test = await runLongJob();
		setNotice(test, test.leaving, 300);
		await runFor(test.timers, 60);
		const [, other] = test.fleet.servers.toSorted((left, right) => Number(left !== test.leaving) - Number(right !== test.leaving));
		test.leaving.description = {...test.leaving.description, state: 'ready', noticeMs: undefined};
		setNotice(test, other!, 100);
		await runFor(test.timers, 60);
		assert.deepEqual(test.fleet.records.map(({serverId}) => serverId), [test.leaving.description.id, other!.description.id, test.leaving.description.id]);
		assert.deepEqual(test.fleet.findOverlaps(), []);
	});
});

describe('a stop that goes unanswered', () => {
	// Guards against two runs of a task: whether a stop took effect is known only from the answer to a copy of it, or from a claim.
	const rows = [
		{title: 'is settled by a copy before the new run starts', unansweredMs: 5, isClaimExpected: false},
		{title: 'is settled by a claim before the new run starts, if no copy is answered', unansweredMs: 50, isClaimExpected: true},
	];
	for (const {title, unansweredMs, isClaimExpected} of rows) {
		it(title, async () => {
			const test = await runLongJob();
			const untilMs = test.timers.getNowMs() + unansweredMs;
			test.leaving.fault = {isRequestDelayed: () => test.timers.getNowMs() < untilMs};
			setNotice(test, test.leaving, 300);
			await runFor(test.timers, 400);
			assert.equal(countMoves(test), 1);
			const isClaimed = test.events.events.some(({name, fields}) => name === 'backend-session-changed' && String(fields.reason).startsWith('a stop went unanswered'));
			assert.equal(isClaimed, isClaimExpected);
			assert.deepEqual(getRuns(test), ['stopped', undefined]);
			await runFor(test.timers, 1000);
			assert.deepEqual(test.results.get('job'), {outcome: 'completed'});
			assert.deepEqual(test.fleet.findOverlaps(), []);
		});
	}

	// Guards against a new run while the old one goes on behind a cut until its lease ends.
	it('delays the new run until the leases are over if no claim is answered either', async () => {
		const test = await runLongJob();
		test.leaving.fault = {isUnreachableFrom: () => true};
		setNotice(test, test.leaving, 300);
		await runFor(test.timers, 900);
		assert.equal(countMoves(test), 1);
		assert.equal(test.fleet.records.length, 1);
		await runFor(test.timers, 2500);
		assert.equal(test.fleet.records.length, 2);
		assert.deepEqual(test.fleet.findOverlaps(), []);
	});
});

describe('a placer that takes over during a notice', () => {
	const handover = {entryId: 'entry', registryDigest: '', placers: [{placerId: 'first', incarnation: 'one'}]};
	const rows = [
		{title: 'before the run was stopped moves it', isStopSent: false, expected: {moves: 1, runs: ['stopped', 'done']}},
		{title: 'after the stop was sent starts the task again', isStopSent: true, expected: {moves: 1, runs: ['stopped', 'done']}},
	];
	for (const {title, isStopSent, expected} of rows) {
		// Guards against a run that is lost, or doubled, because the placer that knew of the notice is gone.
		it(title, async () => {
			const test = await runLongJob();
			test.leaving.description = {...test.leaving.description, state: 'draining', noticeMs: 400};
			if (isStopSent) {
				test.placer.setServers(test.fleet.getDescriptions(), 0);
				await runFor(test.timers, 1);
			}

			test.placer.stop();
			await runFor(test.timers, 100);
			test.leaving.description = {...test.leaving.description, noticeMs: 300};
			const successor = test.createSuccessor(2, 'second');
			successor.setServers(test.fleet.getDescriptions(), 0);
			test.usePlacer(successor);
			test.submit({jobId: 'job', steps: [longStep], ageMs: 200}, {generation: 1, handover});
			await runFor(test.timers, 1300);
			assert.deepEqual({moves: countMoves(test), runs: getRuns(test)}, expected);
			assert.deepEqual(test.results.get('job'), {outcome: 'completed'});
			assert.deepEqual(test.fleet.findOverlaps(), []);
		});
	}

	// Guards against a stop of a task that cannot start again, since it is not known what else of its job runs.
	it('leaves a run alone while it looks for others of its job', async () => {
		const test = await runLongJob();
		test.placer.stop();
		test.leaving.description = {...test.leaving.description, state: 'draining', noticeMs: 300};
		const successor = test.createSuccessor(2, 'second');
		successor.setServers(test.fleet.getDescriptions(), 0);
		test.usePlacer(successor);
		test.submit({jobId: 'job', steps: [{...longStep, taskCount: 2}], ageMs: 100}, {
			generation: 1, handover: {...handover, placers: [{placerId: unknownPlacerId, incarnation: 'one'}]},
		});
		await runFor(test.timers, 200);
		assert.equal(countMoves(test), 0);
		assert.deepEqual(getRuns(test), [undefined]);
	});
});
