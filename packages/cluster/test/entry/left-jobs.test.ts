import assert from 'node:assert/strict';
import {it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import {runFor} from '../../../placement/test/support/run-for.js';
import {leftJobRetentionMs} from '../../src/cluster-timings.js';
import {createLeftJobs} from '../../src/entry/left-jobs.js';

// Guards against a list that grows, and against one that forgets jobs whose tasks may still run.
it('lists the jobs that were left recently by their shards', async () => {
	const timers = new VirtualTimers();
	const leftJobs = createLeftJobs(timers);
	leftJobs.add('first', 'north');
	await runFor(timers, 1000);
	leftJobs.add('second', 'south');
	leftJobs.add('third', 'south');
	assert.deepEqual(Object.fromEntries(leftJobs.getByShard()), {north: ['first'], south: ['second', 'third']});
	await runFor(timers, leftJobRetentionMs - 500);
	assert.deepEqual(Object.fromEntries(leftJobs.getByShard()), {south: ['second', 'third']});
});
