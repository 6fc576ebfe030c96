import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {getKindLabels} from '../../src/speed/get-kind-labels.js';

describe('getKindLabels', () => {
	const rows = [
		{title: 'the kind first', labels: [['big', 'rack-1'], ['big', 'rack-2'], ['big', 'rack-2']], expected: ['big', 'big', 'big']},
		{title: 'the rack first', labels: [['rack-1', 'big'], ['rack-2', 'big'], ['rack-2', 'big']], expected: ['big', 'big', 'big']},
		{title: 'a label for each backend server', labels: [['own-1'], ['own-2']], expected: [undefined, undefined]},
		{title: 'no labels', labels: [[], []], expected: [undefined, undefined]},
	];
	for (const {title, labels, expected} of rows) {
		it(`${title} → ${expected.join(', ') || 'none'}`, () => {
			const kinds = getKindLabels(labels.map((own, position) => ({id: `server-${position}`, labels: own})));
			assert.deepEqual(labels.map((_, position) => kinds.get(`server-${position}`)), expected);
		});
	}
});
