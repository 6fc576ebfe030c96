import assert from 'node:assert/strict';
import {describe, it, type TestContext} from 'node:test';
import {z} from 'zod';
import {startFakeDaemon, type FakeResponse, type FakeDaemon} from '../fixtures/fake-daemon.js';
import {runCommand, type CommandResult} from '../fixtures/run-command.js';

const request = {customer: 'chain', service: 'quote', payload: {coats: 2}};
const complete: FakeResponse = {status: 200, body: {outcome: 'complete', id: 't1', results: [{euro: 90}]}};
const open: FakeResponse = {status: 202, body: {id: 't1', state: 'running'}};
const failedOutcome = {
	outcome: 'failed',
	id: 't1',
	reason: 'task-lost',
	tasks: [{index: 0, state: 'done'}, {index: 1, state: 'may-have-run', error: 'connection reset'}],
};
const failed: FakeResponse = {status: 200, body: failedOutcome};
const createRefusal = (code: string, notRun: string): FakeResponse => ({
	status: 503,
	body: {
		outcome: 'refused',
		id: 't1',
		code,
		notRun,
		message: 'full',
		retryAfterMs: 1000,
	},
});

const unknownJobText = 't1 was refused (unknown-job): full (this copy was not started; it is unknown whether an earlier copy ran; try again in 1000 ms)\n';

async function submit(context: TestContext, responses: Record<string, FakeResponse[]>, input: unknown = request): Promise<CommandResult & {daemon: FakeDaemon; sentIds: string[]}> {
	const daemon = await startFakeDaemon(context, {'POST /v1/tickets': [{status: 200, body: {tickets: ['t1']}}], ...responses});
	const result = await runCommand(['submit', '-', '--callers-url', daemon.url], {stdin: JSON.stringify(input)});
	const submissions = daemon.received.filter(({route}) => route === 'POST /v1/requests' || route === 'POST /v1/jobs');
	return {...result, daemon, sentIds: submissions.map(({body}) => z.object({id: z.string()}).parse(body).id)};
}

describe('submit', () => {
	const rows: Array<{name: string; responses: FakeResponse[]; poll?: FakeResponse[]; exitCode: number; attempts: number; expected: RegExp}> = [
		{
			name: 'a complete job', responses: [complete], exitCode: 0, attempts: 1, expected: /^t1 is complete: 1 tasks\n {2}task 0: \{"euro":90\}\n$/v,
		},
		{
			name: 'a job that is still open', responses: [open], poll: [open, complete], exitCode: 0, attempts: 1, expected: /is complete/v,
		},
		{
			name: 'an open job whose outcome cannot be queried', responses: [open], poll: [{status: 404, body: {}}], exitCode: 6, attempts: 1, expected: /unknown whether t1 ran/v,
		},
		{
			name: 'an open job that is unknown when queried', responses: [open], poll: [createRefusal('unknown-job', 'this-copy')], exitCode: 6, attempts: 1, expected: /unknown whether t1 ran/v,
		},
		{
			name: 'a failed job', responses: [failed], exitCode: 1, attempts: 1, expected: /failed \(task-lost\): 1 done, 1 may-have-run\n.*\n {2}task 1: may-have-run, connection reset/v,
		},
		{
			name: 'a refusal',
			responses: [createRefusal('queue-full', 'job')],
			exitCode: 4,
			attempts: 1,
			expected: /refused \(queue-full\): full \(no copy of the job was started; try again in 1000 ms\)/v,
		},
		{
			name: 'an id used for another job', responses: [createRefusal('content-conflict', 'this-copy')], exitCode: 5, attempts: 1, expected: /content-conflict/v,
		},
		{
			name: 'a lost response, resent', responses: ['lost', complete], exitCode: 0, attempts: 2, expected: /is complete/v,
		},
		{
			name: 'a resend refused for this copy only', responses: ['lost', createRefusal('ticket-owner-gone', 'this-copy')], exitCode: 6, attempts: 2, expected: /unknown whether t1 ran/v,
		},
		{
			name: 'a resend refused for every copy', responses: ['lost', createRefusal('draining', 'job')], exitCode: 4, attempts: 2, expected: /no copy of the job was started/v,
		},
		{
			name: 'repeatedly lost responses', responses: ['lost'], exitCode: 6, attempts: 5, expected: /unknown whether t1 ran/v,
		},
	];
	for (const row of rows) {
		it(`${row.name}: ${row.attempts} attempts, exit code ${row.exitCode}`, async context => {
			const responses = {'POST /v1/requests': row.responses, 'GET /v1/jobs/t1?waitMs=5000': row.poll ?? []};
			const {exitCode, stdout, stderr, daemon, sentIds} = await submit(context, responses);
			assert.equal(exitCode, row.exitCode, stderr);
			assert.match(row.exitCode === 6 ? stderr : stdout, row.expected);
			assert.deepEqual(sentIds, Array.from({length: row.attempts}, () => 't1'));
			assert.equal(daemon.received[0]?.route, 'POST /v1/tickets');
		});
	}

	it('sends a job that has an id without obtaining a ticket', async context => {
		const {payload, ...rest} = request;
		const job = {...rest, id: 'own', tasks: [{payload}]};
		const {exitCode, daemon} = await submit(context, {'POST /v1/jobs': [complete]}, job);
		assert.equal(exitCode, 0);
		assert.deepEqual(daemon.received.map(({route}) => route), ['POST /v1/jobs']);
	});

	it('does not send an invalid submission', async context => {
		const {exitCode, stderr, daemon} = await submit(context, {}, {...request, deadlineMs: -1, customer: 'a b'});
		assert.equal(exitCode, 1);
		assert.match(stderr, /nothing was sent:\n {2}-: customer: .*\n {2}-: deadlineMs: /v);
		assert.deepEqual(daemon.received, []);
	});
});

describe('job and cancel', () => {
	const rows: Array<{args: string[]; responses: Record<string, FakeResponse[]>; exitCode: number; expected: string}> = [
		{
			args: ['job', 't1'], responses: {'GET /v1/jobs/t1?waitMs=0': [open]}, exitCode: 0, expected: 't1 is still open\n',
		},
		{
			args: ['job', 't1', '--wait-ms', '50', '--json'], responses: {'GET /v1/jobs/t1?waitMs=50': [failed]}, exitCode: 1, expected: `${JSON.stringify(failedOutcome, undefined, 2)}\n`,
		},
		{
			args: ['job', 't1'], responses: {'GET /v1/jobs/t1?waitMs=0': [createRefusal('unknown-job', 'this-copy')]}, exitCode: 1, expected: unknownJobText,
		},
		{
			args: ['cancel', 't1'], responses: {'DELETE /v1/jobs/t1': [{status: 200, body: {}}]}, exitCode: 0, expected: 't1 is cancelled; `camphortack job t1` shows which tasks may have run\n',
		},
		{
			args: ['cancel', 't2'], responses: {}, exitCode: 1, expected: '',
		},
	];
	for (const {args, responses, exitCode, expected} of rows) {
		it(`${args.join(' ')} ends with exit code ${exitCode}`, async context => {
			const daemon = await startFakeDaemon(context, responses);
			const result = await runCommand([...args, '--callers-url', daemon.url]);
			assert.equal(result.exitCode, exitCode, result.stderr);
			assert.equal(result.stdout, expected);
			assert.equal(daemon.received.length, 1);
		});
	}
});
