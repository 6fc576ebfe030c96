import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createTestDispatcher} from '../support/create-test-dispatcher.js';

const heartbeatMs = 100;
const heartbeatCount = 50;
/** Of each list of a message, as for the messages between the daemons of a cluster. */
const maxLoggedRows = 5;

describe('createDispatcher, with a peer whose heartbeats have odd rows', () => {
	// Guards against one odd row that fills the log, since the message that contains it is repeated several times a second.
	it('logs a few of the odd rows that a peer repeats for 5 s, and counts all', () => {
		const {dispatcher, timers, events, metrics} = createTestDispatcher();
		const odd = {
			pool: 'main', slots: 8, freeSlots: -1, queuedTasks: 0,
		};
		for (let count = 0; count < heartbeatCount; count++) {
			dispatcher.handlePeerMessage('daemon-2', {kind: 'dispatch.heartbeat', needsReply: false, loads: [odd]});
			timers.advance(heartbeatMs);
		}

		assert.equal(metrics.getCount('peer-row-dropped'), heartbeatCount);
		const logged = events.events.filter(({name}) => name === 'peer-row-dropped');
		assert.ok(logged.length > 0 && logged.length <= maxLoggedRows, `${logged.length} log lines`);
	});
});
