import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import type {CrashRecord} from '../../src/crashes/crash-record.js';
import {createCrashRegister, type CrashRegister} from '../../src/crashes/crash-register.js';
import type {TaskVerdict} from '../../src/crashes/get-task-verdict.js';

const taskName = 'job.0.0.0';
const queueName = 'estimates';

function createRecord(rest: Partial<CrashRecord> = {}): CrashRecord {
	return {
		taskName, queueName, serverId: 'server-1', bornMs: 1, runNumber: 1, isSuspect: true, evidence: 'strong', state: 'confirmed', ageMs: 0, ...rest,
	};
}

/** Gets a record as a daemon of an earlier version passes it on: it drops the fields that it does not know. */
function getEarlierRecord({runNumber, evidence, state, ...rest}: CrashRecord): CrashRecord {
	return rest;
}

function createFilledRegister(records: readonly CrashRecord[]): CrashRegister {
	const register = createCrashRegister(new VirtualTimers());
	for (const record of records) {
		register.addRecord(record);
	}

	return register;
}

/** The backend server is back as another incarnation, which confirms every crash of the one before that is not refuted. */
function confirmCrashes(register: CrashRegister): void {
	for (const serverId of ['server-1', 'server-2']) {
		register.resolveCrash({serverId, bornMs: 1, hasCrashed: true});
	}
}

const secondCrash = createRecord({serverId: 'server-2', runNumber: 2});

describe('createCrashRegister, with records that a daemon of an earlier version has passed on', () => {
	const rows: Array<{title: string; records: CrashRecord[]; expected: TaskVerdict; suspectCount: number}> = [
		{
			title: 'one crash', records: [createRecord()], expected: 'startable', suspectCount: 1,
		},
		{
			title: 'one crash that is not confirmed', records: [createRecord({state: 'suspected'})], expected: 'startable', suspectCount: 1,
		},
		{
			title: 'a crash that is refuted', records: [createRecord({state: 'refuted'})], expected: 'startable', suspectCount: 0,
		},
		{
			title: 'a crash and one that is refuted', records: [createRecord({state: 'refuted'}), secondCrash], expected: 'startable', suspectCount: 1,
		},
		{
			title: 'two crashes', records: [createRecord(), secondCrash], expected: 'given-up', suspectCount: 2,
		},
	];
	for (const {title, records, expected, suspectCount} of rows) {
		const earlierRecords = records.map(record => getEarlierRecord(record));
		const orders = {after: [...records, ...earlierRecords], before: [...earlierRecords, ...records]};
		for (const [order, received] of Object.entries(orders)) {
			// Guards against a job that is shown as failed after one crash, which counts twice, or after one that was refuted.
			it(`${title}, which arrives ${order} the complete record → ${expected}`, () => {
				const register = createFilledRegister(received);
				confirmCrashes(register);
				assert.equal(register.getVerdict(taskName), expected);
				assert.equal(register.getSuspects(queueName).length, suspectCount);
				assert.deepEqual(register.getRecordsOfTask(taskName).map(({evidence}) => evidence), records.map(() => 'strong'));
			});
		}
	}

	it('keeps the records of two runs on one incarnation apart', () => {
		const records = [createRecord({state: 'refuted'}), createRecord({runNumber: 2})];
		const register = createFilledRegister([...records, ...records.map(record => getEarlierRecord(record))]);
		assert.deepEqual(register.getRecordsOfTask(taskName).map(({runNumber, state}) => ({runNumber, state})), [
			{runNumber: 1, state: 'refuted'}, {runNumber: 2, state: 'confirmed'},
		]);
	});

	it('counts what only a daemon of an earlier version has noticed', () => {
		const register = createFilledRegister([getEarlierRecord(createRecord()), getEarlierRecord(secondCrash)]);
		assert.deepEqual(register.getRecordsOfTask(taskName).map(({evidence, state}) => ({evidence, state})), [
			{evidence: 'medium', state: 'suspected'}, {evidence: 'medium', state: 'suspected'},
		]);
	});
});
