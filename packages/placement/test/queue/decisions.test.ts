import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {compareWaitingJobs} from '../../src/queue/compare-waiting-jobs.js';
import {createWaitEstimator} from '../../src/queue/create-wait-estimator.js';
import {findRefusal} from '../../src/queue/find-refusal.js';
import type {WaitingJob} from '../../src/queue/waiting-job.js';

const job: WaitingJob = {
	arrivedAtMs: 0,
	criticalPathMs: 100,
	objectiveMs: 220,
	callerDeadlineMs: 1500,
	waitingMillicores: 54_000,
	orderedWork: 1,
	hasStarted: false,
};

describe('findRefusal', () => {
	const rows: Array<{title: string; job: Partial<WaitingJob>; nowMs: number; waitAheadMs: number; startWaitMs?: number; expected: string | undefined}> = [
		{
			title: 'an empty queue', job: {}, nowMs: 0, waitAheadMs: 0, expected: undefined,
		},
		{
			title: 'a wait within the objective', job: {}, nowMs: 0, waitAheadMs: 119, expected: undefined,
		},
		{
			title: 'a wait beyond the objective', job: {}, nowMs: 0, waitAheadMs: 121, expected: 'overload',
		},
		{
			title: 'a wait beyond the objective, after a quarter of it', job: {}, nowMs: 60, waitAheadMs: 121, expected: undefined,
		},
		{
			title: 'starts ahead within the objective', job: {}, nowMs: 60, waitAheadMs: 0, startWaitMs: 59, expected: undefined,
		},
		{
			title: 'too many starts ahead of a placer that is behind, after a quarter of the objective', job: {}, nowMs: 60, waitAheadMs: 0, startWaitMs: 61, expected: 'overload',
		},
		{
			title: 'a started job behind too many starts', job: {hasStarted: true}, nowMs: 60, waitAheadMs: 0, startWaitMs: 900, expected: undefined,
		},
		{
			title: 'a late job behind others', job: {}, nowMs: 121, waitAheadMs: 1, expected: 'overload',
		},
		{
			title: 'a late job with nothing ahead', job: {}, nowMs: 121, waitAheadMs: 0, expected: undefined,
		},
		{
			title: 'a new job that would be late, with nothing ahead', job: {criticalPathMs: 230}, nowMs: 0, waitAheadMs: 0, expected: undefined,
		},
		{
			title: 'three objectives have passed', job: {}, nowMs: 561, waitAheadMs: 0, expected: 'too-late',
		},
		{
			title: 'the caller times out before the end', job: {callerDeadlineMs: 99}, nowMs: 0, waitAheadMs: 0, expected: 'too-late',
		},
		{
			title: 'a started job', job: {hasStarted: true}, nowMs: 900, waitAheadMs: 900, expected: undefined,
		},
	];
	for (const row of rows) {
		it(`${row.title} → ${row.expected ?? 'waits'}`, () => {
			assert.equal(findRefusal({...job, ...row.job}, {startWaitMs: 0, ...row}), row.expected);
		});
	}
});

describe('compareWaitingJobs', () => {
	const rows: Array<{title: string; first: Partial<WaitingJob>; second: Partial<WaitingJob>; nowMs: number}> = [
		{
			title: 'a started job, before a smaller one', first: {hasStarted: true, orderedWork: 3}, second: {orderedWork: 0.1}, nowMs: 0,
		},
		{
			title: 'a job in time, before a smaller late one', first: {arrivedAtMs: 100, orderedWork: 3}, second: {orderedWork: 0.1}, nowMs: 130,
		},
		{
			title: 'the smaller job relative to its queue\'s mean', first: {orderedWork: 0.5}, second: {orderedWork: 0.8}, nowMs: 0,
		},
		{
			title: 'the earlier one of two jobs above the cap', first: {orderedWork: 5}, second: {arrivedAtMs: 1, orderedWork: 2}, nowMs: 0,
		},
	];
	for (const {title, first, second, nowMs} of rows) {
		it(`ranks first: ${title}`, () => {
			assert.ok(compareWaitingJobs({...job, ...first}, {...job, ...second}, nowMs) < 0);
			assert.ok(compareWaitingJobs({...job, ...second}, {...job, ...first}, nowMs) > 0);
		});
	}
});

describe('createWaitEstimator', () => {
	const rows = [
		{
			title: 'enough free cores', load: {usableMillicores: 540_000, freeMillicores: 60_000, meanRunMs: 200}, ahead: 0, expectedMs: 0,
		},
		{
			title: 'a tenth of all cores must become free', load: {usableMillicores: 540_000, freeMillicores: 0, meanRunMs: 200}, ahead: 0, expectedMs: 20,
		},
		{
			title: 'nine jobs ahead', load: {usableMillicores: 540_000, freeMillicores: 0, meanRunMs: 200}, ahead: 9, expectedMs: 200,
		},
		{
			title: 'all cores reused once by the jobs ahead', load: {usableMillicores: 540_000, freeMillicores: 0, meanRunMs: 200}, ahead: 19, expectedMs: 300,
		},
		{
			title: 'no backend server', load: {usableMillicores: 0, freeMillicores: 0, meanRunMs: 0}, ahead: 3, expectedMs: 0,
		},
	];
	for (const {title, load, ahead, expectedMs} of rows) {
		it(`${title} → ${expectedMs} ms`, () => {
			const estimator = createWaitEstimator(load);
			for (let count = 0; count < ahead; count++) {
				estimator.addJob(job);
			}

			assert.equal(Math.round(estimator.getWaitMs(job)), expectedMs);
		});
	}
});
