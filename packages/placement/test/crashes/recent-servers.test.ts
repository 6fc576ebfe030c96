import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import {createRecentServers} from '../../src/crashes/recent-servers.js';

describe('createRecentServers', () => {
	it('keeps each backend server for the duration after it was last added', () => {
		const timers = new VirtualTimers();
		const servers = createRecentServers(timers, 40);
		servers.add('first');
		servers.add('second');
		timers.advance(30);
		servers.add('first');
		timers.advance(20);
		assert.deepEqual(servers.getIds(), ['first']);
		assert.deepEqual(['first', 'second', 'third'].map(id => servers.has(id)), [true, false, false]);
		timers.advance(21);
		assert.deepEqual([servers.has('first'), servers.getIds()], [false, []]);
	});
});
