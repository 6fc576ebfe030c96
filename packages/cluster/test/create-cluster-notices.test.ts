import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster} from './support/create-test-cluster.js';
import {ignoreAcknowledgement, startAndWaitUntilServing} from './support/drive-cluster.js';

const runMs = 900;
const longRequest = {
	steps: [{
		taskCount: 1, cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0, estimateMs: runMs, dependsOn: [],
	}],
};

describe('createCluster, when a backend server will be taken away', () => {
	const rows = [
		// Guards against a notice that is lost on the way from the daemon that heard the backend server to the placer.
		{title: 'moves a run that would outlast the notice', noticeMs: 300, expected: ['stopped', 'done']},
		{title: 'leaves a run alone that ends in time', noticeMs: 2000, expected: ['done']},
		{title: 'leaves runs alone without a notice', noticeMs: undefined, expected: ['done']},
	];
	for (const {title, noticeMs, expected} of rows) {
		it(title, async () => {
			const test = createTestCluster({getDurationMs: () => runMs});
			await startAndWaitUntilServing(test);
			test.submit('entry-a1', 'job', longRequest);
			await runFor(test.timers, 50);
			const description = test.fleet.getDescriptions().find(({id}) => id === test.fleet.records[0]!.serverId)!;
			const receiver = test.daemons.find(({id}) => id.startsWith('keeper') && id !== test.getPlacer().id)!;
			receiver.cluster.reportServer({
				...description, state: 'draining', sequence: 1000, noticeMs,
			}, ignoreAcknowledgement);
			await runFor(test.timers, 1300);
			assert.deepEqual(test.fleet.records.map(({outcome}) => outcome), expected);
			assert.deepEqual(test.results.map(({result}) => result), [{outcome: 'completed'}]);
			assert.deepEqual(test.fleet.findOverlaps(), []);
		});
	}
});
