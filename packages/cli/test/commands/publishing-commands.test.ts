import assert from 'node:assert/strict';
import {describe, it, type TestContext} from 'node:test';
import {configurationObjectsSchema} from '@camphortack/configuration';
import {z} from 'zod';
import {startFakeDaemon, type FakeResponse, type FakeDaemon} from '../fixtures/fake-daemon.js';
import {runCommand, type CommandResult} from '../fixtures/run-command.js';
import {writeFolder} from '../fixtures/write-folder.js';

/** Port 1 is reserved for the TCP port service multiplexer, so nothing listens on it. */
const closedUrl = 'http://127.0.0.1:1';
const publishRoute = 'POST /v1/configuration';
const baseObjects = configurationObjectsSchema.parse({pools: {oak: {}}, services: {quote: {pool: 'oak'}}});
const current: FakeResponse = {status: 200, body: {version: 41, objects: baseObjects}};
const otherObjects = configurationObjectsSchema.parse({pools: {oak: {}}, services: {quote: {pool: 'oak', declaredRunTimeMs: 70}}});
const conflict: FakeResponse = {status: 409, body: {conflict: {version: 42, author: 'berta', objects: otherObjects}}};
const accepted: FakeResponse = {status: 200, body: {version: 42}};
const unknown: FakeResponse = {status: 503, body: {code: 'unknown', message: 'the leader changed'}};
const noMajority: FakeResponse = {status: 503, body: {code: 'no-majority', message: 'no majority of keepers answers'}};

async function publish(context: TestContext, responses: FakeResponse[], extraArgs: string[] = []): Promise<CommandResult & {daemon: FakeDaemon; publishIds: string[]}> {
	const daemon = await startFakeDaemon(context, {'GET /v1/configuration': [current], 'GET /v1/configuration/versions/41': [current], [publishRoute]: responses});
	const folder = await writeFolder(context, ['a.ini', '[pool oak]\n[service quote]\npool = oak\ndeclaredRunTimeMs = 90\n']);
	const env = Object.fromEntries([['CAMPHORTACK_TOKEN', 'secret'], ['CAMPHORTACK_OPERATORS_URL', daemon.url], ['USER', 'anna']]);
	const result = await runCommand(['publish', folder, ...extraArgs], {env});
	const publishes = daemon.received.filter(({route}) => route === publishRoute);
	const publishIds = publishes.map(({body}) => z.object({publishId: z.string()}).parse(body).publishId);
	return {...result, daemon, publishIds};
}

