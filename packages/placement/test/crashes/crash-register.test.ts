import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import type {CrashRecord} from '../../src/crashes/crash-record.js';
import {createCrashRegister} from '../../src/crashes/crash-register.js';

function createRecord(rest: Partial<CrashRecord> = {}): CrashRecord {
	return {
		taskName: 'job.0.0.0', queueName: 'estimates', serverId: 'server-1', bornMs: 1, isSuspect: false, ageMs: 0, ...rest,
	};
}

describe('createCrashRegister', () => {
	const rows: Array<{title: string; records: CrashRecord[]; expected: boolean}> = [
		{title: 'one suspect run', records: [createRecord({isSuspect: true})], expected: false},
		{title: 'two suspect runs', records: [createRecord({isSuspect: true}), createRecord({serverId: 'server-2', isSuspect: true})], expected: true},
		{title: 'two runs that others may have crashed', records: [createRecord(), createRecord({serverId: 'server-2'})], expected: false},
		{title: 'three runs that others may have crashed', records: [createRecord(), createRecord({serverId: 'server-2'}), createRecord({bornMs: 2})], expected: true},
		{title: 'the same run, reported by several daemons', records: [createRecord({isSuspect: true}), createRecord({isSuspect: true}), createRecord()], expected: false},
		{title: 'runs of two tasks', records: [createRecord({isSuspect: true}), createRecord({taskName: 'job.0.0.1', isSuspect: true})], expected: false},
	];
	for (const {title, records, expected} of rows) {
		it(`${title} → ${expected ? 'given up' : 'may start again'}`, () => {
			const register = createCrashRegister(new VirtualTimers());
			for (const record of records) {
				register.addRecord(record);
			}

			assert.equal(register.getGivenUpTasks().has('job.0.0.0'), expected);
		});
	}

	it('keeps the age of records that it exchanges, and forgets them after their retention', () => {
		const timers = new VirtualTimers();
		const first = createCrashRegister(timers);
		first.addRecord(createRecord({isSuspect: true}));
		first.addRecord(createRecord({serverId: 'server-2', isSuspect: true}));
		timers.advance(100_000);
		const second = createCrashRegister(timers);
		for (const record of first.getRecords()) {
			second.addRecord(record);
		}

		assert.ok(second.getGivenUpTasks().has('job.0.0.0'));
		assert.deepEqual(second.getSuspectQueues(), []);
		timers.advance(30_001);
		second.addRecord(createRecord({taskName: 'other.0.0.0'}));
		assert.deepEqual([...second.getGivenUpTasks()], []);
		assert.deepEqual(second.getRecords().map(({taskName}) => taskName), ['other.0.0.0']);
	});
});
