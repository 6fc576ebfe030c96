import assert from 'node:assert/strict';
import {createHash} from 'node:crypto';
import {describe, it} from 'node:test';
import {z} from 'zod';
import {runCommand} from '../fixtures/run-command.js';
import {writeFolder} from '../fixtures/write-folder.js';

const validObjects = '[pool walnut]\n[service quote]\npool = walnut\n';

describe('check', () => {
	it('accepts valid objects with exit code 0', async context => {
		const folder = await writeFolder(context, ['a.ini', validObjects], ['note.txt', 'not read']);
		assert.deepEqual(await runCommand(['check', folder]), {exitCode: 0, stdout: '0 errors, 0 warnings: ready to publish\n', stderr: ''});
	});

	it('prints all findings of all files with exit code 1', async context => {
		const folder = await writeFolder(context, ['a.ini', '[service quote]\npool = walnt\n'], ['b.ini', '[pool walnut]\nsise = 3\n']);
		const {exitCode, stdout} = await runCommand(['check', folder]);
		assert.equal(exitCode, 1);
		assert.equal(stdout.replaceAll(`${folder}/`, ''), [
			'error: a.ini:2: service/quote pool: refers to pool "walnt", which does not exist (did you mean "walnut"?)',
			'warning: b.ini:1: pool/walnut: no object refers to this pool',
			'error: b.ini:2: pool/walnut sise: is not a known key',
			'2 errors, 1 warnings: not ready to publish',
			'',
		].join('\n'));
	});

	it('prints findings as JSON', async context => {
		const folder = await writeFolder(context, ['a.ini', '[pool walnut]']);
		const {exitCode, stdout} = await runCommand(['check', folder, '--json']);
		assert.equal(exitCode, 0);
		assert.deepEqual(z.object({findings: z.array(z.object({code: z.string(), level: z.string()}))}).parse(JSON.parse(stdout)), {
			findings: [{code: 'unused-pool', level: 'warning'}],
		});
	});

	it('reports an unreadable path', async context => {
		const folder = await writeFolder(context, ['a.txt', '']);
		const {stderr} = await runCommand(['check', folder]);
		assert.equal(stderr, `camphortack: "${folder}" cannot be read: the folder contains no .ini files\n`);
		const {exitCode} = await runCommand(['check', `${folder}/missing`]);
		assert.equal(exitCode, 1);
	});
});

describe('diff', () => {
	it('compares two folders without a daemon', async context => {
		const before = await writeFolder(context, ['a.ini', validObjects]);
		const after = await writeFolder(context, ['a.ini', `${validObjects}declaredRunTimeMs = 90\n`]);
		assert.deepEqual(await runCommand(['diff', after, '--before', before]), {
			exitCode: 0,
			stdout: '~ service/quote\n    declaredRunTimeMs: 500 -> 90\n',
			stderr: '',
		});
		const {stdout} = await runCommand(['diff', after, '--before', after]);
		assert.equal(stdout, 'no differences\n');
	});
});

describe('token', () => {
	it('prints a token and its hash', async () => {
		const {stdout} = await runCommand(['token', '--json']);
		const {token, tokenHash} = z.object({token: z.string().length(64), tokenHash: z.string()}).parse(JSON.parse(stdout));
		assert.equal(tokenHash, createHash('sha256').update(token).digest('hex'));
	});
});

describe('the command line', () => {
	const rows: Array<{args: string[]; exitCode: number; expected: RegExp}> = [
		{args: ['version'], exitCode: 0, expected: /^\d+\.\d+\.\d+\n$/v},
		{args: ['--help'], exitCode: 0, expected: /Configuration/v},
		{args: ['publish', '--help'], exitCode: 0, expected: /exit code is 5/v},
		{args: ['publsh'], exitCode: 2, expected: /Unknown Syntax Error/v},
		{args: ['check'], exitCode: 2, expected: /Not enough positional arguments/v},
		{args: ['check', 'a', '--fast'], exitCode: 2, expected: /Unsupported option name/v},
		{args: ['status'], exitCode: 2, expected: /use --operators-url or set CAMPHORTACK_OPERATORS_URL/v},
		{args: ['job', 'a'], exitCode: 2, expected: /use --callers-url or set CAMPHORTACK_CALLERS_URL/v},
		{args: ['rollback', 'x', '--operators-url', 'http://127.0.0.1:9'], exitCode: 2, expected: /"x" is not a version/v},
	];
	for (const {args, exitCode, expected} of rows) {
		it(`${args.join(' ')} ends with exit code ${exitCode}`, async () => {
			const result = await runCommand(args);
			assert.equal(result.exitCode, exitCode);
			assert.match(result.stdout + result.stderr, expected);
		});
	}
});