describe('publish', () => {
	const rows: Array<{name: string; responses: FakeResponse[]; exitCode: number; attempts: number; expected: RegExp}> = [
		{
			name: 'an accepted change', responses: [accepted], exitCode: 0, attempts: 1, expected: /published version 42/v,
		},
		{
			name: 'a lost response, resent', responses: ['lost', accepted], exitCode: 0, attempts: 2, expected: /published version 42/v,
		},
		{
			name: 'an unknown outcome, resent', responses: [unknown, accepted], exitCode: 0, attempts: 2, expected: /published version 42/v,
		},
		{
			name: 'repeatedly lost responses', responses: ['lost'], exitCode: 6, attempts: 4, expected: /--publish-id [\da-f]{32} --base 41/v,
		},
		{
			name: 'no majority', responses: [noMajority], exitCode: 4, attempts: 1, expected: /no-majority.*no majority of keepers answers/v,
		},
		{
			name: 'no majority after a lost response', responses: ['lost', noMajority], exitCode: 6, attempts: 2, expected: /unknown whether/v,
		},
		{
			name: 'a conflict', responses: [conflict], exitCode: 5, attempts: 1, expected: /berta published version 42 first.*\n~ service\/quote\n {4}declaredRunTimeMs: 500 -> 70/v,
		},
		{
			name: 'findings of the daemon',
			responses: [{status: 400, body: {findings: [{code: 'x', message: 'names nothing', place: {object: 'pool/oak'}}]}}],
			exitCode: 1,
			attempts: 1,
			expected: /nothing was published:\n {2}pool\/oak: names nothing/v,
		},
		{
			name: 'an unknown token', responses: [{status: 401, body: {}}], exitCode: 4, attempts: 1, expected: /set CAMPHORTACK_TOKEN/v,
		},
		{
			name: 'an unexpected response', responses: [{status: 200, body: {hello: 1}}], exitCode: 6, attempts: 1, expected: /returned an unexpected response/v,
		},
	];
	for (const row of rows) {
		it(`${row.name}: ${row.attempts} attempts, exit code ${row.exitCode}`, async context => {
			const {exitCode, stdout, stderr, daemon, publishIds} = await publish(context, row.responses);
			assert.equal(exitCode, row.exitCode, stderr);
			assert.match(stdout + stderr, row.expected);
			assert.equal(publishIds.length, row.attempts);
			assert.equal(new Set(publishIds).size, 1);
			assert.ok(daemon.received.every(({authorization}) => authorization === 'Bearer secret'));
		});
	}

	it('sends the base version, the author and all objects', async context => {
		const {daemon, stderr} = await publish(context, [accepted], ['--base', '41', '--publish-id', 'again']);
		assert.match(stderr, /on top of version 41:\n~ service\/quote\n {4}declaredRunTimeMs: 500 -> 90\n/v);
		assert.deepEqual(daemon.received.at(-1)?.body, {
			baseVersion: 41,
			publishId: 'again',
			author: 'anna',
			objects: configurationObjectsSchema.parse({pools: {oak: {}}, services: {quote: {pool: 'oak', declaredRunTimeMs: 90}}}),
		});
	});

	it('supports version 0 as the base of the first publish', async context => {
		const {daemon, stderr} = await publish(context, [accepted], ['--base', '0']);
		assert.match(stderr, /on top of version 0:\n\+ pool\/oak/v);
		assert.deepEqual(daemon.received.map(({route}) => route), [publishRoute]);
	});

	it('sends nothing if the objects have errors', async context => {
		const daemon = await startFakeDaemon(context, {});
		const folder = await writeFolder(context, ['a.ini', '[pool oak]\nsize = 3\n']);
		const {exitCode, stderr} = await runCommand(['publish', folder, '--operators-url', daemon.url]);
		assert.equal(exitCode, 1);
		assert.match(stderr, /pool\/oak size: is not a known key/v);
		assert.deepEqual(daemon.received, []);
	});

	it('reports an unreachable daemon with exit code 3', async context => {
		const folder = await writeFolder(context, ['a.ini', '[pool oak]\n']);
		const {exitCode, stdout} = await runCommand(['publish', folder, '--operators-url', closedUrl, '--json']);
		assert.equal(exitCode, 3);
		assert.match(stdout, /"code": "unreachable"/v);
	});
});

describe('rollback, show and history', () => {
	const history = {entries: [{version: 41, publishId: 'p41', author: 'anna'}]};
	const responses: Record<string, FakeResponse[]> = {
		'GET /v1/configuration': [current],
		'GET /v1/configuration/versions/40': [{status: 200, body: {version: 40, objects: otherObjects}}],
		'GET /v1/configuration/history': [{status: 200, body: history}],
		[publishRoute]: [accepted],
	};
	const rows: Array<{args: string[]; exitCode: number; expected: string | RegExp}> = [
		{args: ['rollback', '40'], exitCode: 0, expected: 'published version 42\n'},
		{args: ['rollback', '39'], exitCode: 1, expected: ''},
		{args: ['show'], exitCode: 0, expected: /^; version 41\n\n\[pool oak\]\n(?:.*\n)+\[service quote\]\npool = oak\n/v},
		{args: ['show', '--version', '40'], exitCode: 0, expected: /declaredRunTimeMs = 70/v},
		{args: ['history'], exitCode: 0, expected: 'version  author  publish id\n41       anna    p41\n'},
	];
	for (const {args, exitCode, expected} of rows) {
		it(args.join(' '), async context => {
			const daemon = await startFakeDaemon(context, responses);
			const result = await runCommand([...args, '--operators-url', daemon.url]);
			assert.equal(result.exitCode, exitCode, result.stderr);
			if (typeof expected === 'string') {
				assert.equal(result.stdout, expected);
			} else {
				assert.match(result.stdout, expected);
			}
		});
	}
});

