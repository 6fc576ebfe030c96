import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {completeReports, type TestPlacer} from '../support/create-test-placer.js';
import type {PatternJob} from '../support/load-pattern.js';
import {claimMs, replayLoad, type ReplayStep} from '../support/load-replay.js';

const lostAtMs = 2000;
const overdueAtMs = 2250;
const replacedAtMs = 2500;

/** Stops the placer under load; another one takes over half a second later. Jobs of the second half of that gap were held for it. */
function getTakeover(silentServerCount: number): ReplayStep[] {
	return [
		{
			atMs: 1000,
			apply({fleet}) {
				for (const server of fleet.servers.slice(0, silentServerCount)) {
					server.fault = {isUnreachableFrom: () => true};
				}
			},
		},
		{
			atMs: lostAtMs,
			apply({placer}) {
				placer.stop();
			},
		},
		{
			atMs: replacedAtMs,
			apply(test, openJobs) {
				const successor = test.createSuccessor(2, 'second', 2, {earlierJobs: completeReports});
				successor.setServers(test.fleet.getDescriptions(), 0);
				test.usePlacer(successor);
				for (const {request, arrivesAtMs} of openJobs) {
					const wasSubmitted = arrivesAtMs < overdueAtMs;
					test.submit({...request, ageMs: replacedAtMs - arrivesAtMs}, {
						generation: wasSubmitted ? 1 : 0,
						handover: wasSubmitted ? {entryId: 'entry', registryDigest: '', placers: [{placerId: 'first', incarnation: 'one'}]} : undefined,
					});
				}
			},
		},
	];
}

function countUnknown({results}: TestPlacer, jobs: readonly PatternJob[]): number {
	return jobs.filter(({request}) => results.get(request.jobId)?.outcome === 'unknown').length;
}

describe('a placer that takes over under load', () => {
	for (const silentServerCount of [0, 3]) {
		// Guards against a takeover that fails jobs of which it could know that they have not started, or that they are done.
		it(`leaves only jobs unknown that were submitted to its predecessor and are not done, with ${silentServerCount} silent backend servers`, async () => {
			const {test, jobs} = await replayLoad({load: 0.6, steps: getTakeover(silentServerCount)});
			const held = jobs.filter(({arrivesAtMs}) => arrivesAtMs >= overdueAtMs);
			const doneInGap = jobs.filter(job => isDoneInGap(test, job));
			assert.ok(doneInGap.length > 0);
			assert.equal(countUnknown(test, held), 0);
			assert.equal(countUnknown(test, doneInGap), 0);
			const served = held.filter(({request}) => test.results.get(request.jobId)?.outcome === 'completed').length;
			assert.ok(served >= held.length * 0.9, `${served} of ${held.length} held or later jobs completed`);
			assert.deepEqual(test.fleet.findOverlaps(), []);
		});
	}
});

/** Whether all tasks of a job ended after the first placer was lost and before the second one came. */
function isDoneInGap({fleet}: TestPlacer, {request, taskDurationsMs}: PatternJob): boolean {
	const runs = fleet.records.filter(({taskName, runNumber}) => taskName.startsWith(`${request.jobId}.`) && runNumber === 1);
	return runs.length === taskDurationsMs.length && runs.every(({outcome, endedAtMs}) => outcome === 'done' && endedAtMs! > lostAtMs + claimMs && endedAtMs! < replacedAtMs);
}

describe('a placer whose load is at its worst', () => {
	const rows = [
		{load: 0.75, minEarnedShare: 0.95},
		{load: 0.9, minEarnedShare: 0.9},
		{load: 1.1, minEarnedShare: 0.75},
		{load: 1.4, minEarnedShare: 0.65},
	];
	for (const {load, minEarnedShare} of rows) {
		it(`serves ${minEarnedShare} of the worth in time at a load of ${load}, and tells callers of refusals within their objective`, async () => {
			const {earnedShare, test} = await replayLoad({load});
			assert.ok(earnedShare >= minEarnedShare, `served ${earnedShare}`);
			const refusals = test.events.events.flatMap(({name, fields}) => (name === 'job-ended' && fields.outcome === 'refused' ? [fields] : []));
			const lateRefusals = refusals.filter(({ageMs, objectiveMs}) => Number(ageMs) > Number(objectiveMs));
			assert.deepEqual(lateRefusals, []);
			assert.ok(test.fleet.getPeakUtilization() <= 1);
			assert.deepEqual(test.fleet.findOverlaps(), []);
		});
	}
});
