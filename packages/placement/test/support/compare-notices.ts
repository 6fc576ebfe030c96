import process from 'node:process';
import {replayNotice} from './notice-replay.js';

// Prints how callers are served without and with the notice in the heartbeats, for docs/design/short-notice.md: share of the
// jobs in time, share of the worth, runs lost, runs moved. Arguments, each a list with commas: notices in milliseconds,
// distance factors, loads, seeds; then the share of tasks that take seven times as long.

const [notices = '2000', factors = '1,3', loads = '0.75', seeds = '1,2,3,4', longShare = '0'] = process.argv.slice(2);

type Row = {
	noticeMs: number;
	remoteFactor: number;
	load: number;
	seed: number;
};

const longTaskFactor = 7;

async function getCell({noticeMs, remoteFactor, load, seed}: Row, isNoticeStated: boolean): Promise<string> {
	const racks = remoteFactor === 1 ? undefined : {remoteFactor, isFactorKnown: true};
	const {servedShare, earnedShare, lostRuns, movedRuns, test} = await replayNotice({
		load, seed, noticeMs, isNoticeStated, longTasks: {share: Number(longShare), factor: longTaskFactor}, ...(racks === undefined ? {} : {racks}),
	});
	return `${servedShare.toFixed(4)} ${earnedShare.toFixed(4)} ${lostRuns} ${movedRuns}${test.fleet.findOverlaps().length > 0 ? ' OVERLAP' : ''}`;
}

const rows = notices.split(',').flatMap(notice => factors.split(',').flatMap(factor => loads.split(',').flatMap(load => seeds.split(',').map((seed): Row => ({
	noticeMs: Number(notice), remoteFactor: Number(factor), load: Number(load), seed: Number(seed),
})))));
for (const row of rows) {
	// eslint-disable-next-line no-await-in-loop -- One replay at a time.
	console.log(`| ${row.noticeMs} | ${row.remoteFactor} | ${row.load} | ${row.seed} | ${await getCell(row, false)} | ${await getCell(row, true)} |`);
}
