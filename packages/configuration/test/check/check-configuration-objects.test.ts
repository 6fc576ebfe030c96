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
	it('finds nothing in a sound set', () => {
		assert.deepEqual(checkConfigurationFiles([{path: 'a.ini', text: validSet}]).findings, []);
	});

	const rows: Array<{name: string; added: string; expected: string[]}> = [
		{
			name: 'dangling names, with the nearest name',
			added: '[service s]\npool = walnit\nlimits = rate, speed',
			expected: [
				'+1 error dangling-name service/s pool: names pool "walnit", which does not exist (did you mean "walnut"?)',
				'+2 error dangling-name service/s limits: names limit "speed", which does not exist',
			],
		},
		{
			name: 'no dangling name for an object that could not be read whole',
			added: `[service s]\n[customer d]\nservices = s\nlimits = rate${token}`,
			expected: ['+0 error missing-key service/s pool: is missing: must be a name'],
		},
		{
			name: 'a name such as an inherited property',
			added: '[service s]\npool = constructor',
			expected: ['+1 error dangling-name service/s pool: names pool "constructor", which does not exist'],
		},
		{
			name: 'a name given twice',
			added: `[customer d]\nlimits = rate, rate${token}`,
			expected: ['+1 error name-twice customer/d limits: names "rate" twice'],
		},
		{
			name: 'objects that nothing uses',
			added: '[limit idle]\ntasksPerSecond = 900\n[pool idle]',
			expected: ['+0 warning unused-limit limit/idle: no object names this limit', '+2 warning unused-pool pool/idle: no object names this pool'],
		},
		{
			name: 'a route to the pool that the service already has',
			added: `[route r]\nservice = quote\ncustomers = d\npool = walnut\n[customer d]\nlimits = rate${token}`,
			expected: ['+3 error route-without-effect route/r pool: service "quote" already uses pool "walnut"'],
		},
		{
			name: 'two routes for the same tasks',
			added: '[route r]\nservice = quote\ncustomers = chain\npool = oak',
			expected: ['+2 error route-conflict route/r customers: route/oak-for-chain already routes service "quote" for customer "chain"'],
		},
		{
			name: 'a route for a customer that may not call the service',
			added: '[service s]\npool = oak\n[route r]\nservice = s\ncustomers = chain\npool = walnut',
			expected: ['+4 error route-not-allowed route/r customers: customer "chain" may not call service "s"'],
		},
		{
			name: 'a service that fits no backend server',
			added: '[service s]\npool = walnut\ndeclaredNeeds.processors = 9',
			expected: ['+2 error never-fits service/s declaredNeeds.processors: asks for 9, but the largest backend server of pool "walnut" offers 8'],
		},
		{
			name: 'a service that fits no backend server of a routed pool',
			added: `[service s]\npool = oak\ndeclaredNeeds.processors = 9\n[route r]\nservice = s\ncustomers = d\npool = walnut\n[customer d]\nlimits = rate${token}`,
			expected: ['+2 error never-fits service/s declaredNeeds.processors: asks for 9, but the largest backend server of pool "walnut" offers 8'],
		},
		{
			name: 'a limit that bounds nothing',
			added: `[limit l]\n[customer d]\nlimits = l${token}`,
			expected: ['+0 error empty-limit limit/l: sets none of tasksPerSecond, tasksInFlight and workerSecondsPerHour'],
		},
		{
			name: 'a rate whose share is below one task',
			added: `[limit l]\ntasksPerSecond = 0.5\n[customer d]\nlimits = l${token}`,
			expected: ['+1 error share-too-small limit/l tasksPerSecond: leaves availability zone "north" a share of 0.5 tasks at once, so it may never start one; raise it or burstSeconds'],
		},
		{
			name: 'a share below one task',
			added: `[limit l]\ntasksInFlight = 2\n[customer d]\nlimits = l${token}\n[availability-zone east]`,
			expected: ['+1 error share-too-small limit/l tasksInFlight: leaves availability zone "north" a share of 0.67 tasks at once, so it may never start one'],
		},
		{
			name: 'a limit that refuses large jobs for ever',
			added: `[limit l]\ntasksInFlight = 100\n[customer d]\nlimits = l${token}`,
			expected: ['+1 warning limit-below-largest-job limit/l tasksInFlight: a job of more than 50 tasks is always refused in availability zone "north"'],
		},
		{
			name: 'a limit that another one of the same holder keeps from taking effect',
			added: `[limit l]\ntasksPerSecond = 2000\n[customer d]\nlimits = rate, l${token}`,
			expected: ['+3 error limit-contradiction customer/d limits: limit "l" never takes effect: limit "rate" sets a smaller tasksPerSecond for the same customer/d'],
		},
		{
			name: 'nothing in a higher rate with a smaller burst',
			added: `[limit l]\ntasksPerSecond = 4000\nburstSeconds = 0.1\n[customer d]\nlimits = rate, l${token}`,
			expected: [],
		},
		{
			name: 'nothing in a larger limit that two customers share',
			added: `[limit l]\ntasksPerSecond = 2000\n[customer d]\nlimits = rate, l${token}\n[customer e]\nlimits = l\ntokenHashes = ${'ef'.repeat(32)}`,
			expected: [],
		},
		{
			name: 'a service that may use more than its pool',
			added: '[limit l]\ntasksPerSecond = 2000\n[service s]\npool = walnut\nlimits = l',
			expected: ['+4 error limit-contradiction service/s limits: allow 2000 tasksPerSecond, but the limits of its pools (walnut) allow only 1000'],
		},
		{
			name: 'a rate that the hourly bound cannot carry',
			added: '[limit l]\ntasksPerSecond = 1000\nworkerSecondsPerHour = 3600\n[service s]\npool = walnut\nlimits = l',
			expected: ['+5 warning rate-above-cost service/s limits: allow 1000 tasksPerSecond, which at 500 ms a task is 1800000 workerSecondsPerHour, but only 3600 are declared'],
		},
		{
			name: 'a customer that no limit bounds',
			added: `[pool free]\n[service s]\npool = free\n[customer d]${token}`,
			expected: ['+3 warning unlimited-customer customer/d limits: no limit bounds what it may use of service "s"'],
		},
		{
			name: 'a customer without a token',
			added: '[customer d]\nlimits = rate',
			expected: ['+0 warning no-token customer/d tokenHashes: anybody who reaches the callers\' port may act for this customer'],
		},
		{
			name: 'a token that two customers share',
			added: `[customer d]${token}\n[customer e]${token}`,
			expected: ['+3 error duplicate-token customer/e tokenHashes: has a token that customer/d has too'],
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

	it('reports weights that share out nothing, in the file that has them', () => {
		const text = '[availability-zone north]\nlimitWeight = 0';
		const {findings} = checkConfigurationFiles([{path: 'b.ini', text}, {path: 'a.ini', text: '[pool p]\nlimits = none'}]);
		assert.deepEqual(findings.map(({code, place}) => [code, place.file, place.line]), [
			['unused-pool', 'a.ini', 1], ['dangling-name', 'a.ini', 2], ['no-share', 'b.ini', 2],
		]);
	});
});

describe('checkConfigurationInput', () => {
	it('gives objects with defaults only if nothing is wrong', () => {
		assert.equal(checkConfigurationInput({pools: {p: {}}, services: {s: {pool: 'p'}}}).objects?.services.s?.declaredRunTimeMs, 500);
		assert.equal(checkConfigurationInput({services: {s: {pool: 'p'}}}).objects, undefined);
		const {objects, findings} = checkConfigurationInput({pools: {p: {limits: 3}}});
		assert.equal(objects, undefined);
		assert.deepEqual(findings.map(({code, level, place}) => [code, level, place.key]), [['bad-value', 'error', 'pools.p.limits']]);
	});
});
