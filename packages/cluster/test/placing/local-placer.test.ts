import assert from 'node:assert/strict';
import {it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import {createFakeFleet} from '../../../placement/test/support/fake-fleet.js';
import {defaultRequest} from '../../../placement/test/support/create-test-placer.js';
import {runFor} from '../../../placement/test/support/run-for.js';
import {createLocalPlacer} from '../../src/placing/local-placer.js';

it('counts a silent backend server as in use while tasks may still run there', async () => {
	const timers = new VirtualTimers();
	const fleet = createFakeFleet({timers, serverCount: 1, getDurationMs: () => 5000});
	const localPlacer = createLocalPlacer({
		daemonNumber: 1,
		backendServerClient: fleet.getClient('own'),
		timers,
		random: createSeededRandomSource(1),
		events: new RecordingEventLog(),
		metrics: new RecordingMetricSink(),
		serverSources: {
			isCoveredBy: () => true,
			requestMissing() {
				// Everything is covered.
			},
		},
		send() {
			// Results are not checked.
		},
	});
	localPlacer.start(1);
	localPlacer.setServers(fleet.getDescriptions(), 0);
	localPlacer.handleMessage('entry', {
		kind: 'placement.submit', request: {...defaultRequest, jobId: 'job', callerTimeoutMs: 9000}, submissionId: 'one', generation: 0, mayHaveStarted: false,
	});
	await runFor(timers, 100);
	fleet.servers[0]!.fault = {isUnreachableFrom: () => true};
	const inUse: boolean[] = [];
	for (let count = 0; count < 3; count++) {
		// eslint-disable-next-line no-await-in-loop -- Virtual time advances step by step.
		await runFor(timers, 1000);
		localPlacer.handleMessage('entry', {kind: 'placement.open-jobs', jobIds: ['job']});
		inUse.push(localPlacer.getServerIdsInUse().has('server-0'));
	}

	assert.deepEqual(inUse, [true, false, false]);
});
