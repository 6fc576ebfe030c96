import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import {getLeavingServers, drainedAtMs, replayNotice} from '../support/notice-replay.js';
import {claimMs, type ReplayStep} from '../support/load-replay.js';

const load = 0.75;
const noticeMs = 500;
const replacedAtMs = drainedAtMs + (noticeMs / 2);
const lateRequestShare = 0.05;

/** Some requests to the backend servers that leave are carried out 2 s later, and another placer takes over halfway through the notice. */
function getTroubles(seed: number): ReplayStep[] {
	const random = createSeededRandomSource(seed);
	return [
		{
			atMs: drainedAtMs - 1,
			apply({fleet}) {
				for (const server of getLeavingServers(fleet.servers)) {
					server.fault = {isRequestDelayed: () => random.getFraction() < lateRequestShare};
				}
			},
		},
		{
			atMs: replacedAtMs,
			apply(test, openJobs) {
				test.placer.stop();
				for (const server of getLeavingServers(test.fleet.servers)) {
					server.description = {...server.description, noticeMs: noticeMs / 2};
				}

				const successor = test.createSuccessor(2, 'second');
				successor.setServers(test.fleet.getDescriptions(), 0);
				test.usePlacer(successor);
				for (const {request, arrivesAtMs} of openJobs) {
					test.submit({...request, ageMs: replacedAtMs - arrivesAtMs}, {
						generation: 1, handover: {entryId: 'entry', registryDigest: '', placers: [{placerId: 'first', incarnation: 'one'}]},
					});
				}
			},
		},
	];
}

describe('0.15 of the backend servers of a zone that are taken away together', () => {
	const rows = [
		// Guards against moves that cost more jobs than they save, as stops of runs that would have ended in time do.
		{
			title: 'nearly all runs end in time, and none is stopped', noticeMs: 2000, seed: 1, expected: {lost: 0, lostBefore: 0, moved: 0},
		},
		// Guards against runs that are lost although there is capacity elsewhere.
		{
			title: 'runs that would be lost are moved', noticeMs: 1000, seed: 4, expected: {lost: 0, lostBefore: 1, moved: 1},
		},
		{
			title: 'only runs whose jobs have time are moved', noticeMs: 500, seed: 2, expected: {lost: 3, lostBefore: 4, moved: 1},
		},
	];
	for (const {title, noticeMs: rowNoticeMs, seed, expected} of rows) {
		it(`${title}, with a notice of ${rowNoticeMs} ms at a load of ${load}`, async () => {
			const before = await replayNotice({
				load, seed, noticeMs: rowNoticeMs, isNoticeStated: false,
			});
			const after = await replayNotice({
				load, seed, noticeMs: rowNoticeMs, isNoticeStated: true,
			});
			assert.deepEqual({lost: after.lostRuns, lostBefore: before.lostRuns, moved: after.movedRuns}, expected);
			assert.equal(before.movedRuns, 0);
			assert.ok(after.servedShare >= before.servedShare, `${after.servedShare} instead of ${before.servedShare} in time`);
			const {fleet} = after.test;
			assert.deepEqual(fleet.findOverlaps(), []);
			const leavingIds = new Set(getLeavingServers(fleet.servers).map(({description}) => description.id));
			const startedLate = fleet.records.filter(({serverId, startedAtMs}) => leavingIds.has(serverId) && startedAtMs > claimMs + drainedAtMs + 2);
			assert.deepEqual(startedLate, []);
		});
	}

	// Guards against two runs of a task when stops, starts and renewals take effect late and the placer changes during the notice.
	it('no task has two runs at once, with late requests and another placer halfway through the notice', async () => {
		let moveCount = 0;
		for (const seed of [1, 2, 3, 4, 5, 6]) {
			// eslint-disable-next-line no-await-in-loop -- One replay at a time.
			const {test, movedRuns} = await replayNotice({
				load, seed, noticeMs, isNoticeStated: true, steps: getTroubles(seed),
			});
			moveCount += movedRuns;
			assert.deepEqual(test.fleet.findOverlaps(), [], `seed ${seed}`);
		}

		assert.ok(moveCount > 0);
	});
});
