import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import {createServerHealth} from '../../src/health/server-health.js';

describe('createServerHealth', () => {
	it('becomes suspect after failures of one job and ejected after failures of two jobs', () => {
		const timers = new VirtualTimers();
		const ejections: number[] = [];
		const health = createServerHealth(timers, pauseMs => {
			ejections.push(pauseMs);
		});
		const grades = [health.getGrade(0)];
		health.addFailure('first');
		grades.push(health.getGrade(0));
		health.addFailure('first');
		grades.push(health.getGrade(0));
		health.addFailure('second');
		grades.push(health.getGrade(0));
		assert.deepEqual(grades, ['good', 'suspect', 'suspect', 'ejected']);
		assert.deepEqual(ejections, [1500]);
	});

	it('allows one task at a time after the ejection, and any number after a success', () => {
		const timers = new VirtualTimers();
		const health = createServerHealth(timers, () => {
			// The duration is not checked.
		});
		health.addFailure('first');
		health.addSlowness('second');
		timers.advance(1501);
		assert.deepEqual([health.getGrade(0), health.getGrade(1)], ['suspect', 'ejected']);
		health.addSuccess();
		assert.deepEqual([health.getGrade(0), health.getGrade(1)], ['good', 'good']);
	});

	it('resets the failures at a success', () => {
		const health = createServerHealth(new VirtualTimers(), () => {
			// Nothing is ejected.
		});
		health.addFailure('first');
		health.addSuccess();
		health.addFailure('second');
		assert.equal(health.getGrade(0), 'suspect');
	});
});
