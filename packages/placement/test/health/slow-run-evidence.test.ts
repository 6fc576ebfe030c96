import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import {createSlowRunEvidence, type SlowRunEvidence} from '../../src/health/slow-run-evidence.js';

/** Records tasks of which a share is long by itself, as later runs that keep their pace show. */
function addLongTasks(evidence: SlowRunEvidence, longShare: number): void {
	for (let number = 1; number <= 500; number++) {
		if (number % Math.round(1 / longShare) === 0) {
			evidence.addSlowRun({
				serverId: 'other', taskName: `task-${number}`, key: `task-${number}`, startedAtMs: number,
			});
			evidence.addNormalRun({serverId: 'other', taskName: 'normal', startedAtMs: number + 1});
		} else {
			evidence.addNormalEnd();
		}
	}
}

describe('createSlowRunEvidence', () => {
	// Guards against stops on healthy backend servers: the more tasks are long by themselves, the less a slow run says.
	const rows = [
		{longShare: 0, expected: ['certain', 'certain', 'certain']},
		{longShare: 0.01, expected: ['none', 'likely', 'certain']},
		{longShare: 0.03, expected: ['none', 'none', 'certain']},
	];
	for (const {longShare, expected} of rows) {
		it(`one, two and three slow runs in a row where ${longShare} of the tasks are long → ${expected.join(', ')}`, () => {
			const evidence = createSlowRunEvidence(new VirtualTimers());
			if (longShare > 0) {
				addLongTasks(evidence, longShare);
			}

			const suspicions = expected.map((_, position) => {
				evidence.addSlowRun({
					serverId: 'server', taskName: `task-${position}`, key: `task-${position}`, startedAtMs: 1000 + position,
				});
				return evidence.getSuspicion('server');
			});
			assert.deepEqual(suspicions, expected);
		});
	}

	it('takes a slow run for long by itself once a run that started later keeps its pace', () => {
		const evidence = createSlowRunEvidence(new VirtualTimers());
		evidence.addSlowRun({
			serverId: 'server', taskName: 'task', key: 'task', startedAtMs: 100,
		});
		evidence.addNormalRun({serverId: 'server', taskName: 'normal', startedAtMs: 50});
		assert.equal(evidence.getSuspicion('server'), 'certain');
		evidence.addNormalRun({serverId: 'server', taskName: 'normal', startedAtMs: 150});
		evidence.addSlowRun({
			serverId: 'server', taskName: 'task', key: 'task', startedAtMs: 100,
		});
		assert.equal(evidence.getSuspicion('server'), 'none');
	});

	// Guards against a run that counts twice: it is compared with its job until a task of the same step has made progress.
	it('counts a run once if what it is compared with changes', () => {
		const evidence = createSlowRunEvidence(new VirtualTimers());
		addLongTasks(evidence, 0.01);
		for (const key of ['job', 'task']) {
			evidence.addSlowRun({
				serverId: 'server', taskName: 'task', key, startedAtMs: 1000,
			});
		}

		assert.equal(evidence.getSuspicion('server'), 'none');
	});

	it('forgets a slow run that returns to its pace', () => {
		const evidence = createSlowRunEvidence(new VirtualTimers());
		evidence.addSlowRun({
			serverId: 'server', taskName: 'task', key: 'task', startedAtMs: 100,
		});
		evidence.addNormalRun({serverId: 'server', taskName: 'task', startedAtMs: 100});
		assert.equal(evidence.getSuspicion('server'), 'none');
	});
});
