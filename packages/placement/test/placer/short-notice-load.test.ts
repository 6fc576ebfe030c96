import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {getLeavingServers, drainedAtMs, replayNotice} from '../support/notice-replay.js';
import {claimMs} from '../support/load-replay.js';

const load = 0.75;

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
	for (const {title, noticeMs, seed, expected} of rows) {
		it(`${title}, with a notice of ${noticeMs} ms at a load of ${load}`, async () => {
			const before = await replayNotice({
				load, seed, noticeMs, isNoticeStated: false,
			});
			const after = await replayNotice({
				load, seed, noticeMs, isNoticeStated: true,
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
});
