import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import type {CrashRecord} from '../../src/crashes/crash-record.js';
import {createCrashRegister} from '../../src/crashes/crash-register.js';
import type {TaskVerdict} from '../../src/crashes/get-task-verdict.js';

function createRecord(rest: Partial<CrashRecord> = {}): CrashRecord {
	return {
		taskName: 'job.0.0.0', queueName: 'estimates', serverId: 'server-1', bornMs: 1, runNumber: 1, isSuspect: true, evidence: 'strong', state: 'confirmed', ageMs: 0, ...rest,
	};
}

const second = {serverId: 'server-2', runNumber: 2};

describe('createCrashRegister', () => {
	const rows: Array<{title: string; records: CrashRecord[]; expected: TaskVerdict}> = [
		{title: 'one crash', records: [createRecord()], expected: 'startable'},
		{title: 'two crashes', records: [createRecord(), createRecord(second)], expected: 'given-up'},
		{title: 'two runs on one incarnation', records: [createRecord({state: 'refuted'}), createRecord({runNumber: 2}), createRecord({...second, runNumber: 3})], expected: 'given-up'},
		{title: 'the same run, reported by several daemons', records: [createRecord(), createRecord(), createRecord({evidence: 'weak'})], expected: 'startable'},
		{title: 'runs of two tasks', records: [createRecord(), createRecord({...second, taskName: 'job.0.0.1'})], expected: 'startable'},
		{title: 'two crashes of which one is not confirmed', records: [createRecord(), createRecord({...second, state: 'suspected'})], expected: 'held'},
		{
			title: 'a crash that is confirmed later',
			records: [createRecord(), createRecord({...second, state: 'suspected'}), createRecord(second)],
			expected: 'given-up',
		},
		{
			title: 'a crash that is refuted later',
			records: [createRecord(), createRecord({...second, state: 'suspected'}), createRecord({...second, state: 'refuted'})],
			expected: 'startable',
		},
		{
			title: 'a refutation that arrives before the suspicion',
			records: [createRecord(), createRecord({...second, state: 'refuted'}), createRecord({...second, state: 'suspected'})],
			expected: 'startable',
		},
		{
			title: 'three suspects of a daemon of an earlier version',
			records: Array.from({length: 3}, (_, position) => createRecord({
				serverId: `server-${position}`, runNumber: undefined, evidence: undefined, state: undefined,
			})),
			expected: 'startable',
		},
		{
			title: 'four suspects of a daemon of an earlier version',
			records: Array.from({length: 4}, (_, position) => createRecord({
				serverId: `server-${position}`, runNumber: undefined, evidence: undefined, state: undefined,
			})),
			expected: 'held',
		},
	];
	for (const {title, records, expected} of rows) {
		it(`${title} → ${expected}`, () => {
			const register = createCrashRegister(new VirtualTimers());
			for (const record of records) {
				register.addRecord(record);
			}

			assert.equal(register.getVerdict('job.0.0.0'), expected);
			assert.deepEqual(register.getGivenUpTasks(), expected === 'given-up' ? ['job.0.0.0'] : []);
		});
	}

	const resolutions: Array<{title: string; hasCrashed: boolean; bornMs: number; changed: string[]; suspects: string[]}> = [
		{
			title: 'the incarnation has crashed', hasCrashed: true, bornMs: 1, changed: ['confirmed'], suspects: ['job.0.0.0'],
		},
		{
			title: 'the incarnation responds again', hasCrashed: false, bornMs: 1, changed: ['refuted'], suspects: [],
		},
		{
			title: 'another incarnation', hasCrashed: false, bornMs: 2, changed: [], suspects: ['job.0.0.0'],
		},
	];
	for (const {title, hasCrashed, bornMs, changed, suspects} of resolutions) {
		it(`resolves suspected crashes: ${title} → ${suspects.length} suspects`, () => {
			const register = createCrashRegister(new VirtualTimers());
			register.addRecord(createRecord({state: 'suspected'}));
			assert.deepEqual(register.resolveCrash({serverId: 'server-1', bornMs, hasCrashed}).map(({state}) => state), changed);
			assert.deepEqual(register.getSuspects('estimates').map(({taskName}) => taskName), suspects);
			assert.deepEqual(register.getSuspectQueues(), suspects.length > 0 ? ['estimates'] : []);
			assert.deepEqual(register.resolveCrash({serverId: 'server-1', bornMs, hasCrashed: !hasCrashed}), [], 'what is known stays so');
		});
	}

	it('tells whether a record says anything new', () => {
		const register = createCrashRegister(new VirtualTimers());
		const added = [
			createRecord({state: 'suspected'}), createRecord({state: 'suspected'}), createRecord(), createRecord(), createRecord({state: 'refuted'}), createRecord({...second, ageMs: 120_000}),
		].map(record => register.addRecord(record));
		assert.deepEqual(added, [true, false, true, false, false, false]);
	});

	it('keeps the age of records that it exchanges, and forgets them after their retention', () => {
		const timers = new VirtualTimers();
		const first = createCrashRegister(timers);
		first.addRecord(createRecord());
		first.addRecord(createRecord(second));
		timers.advance(100_000);
		const other = createCrashRegister(timers);
		for (const record of first.getRecords()) {
			other.addRecord(record);
		}

		assert.deepEqual(other.getGivenUpTasks(), ['job.0.0.0']);
		assert.deepEqual(other.getSuspectQueues(), []);
		timers.advance(30_001);
		other.addRecord(createRecord({taskName: 'other.0.0.0'}));
		assert.deepEqual(other.getGivenUpTasks(), []);
		assert.deepEqual(other.getRecords().map(({taskName}) => taskName), ['other.0.0.0']);
	});
});
