import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {formatFinding} from '@camphortack/core';
import {readConfigurationFiles} from '../../src/index.js';

describe('readConfigurationFiles', () => {
	it('reads all kinds of objects, with defaults, lists and nested keys', () => {
		const text = `; the workshop
[availability-zone graz-north] # first
limitWeight = 2
[pool walnut.1]
availabilityZones = graz-north, graz-south
largestBackendServer.processors = 64
[service polish-quote]
pool = "walnut.1"
declaredRunTimeMs = 300
[limit quotes]
tasksPerSecond = 2.5
[route r]
service = polish-quote
customers = workshop-chain
pool = walnut.1
[customer workshop-chain]
limits =
`;
		const {objects, findings, places} = readConfigurationFiles([{path: 'all.ini', text}]);
		assert.deepEqual(findings, []);
		assert.equal(objects.availabilityZones['graz-north']?.limitWeight, 2);
		assert.deepEqual(objects.pools['walnut.1']?.availabilityZones, ['graz-north', 'graz-south']);
		assert.equal(objects.pools['walnut.1']?.largestBackendServer?.processors, 64);
		assert.equal(objects.services['polish-quote']?.pool, 'walnut.1');
		assert.equal(objects.limits.quotes?.tasksPerSecond, 2.5);
		assert.deepEqual(objects.customers['workshop-chain']?.limits, []);
		assert.deepEqual(places.getPlace('service/polish-quote', 'declaredRunTimeMs'), {
			file: 'all.ini',
			line: 9,
			object: 'service/polish-quote',
			key: 'declaredRunTimeMs',
		});
	});

	const rows: Array<{text: string; expected: string[]}> = [
		{text: 'pool = x', expected: ['a.ini:1: "pool" appears before the first [section]']},
		{text: '[pool x\nfoo', expected: ['a.ini:1: "[pool x" is neither a [section] nor a key = value', 'a.ini:2: "foo" is neither a [section] nor a key = value']},
		{text: '[pol x]', expected: ['a.ini:1: "pol" is not a known kind of object (did you mean "pool"?)']},
		{text: '\r\n[pool]', expected: ['a.ini:2: [pool] must be [pool NAME]; a name has 1 to 128 letters, digits, ".", "_", ":" or "-"']},
		{text: '[pool __proto__]', expected: ['a.ini:1: [pool __proto__] must be [pool NAME]; a name has 1 to 128 letters, digits, ".", "_", ":" or "-"']},
		{text: '[pool x]\n[pool x]', expected: ['a.ini:2: pool/x: is already declared in a.ini:1']},
		{text: '[pool x]\nlimits = a\nlimits = b', expected: ['a.ini:3: pool/x limits: is already set on line 2']},
		{text: '[pool x]\nlimit = a', expected: ['a.ini:2: pool/x limit: is not a known key (did you mean "limits"?)']},
		{text: '[pool x]\n__proto__ = a\nconstructor = a', expected: ['a.ini:2: "__proto__ = a" is neither a [section] nor a key = value', 'a.ini:3: pool/x constructor: is not a known key']},
		{text: '[service s]', expected: ['a.ini:1: service/s pool: is missing: must be a name']},
		{
			text: '[service s]\npool = p\ndeclaredRunTimeMs = soon\nmostQueuedTasks = 0\nlimits = a b, c',
			expected: [
				'a.ini:3: service/s declaredRunTimeMs: "soon" is not valid: must be a number above 0, at most 600000',
				'a.ini:4: service/s mostQueuedTasks: "0" is not valid: must be a whole number from 1 to 1000000',
				'a.ini:5: service/s limits: "a b, c" is not valid: must be a comma-separated list, each a name',
			],
		},
	];
	for (const {text, expected} of rows) {
		it(`reports all errors in ${JSON.stringify(text)}`, () => {
			const {findings} = readConfigurationFiles([{path: 'a.ini', text}]);
			assert.deepEqual(findings.map(finding => formatFinding(finding)), expected);
			assert.ok(findings.every(finding => finding.level === 'error'));
		});
	}
});
