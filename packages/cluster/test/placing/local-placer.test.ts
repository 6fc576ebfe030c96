import assert from 'node:assert/strict';
import {it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import {createCrashRegister, type PlacementMessage} from '@camphortack/placement';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import {createFakeFleet, type FakeFleet} from '../../../placement/test/support/fake-fleet.js';
import {defaultRequest} from '../../../placement/test/support/create-test-placer.js';
import {runFor} from '../../../placement/test/support/run-for.js';
import {createLocalPlacer, type LocalPlacer} from '../../src/placing/local-placer.js';

type TestLocalPlacer = {
	timers: VirtualTimers;
	fleet: FakeFleet;
	localPlacer: LocalPlacer;
	sent: Array<[toId: string, message: PlacementMessage]>;
};

function createTestLocalPlacer(serverCount: number): TestLocalPlacer {
	const timers = new VirtualTimers();
	const fleet = createFakeFleet({timers, serverCount, getDurationMs: () => 5000});
	const sent: TestLocalPlacer['sent'] = [];
	const localPlacer = createLocalPlacer({
		daemonNumber: 1,
		backendServerClient: fleet.getClient('own'),
		timers,
		random: createSeededRandomSource(1),
		events: new RecordingEventLog(),
		metrics: new RecordingMetricSink(),
		ownIncarnation: 'one',
		crashRegister: createCrashRegister(timers),
		onDescriptionRefuted() {
			// These tests have no registry.
		},
		onCrashRecord() {
			// There is no other daemon.
		},
		earlierServers: {
			findServers: () => [],
			requestMissing() {
				// Nothing is missing.
			},
			hasLeft: () => false,
		},
		getShard: () => '',
		getEntries: () => [],
		send(toId, message) {
			sent.push([toId, message]);
		},
	});
	return {
		timers, fleet, localPlacer, sent,
	};
}

function getSubmission(jobId: string, term?: number): PlacementMessage {
	return {
		kind: 'placement.submit',
		request: {
			...defaultRequest, jobId, callerTimeoutMs: 9000, slackMs: 9000,
		},
		submissionId: 'one',
		term,
		generation: 0,
		mayHaveStarted: false,
	};
}

it('counts a silent backend server as in use while tasks may still run there', async () => {
	const {timers, fleet, localPlacer} = createTestLocalPlacer(1);
	localPlacer.start(1);
	localPlacer.setServers(fleet.getDescriptions(), 0);
	localPlacer.handleMessage('entry', getSubmission('job'));
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

// Guards against jobs that end as unknown because nobody says that a placer which stopped in good order had not started them.
it('tells each entry daemon, when it stops, which of its jobs have not begun', async () => {
	const {timers, fleet, localPlacer, sent} = createTestLocalPlacer(1);
	localPlacer.start(7);
	localPlacer.setServers(fleet.getDescriptions(), 0);
	await runFor(timers, 10);
	for (const [entryId, jobId] of [['entry-1', 'started'], ['entry-1', 'waiting-1'], ['entry-2', 'waiting-2'], ['entry-1', 'waiting-3']] as const) {
		localPlacer.handleMessage(entryId, getSubmission(jobId, 7));
		// eslint-disable-next-line no-await-in-loop -- Jobs arrive one after the other.
		await runFor(timers, 5);
	}

	localPlacer.stop('test');
	assert.equal(fleet.records.length, 2);
	const expected: TestLocalPlacer['sent'] = [
		['entry-1', {kind: 'placement.not-begun', term: 7, jobIds: ['waiting-1', 'waiting-3']}],
		['entry-2', {kind: 'placement.not-begun', term: 7, jobIds: ['waiting-2']}],
	];
	assert.deepEqual(sent, expected);
	await runFor(timers, 199);
	assert.deepEqual(sent, expected);
	await runFor(timers, 2);
	assert.deepEqual(sent, [...expected, ...expected], 'repeated once, in case a message is lost');
	await runFor(timers, 1000);
	assert.equal(sent.length, 4);
	assert.equal(fleet.records.length, 2, 'nothing starts afterwards');
});

it('returns jobs that are submitted to it for a term in which it does not place', () => {
	const {localPlacer, sent} = createTestLocalPlacer(1);
	localPlacer.handleMessage('entry', getSubmission('before', 1));
	localPlacer.handleMessage('entry', getSubmission('of-an-old-daemon'));
	localPlacer.start(2);
	localPlacer.handleMessage('entry', getSubmission('other-term', 1));
	localPlacer.handleMessage('entry', getSubmission('own-term', 2));
	assert.deepEqual(sent, ['before', 'other-term'].map(jobId => ['entry', {kind: 'placement.not-begun', term: 1, jobIds: [jobId]}]));
});

// Guards against a word about jobs that does not say which placer it is of: another incarnation may have begun them.
it('names its term and incarnation with the jobs that it does not know', () => {
	const {localPlacer, sent} = createTestLocalPlacer(1);
	localPlacer.start(4);
	localPlacer.handleMessage('entry', getSubmission('known', 4));
	localPlacer.handleMessage('entry', {kind: 'placement.open-jobs', jobIds: ['known', 'lost']});
	assert.deepEqual(sent, [['entry', {
		kind: 'placement.unknown-jobs', jobIds: ['lost'], term: 4, incarnation: 'one',
	}]]);
});
