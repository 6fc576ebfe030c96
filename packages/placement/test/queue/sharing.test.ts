import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {compareWaitingJobs} from '../../src/queue/compare-waiting-jobs.js';
import {createRefusalCounts} from '../../src/queue/create-refusal-counts.js';
import {createSizeShares} from '../../src/queue/create-size-shares.js';
import {createUsualDemand} from '../../src/queue/create-usual-demand.js';
import {createWorkCredits} from '../../src/queue/create-work-credits.js';
import {getRetryAfterMs} from '../../src/queue/get-retry-after-ms.js';
import type {Standing, WaitingJob} from '../../src/queue/waiting-job.js';

const standing: Standing = {shareGroup: 'within-share', isUrgent: true, isUnderserved: false};
const job: WaitingJob = {
	arrivedAtMs: 0,
	criticalPathMs: 100,
	objectiveMs: 220,
	callerDeadlineMs: 1500,
	waitingMillicores: 54_000,
	relativeWork: 1,
	hasStarted: false,
	priority: 1,
	standing,
};

describe('compareWaitingJobs while capacity is short', () => {
	const rows: Array<{title: string; first: Partial<WaitingJob>; second: Partial<WaitingJob>}> = [
		{
			title: 'a job within its share, before a smaller one beyond its queue\'s share',
			first: {relativeWork: 2, priority: 2},
			second: {relativeWork: 0.1, standing: {...standing, shareGroup: 'beyond-queue-share'}, priority: 0},
		},
		{
			title: 'a job beyond its queue\'s share, before one beyond its caller\'s share',
			first: {relativeWork: 2, standing: {...standing, shareGroup: 'beyond-queue-share'}},
			second: {standing: {...standing, shareGroup: 'beyond-caller-share'}},
		},
		{
			title: 'a job that cannot wait, before one of higher priority that can',
			first: {priority: 2},
			second: {priority: 0, standing: {...standing, isUrgent: false}},
		},
		{title: 'the higher priority of two jobs that cannot wait', first: {priority: 0, relativeWork: 1.1}, second: {priority: 1}},
		{
			title: 'the smaller of two jobs that can wait, whatever their priority',
			first: {priority: 2, relativeWork: 0.5, standing: {...standing, isUrgent: false}},
			second: {priority: 0, standing: {...standing, isUrgent: false}},
		},
		{
			title: 'a large job of a size that is served too rarely, before one of two thirds of its work',
			first: {relativeWork: 3, standing: {...standing, isUnderserved: true}},
			second: {relativeWork: 2},
		},
		{title: 'the much smaller of two jobs that cannot wait, whatever their priority', first: {priority: 2, relativeWork: 0.5}, second: {priority: 0}},
		{title: 'a started job, whatever its share', first: {hasStarted: true, standing: {...standing, shareGroup: 'beyond-caller-share'}}, second: {}},
		{title: 'the smaller job while there is capacity for all', first: {relativeWork: 0.5, priority: 2, standing: undefined}, second: {priority: 0, standing: undefined}},
	];
	for (const {title, first, second} of rows) {
		it(`ranks first: ${title}`, () => {
			assert.ok(compareWaitingJobs({...job, ...first}, {...job, ...second}, 0) < 0);
			assert.ok(compareWaitingJobs({...job, ...second}, {...job, ...first}, 0) > 0);
		});
	}
});

describe('createUsualDemand', () => {
	// Guards against a burst that counts as usual while it lasts.
	it('a burst of four times the usual demand for 4 s → less than twice the share', () => {
		const demand = createUsualDemand();
		for (let nowMs = 0; nowMs < 30_000; nowMs += 100) {
			demand.addJob('calm', 100, nowMs);
			demand.addJob('bursting', nowMs < 26_000 ? 100 : 400, nowMs);
		}

		assert.ok(demand.getShare('bursting', 30_000) < 0.65);
		assert.ok(Math.abs(demand.getCores('calm', 30_000) - 1) < 0.05);
	});

	it('is learned after 5 s', () => {
		const demand = createUsualDemand();
		demand.addJob('calm', 100, 1000);
		assert.deepEqual([5999, 6000].map(nowMs => demand.isLearned(nowMs)), [false, true]);
	});
});

describe('createWorkCredits', () => {
	const rows = [
		{
			title: 'the depth at first', used: 0, elapsedMs: 0, expected: 4000,
		},
		{
			title: 'what is left', used: 3000, elapsedMs: 0, expected: 1000,
		},
		{
			title: 'what accrues', used: 3000, elapsedMs: 500, expected: 3000,
		},
		{
			title: 'no more than the depth', used: 0, elapsedMs: 9000, expected: 4000,
		},
		{
			title: 'no greater debt than the depth', used: 90_000, elapsedMs: 0, expected: -4000,
		},
	];
	for (const {title, used, elapsedMs, expected} of rows) {
		it(`${title} → ${expected}`, () => {
			const credits = createWorkCredits(1000);
			credits.getCredit('estimates', 4, 0);
			credits.useCredit('estimates', used);
			assert.equal(credits.getCredit('estimates', 4, elapsedMs), expected);
		});
	}
});

describe('createSizeShares', () => {
	// Guards against overload in which only small jobs are served.
	it('large jobs that are refused while others are served → underserved until they are served again', () => {
		const shares = createSizeShares();
		assert.equal(shares.isUnderserved('estimates', 3), false);
		for (let count = 0; count < 10; count++) {
			shares.addEnd('estimates', 1, true);
			shares.addEnd('estimates', 3, false);
		}

		assert.deepEqual([1, 1.5, 3].map(work => shares.isUnderserved('estimates', work)), [false, false, true]);
		for (let count = 0; count < 20; count++) {
			shares.addEnd('estimates', 3, true);
		}

		assert.equal(shares.isUnderserved('estimates', 3), false);
	});
});

describe('getRetryAfterMs', () => {
	const rows = [
		{
			title: 'no backlog', drainMs: 0, refusedCount: 1, fraction: 0, expected: 1000,
		},
		{
			title: 'a backlog of 3 s', drainMs: 3000, refusedCount: 1, fraction: 0, expected: 3000,
		},
		{
			title: 'the last of 100 refused jobs', drainMs: 0, refusedCount: 100, fraction: 1, expected: 6000,
		},
		{
			title: 'the last of a great many refused jobs', drainMs: 0, refusedCount: 100_000, fraction: 1, expected: 11_000,
		},
	];
	for (const {title, expected, ...options} of rows) {
		it(`${title} → ${expected} ms`, () => {
			assert.equal(getRetryAfterMs(options), expected);
		});
	}

	it('counts refusals of a queue over 2 s', () => {
		const counts = createRefusalCounts();
		assert.deepEqual([counts.addRefusal('a', 0), counts.addRefusal('a', 0), counts.addRefusal('b', 0)], [1, 2, 1]);
		assert.ok(counts.addRefusal('a', 10_000) < 1.05);
	});
});
