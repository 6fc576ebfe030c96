import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {isNewerView, type PlacerView} from '../../src/election/placer-view.js';

describe('isNewerView', () => {
	const cases: Array<{left: PlacerView; right: PlacerView; isNewer: boolean}> = [
		{left: {term: 3, placerId: '10.3.0.9'}, right: {term: 2, placerId: '10.3.0.40'}, isNewer: true},
		{left: {term: 2, placerId: '10.3.0.40'}, right: {term: 3, placerId: '10.3.0.9'}, isNewer: false},
		{left: {term: 3, placerId: '10.3.0.40'}, right: {term: 3, placerId: '10.3.0.9'}, isNewer: true},
		{left: {term: 3, placerId: '10.3.0.9'}, right: {term: 3, placerId: '10.3.0.40'}, isNewer: false},
		{left: {term: 3, placerId: '10.3.0.9'}, right: {term: 3, placerId: ''}, isNewer: true},
		{left: {term: 3, placerId: '10.3.0.9'}, right: {term: 3, placerId: '10.3.0.9'}, isNewer: false},
	];
	for (const {left, right, isNewer} of cases) {
		it(`term ${left.term} of ${left.placerId} and term ${right.term} of ${right.placerId || 'nobody'} → ${isNewer ? 'newer' : 'not newer'}`, () => {
			assert.equal(isNewerView(left, right), isNewer);
		});
	}
});
