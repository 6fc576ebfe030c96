import {configurationSchema, type Configuration} from '@camphortack/configuration';
import {
	backendServerAnnouncementSchema, createSeededRandomSource, type BackendServerAnnouncement, type Job, type JobOutcome,
} from '@camphortack/core';
import type {Limiter} from '@camphortack/policy';
import * as testkit from '@camphortack/testkit';
import {createDispatcher, type Dispatcher} from '../../src/index.js';
import {FakeTaskStarter, type FakeBehaviour} from './fake-task-starter.js';

export type TestDispatcher = {
	timers: testkit.VirtualTimers;
	metrics: testkit.RecordingMetricSink;
	events: testkit.RecordingEventLog;
	starter: FakeTaskStarter;
	dispatcher: Dispatcher;
	limitCalls: string[];
	/** Submits a job and returns the array that its outcome will be appended to. */
	submit: (job: Partial<Job> & {id: string}, taskCount?: number) => JobOutcome[];
};

export function createTestConfiguration(service: Record<string, unknown> = {}): Configuration {
	return configurationSchema.parse({
		version: 1,
		objects: {
			pools: {main: {largestBackendServer: {processors: 64}}},
			services: {price: {pool: 'main', declaredRunTimeMs: 100, ...service}},
			customers: {chain: {}},
		},
	});
}

export function createTestAnnouncement(id: string, other: Partial<BackendServerAnnouncement> = {}): BackendServerAnnouncement {
	return backendServerAnnouncementSchema.parse({
		id,
		incarnation: 'one',
		host: '127.0.0.1',
		port: 9000,
		availabilityZone: 'zone-a',
		slots: 8,
		processors: 64,
		services: ['price'],
		...other,
	});
}

/** Creates the dispatcher of a single daemon with two backend servers of 8 slots each. */
export function createTestDispatcher(behave?: FakeBehaviour, service?: Record<string, unknown>, mayExtend = () => true): TestDispatcher {
	const timers = new testkit.VirtualTimers();
	const random = createSeededRandomSource(1);
	const metrics = new testkit.RecordingMetricSink();
	const events = new testkit.RecordingEventLog();
	const starter = new FakeTaskStarter(timers, behave);
	const limitCalls: string[] = [];
	const network = new testkit.FakeNetwork({timers, random});
	const dispatcher = createDispatcher({
		ownId: 'daemon-1',
		incarnation: 'one',
		availabilityZone: 'zone-a',
		timers,
		random,
		metrics,
		events,
		peers: network.addPeer('daemon-1', () => undefined),
		starter,
		limits: createRecordingLimiter(limitCalls, mayExtend),
	});
	starter.onEvent = dispatcher.handleTaskEvent;
	dispatcher.setConfiguration(createTestConfiguration(service));
	dispatcher.setMembers([{
		id: 'daemon-1', incarnation: 'one', availabilityZone: 'zone-a', roles: ['entry'], host: '127.0.0.1', peerPort: 1,
	}]);
	dispatcher.announceBackendServer(createTestAnnouncement('server-1'));
	dispatcher.announceBackendServer(createTestAnnouncement('server-2'));
	return {
		timers,
		metrics,
		events,
		starter,
		dispatcher,
		limitCalls,
		submit(job, taskCount = 1) {
			const outcomes: JobOutcome[] = [];
			const tasks = Array.from({length: taskCount}, (_, index) => ({payload: index}));
			dispatcher.submitJob({
				customer: 'chain', service: 'price', deadlineMs: 10_000, idempotent: false, tasks, ...job,
			}, outcome => {
				outcomes.push(outcome);
			});
			return outcomes;
		},
	};
}

export function createRecordingLimiter(calls: string[], mayExtend: () => boolean): Limiter {
	return {
		admitJob({jobId}) {
			calls.push(`admit ${jobId}`);
			return {isAdmitted: true};
		},
		requestAdmission({jobId}, onDecision) {
			calls.push(`admit ${jobId}`);
			onDecision({isAdmitted: true});
		},
		extendTask(jobId, workerSeconds) {
			calls.push(`extend ${jobId} by ${workerSeconds}`);
			return mayExtend();
		},
		endTask(jobId, usedWorkerSeconds) {
			calls.push(`end ${jobId} after ${usedWorkerSeconds}`);
		},
		releaseTask(jobId) {
			calls.push(`not-run ${jobId}`);
		},
		closeJob(jobId) {
			calls.push(`close ${jobId}`);
		},
	};
}
