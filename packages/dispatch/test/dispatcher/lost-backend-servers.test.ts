import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {JobOutcome} from '@camphortack/core';
import {createTestAnnouncement, createTestDispatcher, type TestDispatcher} from '../support/create-test-dispatcher.js';

type Phase = {isDone: boolean};

/** Creates backend servers with one slot each, and runs an idempotent task on two of them, each of another job, without an end. */
function runTwoJobs(phase: Phase): TestDispatcher & {outcomes: JobOutcome[]} {
	const test = createTestDispatcher(({job}) => job === 'successes' || phase.isDone ? {kind: 'done', afterMs: 10} : {kind: 'silence'}, {retryBudgetRatio: 1});
	test.submit({id: 'successes'}, 10);
	test.timers.advance(100);
	for (const id of ['server-1', 'server-2', 'server-3', 'server-4']) {
		test.dispatcher.announceBackendServer(createTestAnnouncement(id, {slots: 1}));
	}

	const outcomes = test.submit({id: 'job', idempotent: true});
	test.submit({id: 'other', idempotent: true});
	test.timers.advance(1);
	return {...test, outcomes};
}

/** Gets the backend server on which the last run of a job was started. */
function getServerOf({starter}: TestDispatcher, jobId: string): string {
	return starter.batches.findLast(({batch}) => batch.tasks.some(({job}) => job === jobId))!.serverId;
}

/** Loses the connections to the backend servers of the last runs of jobs. */
function loseServersOf(test: TestDispatcher, jobIds: readonly string[]): void {
	const serverIds = jobIds.map(jobId => getServerOf(test, jobId));
	for (const backendServerId of serverIds) {
		const attempts = test.starter.batches.findLast(({serverId}) => serverId === backendServerId)!.batch.tasks.map(({attempt}) => attempt);
		test.dispatcher.handleTaskEvent({kind: 'connection-lost', backendServerId, attempts});
	}

	test.timers.advance(1);
}

describe('an idempotent task, when backend servers are lost', () => {
	it('is given up after two that were lost alone', () => {
		const phase = {isDone: false};
		const test = runTwoJobs(phase);
		loseServersOf(test, ['job']);
		test.timers.advance(500);
		phase.isDone = true;
		loseServersOf(test, ['job']);
		test.timers.advance(500);
		assert.deepEqual(test.outcomes.map(({outcome}) => outcome), ['failed']);
	});

	// Guards against a failed job whose task ran on backend servers that were lost with others, as in a failure of power.
	it('completes after one was lost together with another, and one alone', () => {
		const phase = {isDone: false};
		const test = runTwoJobs(phase);
		loseServersOf(test, ['job', 'other']);
		test.timers.advance(500);
		phase.isDone = true;
		loseServersOf(test, ['job']);
		test.timers.advance(500);
		assert.deepEqual(test.outcomes.map(({outcome}) => outcome), ['complete']);
	});

	// Guards against a failed job whose task was only cut off from this daemon twice.
	it('completes after two were lost, the first of which is heard again', () => {
		const phase = {isDone: false};
		const test = runTwoJobs(phase);
		const serverId = getServerOf(test, 'job');
		loseServersOf(test, ['job']);
		test.timers.advance(500);
		test.dispatcher.announceBackendServer(createTestAnnouncement(serverId, {slots: 1}));
		phase.isDone = true;
		loseServersOf(test, ['job']);
		test.timers.advance(500);
		assert.deepEqual(test.outcomes.map(({outcome}) => outcome), ['complete']);
	});
});

describe('a task, when connections to backend servers are refused', () => {
	// Guards against a failed job that no backend server has received, because all of them restarted for a second.
	it('completes once they accept connections again', () => {
		let isRefusing = true;
		const {submit, timers, starter} = createTestDispatcher(() => isRefusing ? {kind: 'connect-refused'} : {kind: 'done', afterMs: 10});
		const outcomes = submit({id: 'job'});
		timers.advance(3000);
		assert.deepEqual(outcomes, []);
		isRefusing = false;
		timers.advance(2100);
		assert.deepEqual(outcomes.map(({outcome}) => outcome), ['complete']);
		assert.equal(starter.startsByTask.get('job/0'), 1);
	});

	// Guards against a task that is sent to every backend server although each of them turns it away.
	it('fails after 8 backend servers have answered that they did not run it', () => {
		const {submit, timers, starter} = createTestDispatcher(() => ({kind: 'not-run'}));
		const outcomes = submit({id: 'job'});
		timers.advance(9000);
		assert.deepEqual(outcomes.map(({outcome}) => outcome), ['failed']);
		assert.equal(starter.batches.length, 8);
	});
});
