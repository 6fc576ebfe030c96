import assert from 'node:assert/strict';
import {
	afterEach, beforeEach, describe, it, mock,
} from 'node:test';
import {SystemTimers} from '../../src/index.js';

const maxPlatformDelayMs = 2_147_483_647;

describe('SystemTimers', () => {
	beforeEach(() => {
		mock.timers.enable({apis: ['setTimeout', 'setInterval']});
	});

	afterEach(() => {
		mock.timers.reset();
	});

	// Guards against timers that fire at once, again and again, because an odd entry made their delay longer than the platform supports.
	it('fires a timer with a delay longer than the platform supports once that time has passed, and not before', () => {
		const timers = new SystemTimers();
		let fired = 0;
		timers.addTimer(maxPlatformDelayMs + 1000, () => {
			fired++;
		});
		mock.timers.tick(maxPlatformDelayMs);
		assert.equal(fired, 0);
		mock.timers.tick(999);
		assert.equal(fired, 0);
		mock.timers.tick(1);
		assert.equal(fired, 1);
	});

	it('repeats an interval longer than the platform supports', () => {
		const timers = new SystemTimers();
		let fired = 0;
		const subscription = timers.addInterval(2 * maxPlatformDelayMs, () => {
			fired++;
		});
		for (const expected of [0, 1, 1, 2]) {
			mock.timers.tick(maxPlatformDelayMs);
			assert.equal(fired, expected);
		}

		subscription.cancel();
		mock.timers.tick(maxPlatformDelayMs);
		mock.timers.tick(maxPlatformDelayMs);
		assert.equal(fired, 2);
	});

	for (const delayMs of [Number.POSITIVE_INFINITY, 1e308]) {
		it(`never fires after ${delayMs} ms, and can be cancelled`, () => {
			const timers = new SystemTimers();
			let fired = 0;
			const onFire = () => {
				fired++;
			};

			const subscriptions = [timers.addTimer(delayMs, onFire), timers.addInterval(delayMs, onFire)];
			mock.timers.tick(maxPlatformDelayMs);
			mock.timers.tick(maxPlatformDelayMs);
			assert.equal(fired, 0);
			for (const subscription of subscriptions) {
				subscription.cancel();
			}

			timers.cancelAll();
			mock.timers.tick(maxPlatformDelayMs);
			assert.equal(fired, 0);
		});
	}

	it('cancels a timer in its second part', () => {
		const timers = new SystemTimers();
		let fired = 0;
		const onFire = () => {
			fired++;
		};

		const subscription = timers.addTimer(maxPlatformDelayMs + 1000, onFire);
		timers.addTimer(maxPlatformDelayMs + 1000, onFire);
		mock.timers.tick(maxPlatformDelayMs);
		subscription.cancel();
		timers.cancelAll();
		mock.timers.tick(1000);
		assert.equal(fired, 0);
	});
});
