import {configurationSchema, type Configuration} from '@camphortack/configuration';
import {backendServerAnnouncementSchema, createSeededRandomSource, type Member} from '@camphortack/core';
import {createDispatcher, type Dispatcher} from '@camphortack/dispatch';
import {RecordingEventLog, RecordingMetricSink} from '@camphortack/testkit';
import {getLatencyMs, getZoneName} from '../bench/deployments.js';
import {SimulatedNetwork} from './simulated-network.js';
import {SimulatedStarter} from './simulated-starter.js';
import type {CreatePolicy, PolicyContext} from './simulation.js';
import {unlimited} from './unlimited.js';
import {meanTaskMs} from './workload.js';

/** Messages between dispatchers that carry neither a request nor its answer. */
const wastedKinds = [
	'dispatch.heartbeat', 'dispatch.query', 'dispatch.cancel', 'dispatch.release', 'dispatch.server-renewed', 'dispatch.draining',
];
const startMs = 5000;

/** The real dispatchers over the simulated fleet. */
export const createCamphortackPolicy: CreatePolicy = context => {
	const {deployment, timers, random, fleet} = context;
	const metrics = new RecordingMetricSink();
	const members = createMembers(context);
	const zones = new Map(members.map(member => [member.id, member.availabilityZone]));
	const network = new SimulatedNetwork({
		timers,
		getLatencyMs: (from, to) => getLatencyMs(deployment, zones.get(from)!, zones.get(to)!),
	});
	const configuration = createConfiguration();
	const dispatchers = members.map((member, index) => {
		const starter = new SimulatedStarter(timers, fleet, zone => getLatencyMs(deployment, member.availabilityZone, zone));
		const peers = network.addPeer(member.id, (from, message) => {
			dispatcher.handlePeerMessage(from, message);
		});
		const dispatcher: Dispatcher = createDispatcher({
			ownId: member.id,
			incarnation: member.incarnation,
			availabilityZone: member.availabilityZone,
			timers,
			random: createSeededRandomSource(1000 + index),
			metrics,
			events: new RecordingEventLog(),
			peers,
			starter,
			limits: unlimited,
		});
		starter.onEvent = dispatcher.handleTaskEvent;
		dispatcher.setConfiguration(configuration);
		dispatcher.setMembers(members);
		return dispatcher;
	});
	announceServers(context, dispatchers);
	timers.advance(startMs);
	const wastedAtStart = network.getSentCount(wastedKinds);

	return {
		submit(job) {
			const dispatcher = dispatchers[random.getInteger(0, dispatchers.length - 1)]!;
			dispatcher.submitJob({
				id: job.id,
				customer: job.customer,
				service: 'price',
				deadlineMs: context.deadlineMs,
				idempotent: false,
				tasks: job.runTimesMs.map(payload => ({payload, declaredRunTimeMs: job.declaredRunTimeMs})),
			}, outcome => {
				context.onEnd(job, outcome.outcome === 'complete');
			});
		},
		getWastedMessages: () => network.getSentCount(wastedKinds) - wastedAtStart
			+ (2 * metrics.getCount('part-refused'))
			+ (2 * metrics.getCount('retry-not-run'))
			+ metrics.getCount('retry-connect-refused')
			+ metrics.getCount('retry-idempotent')
			+ metrics.getCount('answer-discarded-doubled'),
		setZoneCut(zone) {
			network.setCut((from, to) => zone !== undefined && (zones.get(from) === zone) !== (zones.get(to) === zone));
			for (const [index, dispatcher] of dispatchers.entries()) {
				const isInside = members[index]!.availabilityZone === zone;
				const seen = members.filter(member => zone === undefined || (member.availabilityZone === zone) === isInside);
				timers.addTimer(zone === undefined ? 0 : failureDetectionMs, () => {
					dispatcher.setMembers(seen);
				});
			}
		},
	};
};

/** How long the membership takes to tell that a daemon is gone. */
const failureDetectionMs = 3000;

function createMembers({deployment}: PolicyContext): Member[] {
	return Array.from({length: deployment.daemons}, (_, index) => ({
		id: `daemon-${index}`,
		incarnation: `first-${index}`,
		availabilityZone: getZoneName(deployment, index),
		roles: ['entry' as const],
		host: '127.0.0.1',
		peerPort: 1,
	}));
}

function createConfiguration(): Configuration {
	return configurationSchema.parse({
		version: 1,
		objects: {
			pools: {main: {}},
			services: {price: {pool: 'main', declaredRunTimeMs: meanTaskMs}},
			customers: Object.fromEntries(Array.from({length: 4}, (_, index) => [`customer-${index}`, {}])),
		},
	});
}

/** Each backend server announces itself to a daemon of its zone, and renews only while it gets no tasks. */
function announceServers({fleet, timers}: PolicyContext, dispatchers: readonly Dispatcher[]): void {
	for (const [index, server] of fleet.servers.entries()) {
		const announcement = backendServerAnnouncementSchema.parse({
			id: server.id,
			incarnation: 'first',
			host: '127.0.0.1',
			port: 1,
			availabilityZone: server.availabilityZone,
			slots: server.slots,
			services: ['price'],
		});
		const dispatcher = dispatchers[index % dispatchers.length]!;
		dispatcher.announceBackendServer(announcement);
		timers.addInterval(announcement.timeToLiveMs / 3, () => {
			if (server.busySlots === 0) {
				dispatcher.announceBackendServer(announcement);
			}
		});
	}
}
