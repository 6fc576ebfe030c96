import assert from 'node:assert/strict';
import {it} from 'node:test';
import type {EarlierJobs} from '../../src/index.js';
import {completeReports, createTestPlacer, defaultRequest} from '../support/create-test-placer.js';
import {runFor} from '../support/run-for.js';

const missingReports: EarlierJobs = {mayHaveStarted: () => true, mayBeHandedOver: () => true, getSilenceMs: () => 0};

const rows: Array<{title: string; unclaimableCount: number; isFirstSilent: boolean; earlierJobs: EarlierJobs; startedAtMs: [from: number, to: number]}> = [
	{
		title: 'all backend servers are claimed', unclaimableCount: 0, isFirstSilent: false, earlierJobs: missingReports, startedAtMs: [10, 20],
	},
	{
		title: 'all entry daemons have reported', unclaimableCount: 1, isFirstSilent: true, earlierJobs: completeReports, startedAtMs: [10, 20],
	},
	{
		title: 'a backend server must not be claimed', unclaimableCount: 1, isFirstSilent: false, earlierJobs: missingReports, startedAtMs: [1120, 1175],
	},
	{
		title: 'a backend server does not answer', unclaimableCount: 0, isFirstSilent: true, earlierJobs: missingReports, startedAtMs: [1120, 1175],
	},
	{
		title: 'the earlier placer had been silent for 600 ms', unclaimableCount: 1, isFirstSilent: true, earlierJobs: {...missingReports, getSilenceMs: () => 600}, startedAtMs: [520, 575],
	},
	{
		title: 'only another job may have started', unclaimableCount: 1, isFirstSilent: true, earlierJobs: {...missingReports, mayHaveStarted: jobId => jobId === 'other'}, startedAtMs: [10, 20],
	},
];
for (const {title, unclaimableCount, isFirstSilent, earlierJobs, startedAtMs} of rows) {
	// Guards against a second run of a task that an earlier placer started, and against jobs that wait at a takeover for no reason.
	it(`${title} → a job that reaches a new placer as new starts ${startedAtMs.join(' to ')} ms after the start of the term`, async () => {
		const {timers, fleet, placer, createSuccessor} = createTestPlacer();
		await runFor(timers, 10);
		placer.stop();
		fleet.servers[0]!.fault = {isUnreachableFrom: () => isFirstSilent};
		const successor = createSuccessor(2, 'second', 2, {earlierJobs});
		const termStartMs = timers.getNowMs();
		successor.setServers(fleet.getDescriptions(), unclaimableCount);
		await runFor(timers, 10);
		successor.submit('entry', {
			kind: 'placement.submit', request: {
				...defaultRequest, jobId: 'job', callerTimeoutMs: 5000, slackMs: 4000,
			}, generation: 0, submissionId: 'one', mayHaveStarted: false,
		});
		await runFor(timers, 1500);
		const [first] = fleet.records;
		const waitedMs = first!.startedAtMs - termStartMs;
		assert.ok(waitedMs >= startedAtMs[0] && waitedMs <= startedAtMs[1], `${waitedMs} ms`);
		assert.equal(fleet.records.length, 2);
	});
}
