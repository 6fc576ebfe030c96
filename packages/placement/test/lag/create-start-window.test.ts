import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import {createStartWindow} from '../../src/lag/create-start-window.js';

class LateTimers extends VirtualTimers {
	latenessMs = 0;

	override addInterval(intervalMs: number, onFire: () => void) {
		let subscription = {
			cancel() {
				// Replaced by the first timer.
			},
		};
		const schedule = () => {
			subscription = this.addTimer(intervalMs + this.latenessMs, () => {
				schedule();
				onFire();
			});
		};

		schedule();
		return {
			cancel() {
				subscription.cancel();
			},
		};
	}
}

function createTestWindow() {
	const timers = new LateTimers();
	const events = new RecordingEventLog();
	let openCount = 0;
	const window = createStartWindow({
		term: 3,
		timers,
		events,
		metrics: new RecordingMetricSink(),
		onOpen() {
			openCount++;
		},
	});
	return {
		timers, events, window, getOpenCount: () => openCount,
	};
}

function getNames({events}: RecordingEventLog): string[] {
	return events.map(({name}) => name);
}

describe('createStartWindow', () => {
	// Guards against an event loop that is late without the responses showing it, as when all processor time goes to callers.
	it('limits starts while timers are late, and no longer a second after that', () => {
		const {timers, events, window} = createTestWindow();
		timers.latenessMs = 60;
		timers.advance(1000);
		assert.equal(window.isLimited(), true);
		timers.latenessMs = 0;
		timers.advance(2000);
		assert.equal(window.isLimited(), false);
		assert.deepEqual(getNames(events), ['placer-lagging', 'placer-caught-up']);
	});

	// Guards against a network that is slower by a constant, which is no lag of the placer.
	it('does not count a constant distance as lag', () => {
		const {events, window} = createTestWindow();
		for (let index = 0; index < 50; index++) {
			window.addResponse(`server-${index % 10}`, 35);
		}

		assert.deepEqual(getNames(events), []);
	});

	// Guards against a limit on a VM that keeps up while a rack with most of the starts is cut off.
	it('does not count starts that go unanswered as lag, unless there is a limit', () => {
		const {events, window} = createTestWindow();
		for (let index = 0; index < 20; index++) {
			window.addUnanswered(`server-${index}`, 150);
		}

		assert.deepEqual(getNames(events), []);
		window.addResponse('server-0', 2);
		for (let index = 0; index < 10; index++) {
			window.addResponse(`server-${index}`, 80);
		}

		assert.equal(window.isLimited(), true);
		window.addStart();
		const waitMs = window.getWaitMs(100);
		for (let index = 0; index < 11; index++) {
			window.addUnanswered(`server-${index}`, 150);
		}

		assert.ok(window.getWaitMs(100) > waitMs);
	});

	// Guards against starts that wait although earlier ones have been answered, and against a limit of a placer that was stopped.
	it('reports that a start may be sent, and nothing once it is stopped', () => {
		const {events, window, getOpenCount} = createTestWindow();
		for (let index = 0; index < 20; index++) {
			window.addStart();
		}

		for (let index = 0; index < 10; index++) {
			window.addResponse(`server-${index}`, index < 1 ? 2 : 80);
		}

		assert.equal(window.isOpen(), false);
		window.endStart();
		assert.equal(getOpenCount(), 1);
		window.stop();
		assert.deepEqual(getNames(events), ['placer-lagging']);
	});
});
