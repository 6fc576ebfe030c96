import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {getFencingToken} from '../../placement/src/sessions/fencing-token.js';
import type {RunRecord} from '../../placement/test/support/fake-server.js';
import {createTestCluster, type TestCluster} from './support/create-test-cluster.js';
import {findLateStarts} from './support/find-late-starts.js';

const undividedServerCount = 9;
const dividedServerCount = 105;
const concludedAtMs = 1100;

type Row = {
	title: string;
	serverCount?: number;
	known?: boolean;
	missing?: number;
	earlierPlacers?: string;
	/** The term that the earlier placer, keeper-a, begins after the successor, keeper-b, has concluded. */
	nextTerm?: number;
	run?: {taskName?: string; daemonId?: string; term?: number; startedAtMs?: number};
	isLate: boolean;
};

const rows: Row[] = [
	{title: 'the earlier placer starts a task 1 ms after its successor has concluded', isLate: true},
	{title: 'the earlier placer is none of those that the job was handed over from', earlierPlacers: 'keeper-c', isLate: true},
	{title: 'the earlier placer had started the task before', run: {startedAtMs: concludedAtMs}, isLate: false},
	{title: 'the successor starts the task', run: {daemonId: 'keeper-b', term: 2}, isLate: false},
	{title: 'another placer of the term of the successor starts it, whose tokens are lower', run: {term: 2}, isLate: true},
	{title: 'another placer of the term of the successor starts it, whose tokens are higher', run: {daemonId: 'keeper-c', term: 2}, isLate: false},
	{
		title: 'the earlier placer has become the placer again', nextTerm: 3, run: {term: 3}, isLate: false,
	},
	{
		title: 'the earlier placer has become the placer again, but the start is of its first term', nextTerm: 3, isLate: true,
	},
	{title: 'the task is of another job', run: {taskName: 'job2.0.0.0'}, isLate: false},
	{title: 'the successor could not tell whether the job runs', known: false, isLate: false},
	{title: 'the successor found all runs', missing: 0, isLate: false},
	{
		title: 'the job was handed over from another availability zone', serverCount: dividedServerCount, run: {term: 5}, isLate: true,
	},
	{
		title: 'the placer of another availability zone begins a term, and starts a job that is forwarded to it', serverCount: dividedServerCount, nextTerm: 6, run: {term: 6}, isLate: false,
	},
	{
		title: 'the placer of another availability zone had not been handed the job before', serverCount: dividedServerCount, earlierPlacers: 'entry-b1', run: {term: 5}, isLate: false,
	},
];

function addElection(test: TestCluster, daemonId: string, term: number, atMs: number): void {
	test.events.push({
		daemonId, name: 'placer-elected', fields: {term}, atMs,
	});
}

/** Records that keeper-b concluded on a job after keeper-a, and that one task of it was started. */
function createHistory({serverCount = undividedServerCount, known = true, missing = 1, earlierPlacers = 'keeper-a', nextTerm, run}: Row): TestCluster {
	const test = createTestCluster({serverCount});
	const {taskName = 'job.0.0.1', daemonId = 'keeper-a', term = 1, startedAtMs = concludedAtMs + 1} = run ?? {};
	addElection(test, 'keeper-a', serverCount === undividedServerCount ? 1 : 5, 0);
	addElection(test, 'keeper-b', 2, 1000);
	test.events.push({
		daemonId: 'keeper-b', name: 'job-recovered', atMs: concludedAtMs, fields: {
			job: 'job', tasks: 2, missing, known, earlierPlacers,
		},
	});
	if (nextTerm !== undefined) {
		addElection(test, 'keeper-a', nextTerm, concludedAtMs + 1);
	}

	const record: RunRecord = {
		taskName,
		runNumber: 1,
		serverId: 'server-0',
		startedAtMs,
		endedAtMs: undefined,
		outcome: undefined,
		daemonId,
		token: getFencingToken({term, daemonNumber: test.getDaemonNumber(daemonId), claim: 3}),
	};
	test.fleet.records.push(record);
	return test;
}

// Guards against a check that misses starts by a replaced placer, or takes those of a later term for them.
describe('findLateStarts', () => {
	for (const row of rows) {
		it(`${row.isLate ? 'finds a start' : 'finds nothing'}, if ${row.title}`, () => {
			const lateStarts = findLateStarts(createHistory(row));
			const expected = row.isLate ? [{successorId: 'keeper-b', concludedAtMs}] : [];
			assert.deepEqual(lateStarts.map(({run: _, ...lateStart}) => lateStart), expected);
		});
	}
});
