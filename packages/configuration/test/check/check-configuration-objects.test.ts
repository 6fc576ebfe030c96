import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {formatFinding} from '@camphortack/core';
import {checkConfigurationFiles, checkConfigurationInput} from '../../src/index.js';

const hash = 'ab'.repeat(32);
const token = `\ntokenHashes = ${hash}`;
const validSet = `
[availability-zone north]
[availability-zone south]
[limit rate]
tasksPerSecond = 1000
[pool walnut]
availabilityZones = north, south
largestBackendServer.processors = 8
limits = rate
[pool oak]
limits = rate
[service quote]
pool = walnut
[route oak-for-chain]
service = quote
customers = chain
pool = oak
[customer chain]
services = quote
limits = rate
tokenHashes = ${'cd'.repeat(32)}
`;
const firstAddedLine = validSet.split('\n').length;

describe('checkConfigurationFiles', () => {
	it('reports no findings for a valid configuration', () => {
		assert.deepEqual(checkConfigurationFiles([{path: 'a.ini', text: validSet}]).findings, []);
	});

	const rows: Array<{name: string; added: string; expected: string[]}> = [
		{
			name: 'dangling references, with the closest name',
			added: '[service s]\npool = walnit\nlimits = rate, speed',
			expected: [
				'+1 error dangling-name service/s pool: refers to pool "walnit", which does not exist (did you mean "walnut"?)',
				'+2 error dangling-name service/s limits: refers to limit "speed", which does not exist',
			],
		},
		{
			name: 'no dangling reference to an object whose section is invalid',
			added: `[service s]\n[customer d]\nservices = s\nlimits = rate${token}`,
			expected: ['+0 error missing-key service/s pool: is missing: must be a name'],
		},
		{
			name: 'a dangling reference with the name of an inherited property',
			added: '[service s]\npool = constructor',
			expected: ['+1 error dangling-name service/s pool: refers to pool "constructor", which does not exist'],
		},
		{
			name: 'a duplicate reference',
			added: `[customer d]\nlimits = rate, rate${token}`,
			expected: ['+1 error name-twice customer/d limits: lists "rate" twice'],
		},
		{
			name: 'unused objects',
			added: '[limit idle]\ntasksPerSecond = 900\n[pool idle]',
			expected: ['+0 warning unused-limit limit/idle: no object refers to this limit', '+2 warning unused-pool pool/idle: no object refers to this pool'],
		},
		{
			name: 'a route to the service\'s own pool',
			added: `[route r]\nservice = quote\ncustomers = d\npool = walnut\n[customer d]\nlimits = rate${token}`,
			expected: ['+3 error route-without-effect route/r pool: service "quote" already uses pool "walnut"'],
		},
		{
			name: 'conflicting routes',
			added: '[route r]\nservice = quote\ncustomers = chain\npool = oak',
			expected: ['+2 error route-conflict route/r customers: route/oak-for-chain already routes service "quote" for customer "chain"'],
		},
		{
			name: 'a route for a customer that may not call the service',
			added: '[service s]\npool = oak\n[route r]\nservice = s\ncustomers = chain\npool = walnut',
			expected: ['+4 error route-not-allowed route/r customers: customer "chain" may not call service "s"'],
		},
		{
			name: 'a service that does not fit on any backend server',
			added: '[service s]\npool = walnut\ndeclaredNeeds.processors = 9',
			expected: ['+2 error never-fits service/s declaredNeeds.processors: requests 9, but the largest backend server of pool "walnut" offers 8'],
		},
		{
			name: 'a service that does not fit on any backend server of a routed pool',
			added: `[service s]\npool = oak\ndeclaredNeeds.processors = 9\n[route r]\nservice = s\ncustomers = d\npool = walnut\n[customer d]\nlimits = rate${token}`,
			expected: ['+2 error never-fits service/s declaredNeeds.processors: requests 9, but the largest backend server of pool "walnut" offers 8'],
		},
		{
			name: 'a limit without any bound',
			added: `[limit l]\n[customer d]\nlimits = l${token}`,
			expected: ['+0 error empty-limit limit/l: sets none of tasksPerSecond, tasksInFlight and workerSecondsPerHour'],
		},
		{
			name: 'a rate whose burst share is below one task',
			added: `[limit l]\ntasksPerSecond = 0.5\n[customer d]\nlimits = l${token}`,
			expected: ['+1 error share-too-small limit/l tasksPerSecond: gives availability zone "north" a share of 0.5 tasks at once, so the zone can never start a task; raise it or burstSeconds'],
		},
		{
			name: 'an in-flight share below one task',
			added: `[limit l]\ntasksInFlight = 2\n[customer d]\nlimits = l${token}\n[availability-zone east]`,
			expected: ['+1 error share-too-small limit/l tasksInFlight: gives availability zone "north" a share of 0.67 tasks at once, so the zone can never start a task'],
		},
		{
			name: 'a limit that always refuses large jobs',
			added: `[limit l]\ntasksInFlight = 100\n[customer d]\nlimits = l${token}`,
			expected: ['+1 warning limit-below-largest-job limit/l tasksInFlight: a job of more than 50 tasks is always refused in availability zone "north"'],
		},
		{
			name: 'a limit that never takes effect because of another limit of the same object',
			added: `[limit l]\ntasksPerSecond = 2000\n[customer d]\nlimits = rate, l${token}`,
			expected: ['+3 error limit-contradiction customer/d limits: limit "l" never takes effect: limit "rate" sets a smaller tasksPerSecond for the same customer/d'],
		},
		{
			name: 'no contradiction for a higher rate with a smaller burst',
			added: `[limit l]\ntasksPerSecond = 4000\nburstSeconds = 0.1\n[customer d]\nlimits = rate, l${token}`,
			expected: [],
		},
		{
			name: 'no contradiction for a larger limit shared by two customers',
			added: `[limit l]\ntasksPerSecond = 2000\n[customer d]\nlimits = rate, l${token}\n[customer e]\nlimits = l\ntokenHashes = ${'ef'.repeat(32)}`,
			expected: [],
		},
		{
			name: 'a service limit above the limit of its pool',
			added: '[limit l]\ntasksPerSecond = 2000\n[service s]\npool = walnut\nlimits = l',
			expected: ['+4 error limit-contradiction service/s limits: allow 2000 tasksPerSecond, but the limits of its pools (walnut) allow only 1000'],
		},
		{
			name: 'a rate above the hourly limit on slot time',
			added: '[limit l]\ntasksPerSecond = 1000\nworkerSecondsPerHour = 3600\n[service s]\npool = walnut\nlimits = l',
			expected: ['+5 warning rate-above-cost service/s limits: allow 1000 tasksPerSecond, which at 500 ms a task is 1800000 workerSecondsPerHour, but only 3600 are declared'],
		},
		{
			name: 'a customer without any limit',
			added: `[pool free]\n[service s]\npool = free\n[customer d]${token}`,
			expected: ['+3 warning unlimited-customer customer/d limits: no limit applies to its use of service "s"'],
		},
		{
			name: 'a customer without a token',
			added: '[customer d]\nlimits = rate',
			expected: ['+0 warning no-token customer/d tokenHashes: any client that can reach the callers\' port can act as this customer'],
		},
		{
			name: 'a token shared by two customers',
			added: `[customer d]${token}\n[customer e]${token}`,
			expected: ['+3 error duplicate-token customer/e tokenHashes: shares a token with customer/d'],
		},
	];
	for (const {name, added, expected} of rows) {
		it(`reports ${name}`, () => {
			const {findings} = checkConfigurationFiles([{path: 'a.ini', text: validSet + added}]);
			assert.deepEqual(findings.map(({level, code, ...finding}) => {
				const {line = 0, file: _, ...place} = finding.place;
				return `+${line - firstAddedLine} ${level} ${code} ${formatFinding({...finding, code, place})}`;
			}), expected);
		});
	}

	it('reports zone weights that are all 0, in the file that sets them', () => {
		const text = '[availability-zone north]\nlimitWeight = 0';
		const {findings} = checkConfigurationFiles([{path: 'b.ini', text}, {path: 'a.ini', text: '[pool p]\nlimits = none'}]);
		assert.deepEqual(findings.map(({code, place}) => [code, place.file, place.line]), [
			['unused-pool', 'a.ini', 1], ['dangling-name', 'a.ini', 2], ['no-share', 'b.ini', 2],
		]);
	});
});

describe('checkConfigurationInput', () => {
	it('returns the objects with their defaults only if there are no errors', () => {
		assert.equal(checkConfigurationInput({pools: {p: {}}, services: {s: {pool: 'p'}}}).objects?.services.s?.declaredRunTimeMs, 500);
		assert.equal(checkConfigurationInput({services: {s: {pool: 'p'}}}).objects, undefined);
		const {objects, findings} = checkConfigurationInput({pools: {p: {limits: 3}}});
		assert.equal(objects, undefined);
		assert.deepEqual(findings.map(({code, level, place}) => [code, level, place.key]), [['bad-value', 'error', 'pools.p.limits']]);
	});
});
