import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {runFor} from '../../placement/test/support/run-for.js';
import {createTestCluster} from './support/create-test-cluster.js';
import {startAndWaitUntilServing} from './support/drive-cluster.js';

const taskMs = 1500;
const job = {
	slackMs: 4000, callerTimeoutMs: 4000, steps: [{
		taskCount: 1, cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0, estimateMs: taskMs, dependsOn: [],
	}],
};
const placerOverdueMs = 350;
const takeoverMs = 1200;

describe('createCluster, when the placer of another availability zone is lost that runs forwarded jobs', () => {
	for (const phaseMs of [0, 50, 100, 150]) {
		// Guards against runs that are stopped beside others because their entry daemons, in another zone, hand them over later than the local ones.
		it(`lets their runs and those beside them go on, ${phaseMs} ms later`, async () => {
			const test = createTestCluster({serverCount: 105, hasSecondKeepers: true, getDurationMs: () => taskMs});
			await startAndWaitUntilServing(test);
			await runFor(test.timers, 2500, 1);
			for (const zone of ['b', 'c']) {
				test.submit(`entry-${zone}1`, `local-${zone}`, job);
			}

			test.kill(test.find('entry-a1').cluster.getStatus().placerId);
			await runFor(test.timers, placerOverdueMs, 1);
			test.submit('entry-a1', 'forwarded-1', job);
			test.submit('entry-a2', 'forwarded-2', job);
			await runFor(test.timers, 100 + phaseMs, 1);
			const forwarded = test.fleet.records.find(({taskName}) => taskName.startsWith('forwarded'))!;
			const beside = test.fleet.records.filter(({serverId}) => serverId === forwarded.serverId);
			assert.equal(beside.length, 2, 'a forwarded run shares its backend server with another one');
			test.kill(forwarded.daemonId);
			await runFor(test.timers, takeoverMs + taskMs, 1);
			assert.deepEqual(test.fleet.records.map(({outcome}) => outcome), Array.from({length: 4}, () => 'done'));
		});
	}
});
