import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {VirtualTimers} from '@camphortack/testkit';
import {hasCapacity} from '../../src/queue/placement-candidate.js';
import {getFreeCapacity} from '../../src/sessions/get-free-capacity.js';
import type {Run} from '../../src/sessions/run.js';
import {createFakeFleet} from '../support/fake-fleet.js';

const [description] = createFakeFleet({timers: new VirtualTimers(), serverCount: 1}).getDescriptions();
const noNeeds = {cpuMillicores: 0, memoryMb: 0, gpuCount: 0};

function getRun(needs: Run['needs']): Run {
	return {
		taskName: 'job.0.0.0', runNumber: 1, needs, state: 'running', startedAtMs: 0, percent: 0, serverStartMs: undefined, serverReportMs: undefined,
	};
}

describe('getFreeCapacity', () => {
	const rows: Array<{title: string; runs: Run[]; expected: boolean}> = [
		{title: 'no run', runs: [], expected: true},
		{title: 'a known run', runs: [getRun(noNeeds)], expected: true},
		{title: 'an unknown run', runs: [getRun(noNeeds), getRun(undefined)], expected: false},
		{title: 'a run in each slot', runs: Array.from({length: description!.slotCount}, () => getRun(noNeeds)), expected: false},
	];
	for (const {title, runs, expected} of rows) {
		// Guards against a start beside an unknown run: its lease would lengthen that run.
		it(`${title} → ${expected ? 'room' : 'no room'} for a task without needs`, () => {
			assert.equal(hasCapacity(getFreeCapacity(description!, runs), noNeeds), expected);
		});
	}
});
