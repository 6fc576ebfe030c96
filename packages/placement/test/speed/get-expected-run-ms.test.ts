import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {getExpectedRunMs} from '../../src/speed/get-expected-run-ms.js';

describe('getExpectedRunMs', () => {
	const rows = [
		{estimateMs: 100, siblingMs: [], expectedMs: 100},
		{estimateMs: 100, siblingMs: [400], expectedMs: 159},
		{estimateMs: 100, siblingMs: [400, 400, 2800], expectedMs: 181},
	];
	for (const {estimateMs, siblingMs, expectedMs} of rows) {
		it(`estimate ${estimateMs} ms, siblings ${siblingMs.join(', ') || 'none'} → ${expectedMs} ms`, () => {
			assert.equal(Math.round(getExpectedRunMs(estimateMs, siblingMs)), expectedMs);
		});
	}
});
