import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findTimeline} from '../../src/explaining/find-timeline.js';
import {parseLogRecords} from '../../src/explaining/log-record.js';
import {runCommand} from '../fixtures/run-command.js';

const createLine = (time: number, daemon: string, event: string, rest: Record<string, unknown> = {}) => JSON.stringify({
	level: 30, time, daemon, number: 1000, event, ...rest,
});
const log = [
	createLine(1000, 'entry-1', 'job-answered', {job: 'abc', outcome: 'completed', ageMs: 900}),
	`collector: ${createLine(300, 'keeper-1', 'job-taken', {job: 'abc'})}`,
	createLine(400, 'keeper-1', 'task-failed', {task: 'abc.0.0.1', server: 's-1'}),
	createLine(410, 'keeper-1', 'backend-server-ejected', {server: 's-1'}),
	createLine(420, 'keeper-1', 'backend-server-ejected', {server: 's-2'}),
	createLine(500, 'keeper-2', 'placer-elected', {term: 4}),
	createLine(600, 'keeper-2', 'job-ended', {job: 'abcd'}),
	createLine(9000, 'keeper-1', 'backend-server-ejected', {server: 's-1'}),
	'{"time":',
	'plain text',
].join('\n');

describe('explain', () => {
	it('returns the records of a job and related events in chronological order', () => {
		const {records, unreadableCount} = parseLogRecords(log);
		assert.equal(unreadableCount, 1);
		assert.deepEqual(findTimeline(records, 'abc').map(({event}) => event), ['job-taken', 'task-failed', 'backend-server-ejected', 'placer-elected', 'job-answered']);
	});

	it('finds the records of a backend server', () => {
		assert.equal(findTimeline(parseLogRecords(log).records, 's-1').length, 4);
	});

	it('prints a table, or fails if no line contains the id', async () => {
		const found = await runCommand(['explain', 'abc', '-'], {stdin: log});
		assert.equal(found.exitCode, 0);
		assert.match(found.stdout, /\+100 ms {2}keeper-1 {2}E1000 task-failed {2}.*server=s-1/v);
		const missing = await runCommand(['explain', 'zzz', '-'], {stdin: log});
		assert.deepEqual([missing.exitCode, missing.stderr], [1, '1 lines could not be parsed and are omitted\ncamphortack: no line of the logs contains "zzz"\n']);
	});
});
