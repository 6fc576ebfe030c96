import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {compareDaemonIds} from '../../src/utils/compare-daemon-ids.js';

describe('compareDaemonIds', () => {
	const cases: Array<[left: string, right: string, sign: number]> = [
		['10.3.0.9', '10.3.0.40', -1],
		['10.3.0.100', '10.3.0.99', 1],
		['10.2.0.255', '10.10.0.1', -1],
		['10.3.0.40', '10.3.0.40', 0],
		['', '10.3.0.40', -1],
		['keeper-a', 'keeper-b', -1],
	];
	for (const [left, right, sign] of cases) {
		it(`${left} and ${right} → ${sign}`, () => {
			assert.equal(Math.sign(compareDaemonIds(left, right)), sign);
		});
	}
});
