import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {getStepEstimates} from '../../src/jobs/get-step-estimates.js';
import type {JobRequest} from '../../src/index.js';
import {createDistanceEstimator} from '../../src/queue/create-distance-estimator.js';
import {getDistanceFactor} from '../../src/queue/get-distance-factor.js';
import {getExpectedEndMs} from '../../src/queue/get-expected-end.js';
import {defaultRequest} from '../support/create-test-placer.js';

describe('getDistanceFactor', () => {
	const rows = [
		{dataRack: 'rack-1', factor: 3, expected: 1},
		{dataRack: 'rack-2', factor: 3, expected: 3},
		{dataRack: undefined, factor: 3, expected: 1},
		{dataRack: 'rack-2', factor: undefined, expected: 1},
	];
	for (const {dataRack, factor, expected} of rows) {
		it(`data in ${dataRack ?? 'no rack'}, factor ${factor ?? 'unknown'}, a backend server in rack-1 → ${expected}`, () => {
			assert.equal(getDistanceFactor(dataRack, ['a', 'rack-1'], factor), expected);
		});
	}
});

describe('getExpectedEndMs', () => {
	const rows = [
		{
			title: 'no progress yet', reportedMs: 0, percent: 0, nowMs: 50, expected: 100,
		},
		{
			title: 'too little progress to project', reportedMs: 40, percent: 9, nowMs: 50, expected: 100,
		},
		{
			title: 'a run that takes twice as long as expected', reportedMs: 40, percent: 20, nowMs: 50, expected: 200,
		},
		// Guards against an overdue run that seems to end at any moment, for which tasks would wait without end.
		{
			title: 'an overdue run', reportedMs: 0, percent: 0, nowMs: 400, expected: 440,
		},
	];
	for (const {title, expected, nowMs, ...run} of rows) {
		it(`${title} → ${expected} ms`, () => {
			assert.equal(getExpectedEndMs({startedAtMs: 0, expectedMs: 100, ...run}, nowMs), expected);
		});
	}
});

describe('getStepEstimates', () => {
	it('gets the longest chain after each step', () => {
		const getStep = (estimateMs: number, dependsOn: number[]) => ({...defaultRequest.steps[0]!, estimateMs, dependsOn});
		const request: JobRequest = {...defaultRequest, jobId: 'job', steps: [getStep(50, []), getStep(30, [0]), getStep(80, [0]), getStep(20, [1, 2])]};
		assert.deepEqual(getStepEstimates(request, ({estimateMs}) => estimateMs).map(({followingMs}) => followingMs), [100, 20, 20, 0]);
	});
});

describe('createDistanceEstimator', () => {
	const job = {waitingMillicores: 54_000, criticalPathMs: 100, dataRack: 'rack-1'};
	const load = {freeMillicores: 54_000, releases: [{atMs: 1080, cpuMillicores: 54_000}, {atMs: 1030, cpuMillicores: 54_000}]};
	const rows = [
		{
			title: 'free capacity near the data', ahead: 0, factor: 3, expected: {delayMs: 0, runFactor: 1},
		},
		{
			title: 'one job ahead', ahead: 1, factor: 3, expected: {delayMs: 30, runFactor: 1},
		},
		// Guards against herding: each job ahead that wants the rack takes the capacity that becomes free there first.
		{
			title: 'two jobs ahead', ahead: 2, factor: 3, expected: {delayMs: 80, runFactor: 1},
		},
		{
			title: 'three jobs ahead, the first of which ends', ahead: 3, factor: 3, expected: {delayMs: 100, runFactor: 1},
		},
		{
			title: 'a wait longer than what the far run adds', ahead: 2, factor: 1.5, expected: {delayMs: 50, runFactor: 1.5},
		},
		{
			title: 'an unknown factor', ahead: 2, factor: undefined, expected: {delayMs: 0, runFactor: 1},
		},
	];
	for (const {title, ahead, factor, expected} of rows) {
		it(`${title} → ${expected.delayMs} ms, ${expected.runFactor} times the run time`, () => {
			const estimator = createDistanceEstimator(1000, factor, () => load);
			for (let count = 0; count < ahead; count++) {
				estimator.addJob(job, estimator.getEstimate(job, 0));
			}

			assert.deepEqual(estimator.getEstimate(job, 0), expected);
		});
	}
});
