import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '../../src/index.js';

describe('VirtualTimers', () => {
	it('fires timers in the order of their due times', () => {
		const timers = new VirtualTimers();
		const fired: string[] = [];
		timers.addTimer(20, () => {
			fired.push(`late ${timers.getNowMs()}`);
		});
		timers.addTimer(10, () => {
			fired.push(`early ${timers.getNowMs()}`);
		});
		timers.addTimer(15, () => {
			fired.push('cancelled');
		}).cancel();
		timers.advance(20);
		assert.deepEqual(fired, ['early 10', 'late 20']);
	});

	it('repeats an interval until it is cancelled', () => {
		const timers = new VirtualTimers();
		let count = 0;
		const subscription = timers.addInterval(10, () => {
			count++;
		});
		timers.advance(35);
		subscription.cancel();
		timers.advance(100);
		assert.equal(count, 3);
	});
});
