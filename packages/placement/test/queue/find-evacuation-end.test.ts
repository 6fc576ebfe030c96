import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findEvacuationEnd, type EvacuatedJob} from '../../src/queue/find-evacuation-end.js';

describe('findEvacuationEnd', () => {
	const waiting: EvacuatedJob = {
		hasStarted: false, hasWaitingTasks: true, hasRunningTasks: false, hasEarlierRuns: false, evacuatedMs: 0,
	};
	const rows: Array<{title: string; job: EvacuatedJob; expected: 'refused' | 'unknown' | undefined}> = [
		{title: 'a job that has not started', job: waiting, expected: 'refused'},
		// Guards against a job that is forwarded while a run of its earlier submission goes on here.
		{title: 'a job of which a run of an earlier submission goes on', job: {...waiting, hasEarlierRuns: true}, expected: undefined},
		{
			title: 'a job whose tasks all run, after 2 s', job: {
				...waiting, hasStarted: true, hasWaitingTasks: false, hasRunningTasks: true, evacuatedMs: 2000,
			}, expected: undefined,
		},
		{
			title: 'a started job that needs more starts, after 900 ms', job: {
				...waiting, hasStarted: true, hasRunningTasks: true, evacuatedMs: 900,
			}, expected: undefined,
		},
		{
			title: 'a started job that needs more starts, after 1 s', job: {
				...waiting, hasStarted: true, hasRunningTasks: true, evacuatedMs: 1000,
			}, expected: 'unknown',
		},
		{
			title: 'a started job of which nothing runs', job: {...waiting, hasStarted: true}, expected: 'unknown',
		},
	];
	for (const {title, job, expected} of rows) {
		it(`${title} → ${expected ?? 'goes on'}`, () => {
			assert.equal(findEvacuationEnd(job), expected);
		});
	}
});
