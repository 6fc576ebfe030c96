import process from 'node:process';
import {configurationObjectsSchema} from '@camphortack/configuration';
import {
	backendServerAnnouncementSchema, createSeededRandomSource, type Job, type Member,
} from '@camphortack/core';
import {createDispatcher, TaskStarter, type Dispatcher} from '@camphortack/dispatch';
import {createDistributedLimiter} from '@camphortack/policy';
import {
	FakeNetwork, RecordingEventLog, RecordingMetricSink, VirtualTimers,
} from '@camphortack/testkit';
import type {Slope} from './slope.js';

const backendServerCounts = [250, 500, 1000, 2000];
const queuedTaskCounts = [15_000, 30_000, 60_000];
const customerCounts = [60, 120, 240, 480];
const tasksPerJob = 150;
const longDeadlineMs = 600_000;

/** Never starts a task, so that every task stays queued or keeps its slot. */
class IdleStarter extends TaskStarter {
	override start(): void {
		// The tasks never run, so their slots stay busy.
	}

	override stop(): void {
		// No task was started.
	}
}

/** Measures the memory of an entry daemon's components. Run node with --expose-gc to exclude uncollected garbage from the results. */
export async function measureDispatchSlopes(): Promise<Slope[]> {
	return [
		measureMemory('dispatcher-memory-by-backend-servers', backendServerCounts, count => createLoadedDispatcher(count, 0)),
		measureMemory('dispatcher-memory-by-queued-tasks', queuedTaskCounts, count => createLoadedDispatcher(1, count)),
		measureMemory('limit-book-memory-by-customers', customerCounts, createLoadedLimiter),
	];
}

function measureMemory(name: string, sizes: readonly number[], create: (size: number) => unknown): Slope {
	const points = sizes.map(size => {
		const before = getHeapBytes();
		const part = create(size);
		const value = getHeapBytes() - before;
		return {size, value, part};
	});
	return {name, unit: 'B', points: points.map(({size, value}) => ({size, value}))};
}

function getHeapBytes(): number {
	globalThis.gc?.();
	return process.memoryUsage().heapUsed;
}

const ownMember: Member = {
	id: 'daemon-1', incarnation: 'one', availabilityZone: 'zone-1', roles: ['entry'], host: '127.0.0.1', peerPort: 1,
};

function createLoadedDispatcher(serverCount: number, taskCount: number): Dispatcher {
	const timers = new VirtualTimers();
	const random = createSeededRandomSource(1);
	const peers = new FakeNetwork({timers, random}).addPeer(ownMember.id, () => undefined);
	const sources = {
		ownId: ownMember.id,
		incarnation: ownMember.incarnation,
		availabilityZone: ownMember.availabilityZone,
		timers,
		random,
		peers,
		metrics: new RecordingMetricSink(),
		events: new RecordingEventLog(),
	};
	const limiter = createDistributedLimiter({...sources, earlierUse: 'none'});
	const dispatcher = createDispatcher({
		...sources,
		starter: new IdleStarter(),
		limits: limiter,
	});
	const objects = configurationObjectsSchema.parse({
		pools: {walnut: {}}, services: {quote: {pool: 'walnut', mostQueuedTasks: 1_000_000, declaredRunTimeMs: 1}}, customers: {workshop: {}},
	});
	limiter.setConfiguration({version: 1, objects});
	dispatcher.setConfiguration({version: 1, objects});
	limiter.setMembers([ownMember]);
	dispatcher.setMembers([ownMember]);
	for (let index = 0; index < serverCount; index++) {
		dispatcher.announceBackendServer(createAnnouncement(index));
	}

	for (let index = 0; index < taskCount / tasksPerJob; index++) {
		dispatcher.submitJob(createJob(index), outcome => {
			console.error(JSON.stringify(outcome));
		});
	}

	return dispatcher;
}

function createAnnouncement(index: number) {
	return backendServerAnnouncementSchema.parse({
		id: `backend-server-${index}`,
		incarnation: `incarnation-${index}`,
		host: '10.0.0.1',
		port: 9000,
		availabilityZone: 'zone-1',
		rack: `rack-${Math.floor(index / 8)}`,
		slots: 8,
		services: ['quote'],
		timeToLiveMs: longDeadlineMs,
	});
}

function createJob(index: number): Job {
	return {
		id: `job-${index}`,
		customer: 'workshop',
		service: 'quote',
		deadlineMs: longDeadlineMs,
		idempotent: false,
		tasks: Array.from({length: tasksPerJob}, (_, task) => ({payload: {index, task}})),
	};
}

function createLoadedLimiter(customerCount: number): unknown {
	const timers = new VirtualTimers();
	const random = createSeededRandomSource(1);
	const peers = new FakeNetwork({timers, random}).addPeer(ownMember.id, () => undefined);
	const limiter = createDistributedLimiter({
		ownId: ownMember.id,
		incarnation: ownMember.incarnation,
		availabilityZone: ownMember.availabilityZone,
		timers,
		random,
		metrics: new RecordingMetricSink(),
		events: new RecordingEventLog(),
		peers,
		earlierUse: 'none',
	});
	const names = Array.from({length: customerCount}, (_, index) => `customer-${index}`);
	const objects = configurationObjectsSchema.parse({
		limits: Object.fromEntries(names.map(name => [name, {tasksPerSecond: 1000, tasksInFlight: 1000, workerSecondsPerHour: 100_000}])),
		customers: Object.fromEntries(names.map(name => [name, {limits: [name]}])),
	});
	limiter.setConfiguration({version: 1, objects});
	limiter.setMembers([ownMember]);
	timers.advance(10_000);
	return limiter;
}
