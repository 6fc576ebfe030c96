import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {findOwnLagMs, type LagObservations} from '../../src/lag/find-own-lag.js';

/** Creates one response for each excess, each of another backend server. */
function getResponses(...excesses: number[]): LagObservations['responses'] {
	return excesses.map((excessMs, index) => ({serverId: `server-${index}`, excessMs}));
}

describe('findOwnLagMs', () => {
	// Guards against a limit on a VM that keeps up because some backend servers are slow, and against a lag that is not noticed.
	const rows: Array<{title: string; observations: LagObservations; expectedMs: number}> = [
		{title: 'nothing observed', observations: {timerLatenessMs: [], responses: []}, expectedMs: 0},
		{title: 'all responses late', observations: {timerLatenessMs: [0, 0, 0], responses: getResponses(30, 31, 32, 33, 34)}, expectedMs: 32},
		{title: 'two of five backend servers late', observations: {timerLatenessMs: [], responses: getResponses(0, 1, 90, 150, 0)}, expectedMs: 1},
		{title: 'responses of four backend servers', observations: {timerLatenessMs: [], responses: getResponses(90, 90, 90, 90)}, expectedMs: 0},
		{title: 'many responses of one backend server', observations: {timerLatenessMs: [], responses: Array.from({length: 9}, () => ({serverId: 'slow', excessMs: 90}))}, expectedMs: 0},
		{title: 'timers late', observations: {timerLatenessMs: [40, 60, 50], responses: getResponses(0, 0, 0, 0, 0)}, expectedMs: 50},
		{title: 'one late tick', observations: {timerLatenessMs: [0, 0, 300, 0, 0], responses: []}, expectedMs: 0},
		{title: 'a late first tick', observations: {timerLatenessMs: [300], responses: []}, expectedMs: 0},
	];
	for (const {title, observations, expectedMs} of rows) {
		it(`${title} → ${expectedMs} ms`, () => {
			assert.equal(findOwnLagMs(observations), expectedMs);
		});
	}
});
