import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {formatFinding, type Finding} from '../../src/index.js';

describe('formatFinding', () => {
	const fullFinding: Finding = {
		code: 'unknown-key',
		message: 'is unknown',
		place: {
			file: 'a.ini',
			line: 3,
			object: 'pool/walnut',
			key: 'prot',
		},
		suggestion: 'port',
	};
	const rows: Array<{finding: Finding; expected: string}> = [
		{finding: {code: 'a', message: 'is missing', place: {}}, expected: 'is missing'},
		{finding: {code: 'a', message: 'is missing', place: {file: 'a.ini', line: 3}}, expected: 'a.ini:3: is missing'},
		{finding: fullFinding, expected: 'a.ini:3: pool/walnut prot: is unknown (did you mean "port"?)'},
	];
	for (const {finding, expected} of rows) {
		it(`formats a finding as "${expected}"`, () => {
			assert.equal(formatFinding(finding), expected);
		});
	}
});
