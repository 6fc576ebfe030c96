import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {addReturnWork, getRetryAfterMs, getReturnBacklog} from '../../src/queue/get-retry-after-ms.js';

describe('getRetryAfterMs', () => {
	const rows = [
		{
			title: 'a single refusal', state: {returnWork: 1000, cores: 1000, waitMs: 0}, least: 1000, most: 3000,
		},
		{
			title: 'a wait longer than a second', state: {returnWork: 1000, cores: 1000, waitMs: 1500}, least: 1500, most: 3500,
		},
		{
			title: 'refused work of half a second of all cores', state: {returnWork: 500_000, cores: 1000, waitMs: 0}, least: 1000, most: 6000,
		},
		{
			title: 'refused work of a minute', state: {returnWork: 60_000_000, cores: 1000, waitMs: 0}, least: 1000, most: 10_000,
		},
		{
			title: 'no backend server', state: {returnWork: 1000, cores: 0, waitMs: 0}, least: 1000, most: 3000,
		},
	];
	for (const {title, state, least, most} of rows) {
		it(`${title} → ${least} to ${most} ms`, () => {
			assert.equal(getRetryAfterMs({...state, fraction: 0}), least);
			assert.equal(getRetryAfterMs({...state, fraction: 1}), most);
		});
	}
});

describe('addReturnWork', () => {
	// Guards against long Retry-Afters for a minute after an overload, in which returning callers were refused again and again.
	it('keeps no more work than the longest Retry-After covers', () => {
		const backlog = {work: 899_000, atMs: 0};
		assert.equal(addReturnWork(backlog, 500, 1000).work, 899_500);
		assert.equal(addReturnWork(backlog, 5000, 1000).work, 900_000);
	});
});

describe('getReturnBacklog', () => {
	const rows = [
		{nowMs: 1000, expectedWork: 500_000},
		{nowMs: 3000, expectedWork: 300_000},
		{nowMs: 60_000, expectedWork: 0},
	];
	for (const {nowMs, expectedWork} of rows) {
		it(`decreases to ${expectedWork} core-milliseconds after ${nowMs - 1000} ms`, () => {
			assert.deepEqual(getReturnBacklog({work: 500_000, atMs: 1000}, 1000, nowMs), {work: expectedWork, atMs: nowMs});
		});
	}
});
