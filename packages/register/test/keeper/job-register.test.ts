import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createKeeperPair, retentionMs} from '../support/keeper-pair.js';
import {createAssignment} from '@camphortack/register';

describe('createJobRegister', () => {
	it('refuses unknown ids after the loss of its disk until the retention period has passed', () => {
		const pair = createKeeperPair();
		const register = pair.startKeeper('k1', pair.createDisk(), false);
		register.setAssignment(createAssignment(['k1']));
		assert.deepEqual(pair.events.events.map(event => event.name), ['register-epoch-started']);
		assert.equal(pair.claim('k1', 'a', 1), 'register-epoch');
		pair.timers.advance(retentionMs - 1000);
		register.confirmAssignment();
		assert.equal(pair.claim('k1', 'a', 2), 'register-epoch');
		pair.timers.advance(1000);
		register.confirmAssignment();
		assert.equal(pair.claim('k1', 'a', 3), 'start');
	});

	it('refuses unknown ids while its assignment is unconfirmed, but still answers claims of known ids', () => {
		const pair = createKeeperPair();
		const register = pair.startKeeper('k1', pair.createDisk(), true);
		register.setAssignment(createAssignment(['k1']));
		assert.equal(pair.claim('k1', 'a', 1), 'start');
		pair.timers.advance((retentionMs / 2) + 1);
		assert.equal(pair.claim('k1', 'b', 2), 'register-unreachable');
		assert.equal(pair.claim('k1', 'a', 3), 'attach');
		register.confirmAssignment();
		assert.equal(pair.claim('k1', 'b', 4), 'start');
	});

	it('refuses unknown ids at the record limit, and drops records after the retention period', () => {
		const pair = createKeeperPair();
		const register = pair.startKeeper('k1', pair.createDisk(), true, 2);
		register.setAssignment(createAssignment(['k1']));
		assert.deepEqual(['a', 'b', 'c'].map((id, index) => pair.claim('k1', id, index)), ['start', 'start', 'register-full']);
		pair.timers.advance(retentionMs * 1.2);
		assert.equal(register.getStatus().recordCount, 0);
		register.confirmAssignment();
		assert.equal(pair.claim('k1', 'c', 4), 'start');
	});

	it('treats the jobs of a process that is gone as failed', () => {
		const pair = createKeeperPair();
		const register = pair.startKeeper('k1', pair.createDisk(), true);
		register.setAssignment(createAssignment(['k1']));
		pair.claim('k1', 'a', 1);
		register.markIncarnationGone('e1', 'i1');
		pair.entry.send('k1', {
			kind: 'register.claim', id: 'a', contentHash: 'hash', taskCount: 1, incarnation: 'i2', claim: 1,
		});
		pair.timers.advance(20);
		assert.match(JSON.stringify(pair.answers.at(-1)), /"kind":"outcome"/v);
	});

	// Guards against an id that nobody can claim any more, because the number of its tasks is too large for an outcome.
	it('answers claims of a job of a lost process whose number of tasks is odd', () => {
		const pair = createKeeperPair();
		const register = pair.startKeeper('k1', pair.createDisk(), true);
		register.setAssignment(createAssignment(['k1']));
		const claim = {
			kind: 'register.claim', id: 'a', contentHash: 'hash', taskCount: Number.MAX_SAFE_INTEGER, claim: 1,
		};
		pair.entry.send('k1', {...claim, incarnation: 'i1'});
		pair.timers.advance(20);
		register.markIncarnationGone('e1', 'i1');
		pair.entry.send('k1', {...claim, incarnation: 'i2'});
		pair.timers.advance(20);
		assert.match(JSON.stringify(pair.answers.at(-1)), /"kind":"outcome"/v);
	});

	it('drops a malformed message and counts it', () => {
		const pair = createKeeperPair();
		pair.startKeeper('k1', pair.createDisk(), true);
		pair.entry.send('k1', {kind: 'register.claim', id: 7});
		pair.timers.advance(20);
		assert.equal(pair.metrics.getCount('register-malformed'), 1);
	});
});

describe('partition transfer', () => {
	const first = createAssignment(['k1']);
	const second = createAssignment(['k2'], first);

	function createMovedPair() {
		const pair = createKeeperPair();
		const old = pair.startKeeper('k1', pair.createDisk(), true);
		const next = pair.startKeeper('k2', pair.createDisk(), true);
		old.setAssignment(first);
		next.setAssignment(first);
		assert.equal(pair.claim('k1', 'known', 1), 'start');
		return {...pair, old, next};
	}

	it('leaves decisions to the old owner until it has the new assignment, then to the new owner with all records', () => {
		const {claim, old, next, timers} = createMovedPair();
		next.setAssignment(second);
		timers.advance(2000);
		assert.equal(claim('k2', 'known', 2), undefined);
		assert.equal(claim('k1', 'fresh', 3), 'start');
		old.setAssignment(second);
		assert.equal(claim('k1', 'other', 4), undefined);
		timers.advance(2000);
		assert.deepEqual(['known', 'fresh', 'other'].map((id, index) => claim('k2', id, 5 + index)), ['attach', 'attach', 'start']);
		assert.equal(old.getStatus().recordCount, 0);
	});

	it('quarantines the partition of a lost owner for the retention period plus the time it may act unconfirmed', () => {
		const {claim, next, timers} = createMovedPair();
		next.setAssignment(createAssignment(['k2'], first, ['k1']));
		assert.equal(claim('k2', 'known', 2), 'register-epoch');
		timers.advance(retentionMs * 1.4);
		next.confirmAssignment();
		assert.equal(claim('k2', 'known', 3), 'register-epoch');
		timers.advance(retentionMs * 0.1);
		next.confirmAssignment();
		assert.equal(claim('k2', 'new', 4), 'start');
	});

	it('quarantines the partition if the old owner has lost its disk', () => {
		const {claim, createDisk, startKeeper, next, timers} = createMovedPair();
		startKeeper('k1', createDisk(), false).setAssignment(second);
		next.setAssignment(second);
		timers.advance(2000);
		assert.equal(claim('k2', 'known', 2), 'register-epoch');
	});
});
