import {
	createSeededRandomSource, type Job, type JobOutcome, type Member,
} from '@camphortack/core';
import * as testkit from '@camphortack/testkit';
import {createDispatcher, type Dispatcher} from '../../src/index.js';
import {createRecordingLimiter} from './create-test-dispatcher.js';
import {FakeTaskStarter, type FakeBehaviour} from './fake-task-starter.js';

export type TestDispatchers = {
	timers: testkit.VirtualTimers;
	dispatchers: Map<string, Dispatcher>;
	starters: Map<string, FakeTaskStarter>;
	/** The number of messages by sender, receiver and kind, as in `a1>b1 dispatch.job`. */
	messageCounts: Map<string, number>;
	/** Submits a job to a daemon and returns the array that its outcome will be appended to. */
	submit: (daemonId: string, job: Partial<Job> & {id: string}) => JobOutcome[];
};

/**
 * Creates dispatchers that are connected to each other, without a configuration and without backend servers.
 * @param zones - The availability zone of each daemon, by id.
 * @param behave - How backend servers respond to tasks.
 */
export function createTestDispatchers(zones: Record<string, string>, behave?: FakeBehaviour): TestDispatchers {
	const timers = new testkit.VirtualTimers();
	const random = createSeededRandomSource(1);
	const network = new testkit.FakeNetwork({timers, random});
	const dispatchers = new Map<string, Dispatcher>();
	const starters = new Map<string, FakeTaskStarter>();
	const messageCounts = new Map<string, number>();
	const members: Member[] = Object.entries(zones).map(([id, availabilityZone]) => ({
		id, incarnation: 'one', availabilityZone, roles: ['entry'], host: '127.0.0.1', peerPort: 1,
	}));
	for (const {id, availabilityZone} of members) {
		const starter = new FakeTaskStarter(timers, behave);
		const dispatcher = createDispatcher({
			ownId: id,
			incarnation: 'one',
			availabilityZone,
			timers,
			random,
			metrics: new testkit.RecordingMetricSink(),
			events: new testkit.RecordingEventLog(),
			peers: network.addPeer(id, (from, message) => {
				const key = `${from}>${id} ${message.kind}`;
				messageCounts.set(key, (messageCounts.get(key) ?? 0) + 1);
				dispatcher.handlePeerMessage(from, message);
			}),
			starter,
			limits: createRecordingLimiter([], () => true),
		});
		starter.onEvent = dispatcher.handleTaskEvent;
		dispatchers.set(id, dispatcher);
		starters.set(id, starter);
	}

	for (const dispatcher of dispatchers.values()) {
		dispatcher.setMembers(members);
	}

	return {
		timers,
		dispatchers,
		starters,
		messageCounts,
		submit(daemonId, job) {
			const outcomes: JobOutcome[] = [];
			dispatchers.get(daemonId)!.submitJob({
				customer: 'chain', service: 'price', deadlineMs: 10_000, idempotent: false, tasks: [{payload: 0}], ...job,
			}, outcome => {
				outcomes.push(outcome);
			});
			return outcomes;
		},
	};
}
