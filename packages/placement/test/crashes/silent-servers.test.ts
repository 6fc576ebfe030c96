import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import {createSilentServers} from '../../src/crashes/silent-servers.js';

describe('createSilentServers', () => {
	const rows: Array<{title: string; otherAfterMs: number; otherJobId: string; expected: boolean}> = [
		{
			title: 'another one with other jobs a moment later', otherAfterMs: 900, otherJobId: 'other', expected: true,
		},
		{
			title: 'another one with the same job a moment later', otherAfterMs: 900, otherJobId: 'job', expected: false,
		},
		{
			title: 'another one with other jobs long after', otherAfterMs: 1100, otherJobId: 'other', expected: false,
		},
	];
	for (const {title, otherAfterMs, otherJobId, expected} of rows) {
		it(`a silence with ${title} → ${expected ? 'common' : 'of its own'}`, () => {
			const timers = new VirtualTimers();
			const silentServers = createSilentServers<string>(timers);
			silentServers.add('first', new Set(['job']));
			timers.advance(otherAfterMs);
			silentServers.add('second', new Set([otherJobId]));
			assert.equal(silentServers.isSilenceCommon('first', 'job'), expected);
		});
	}
});
