import {configurationSchema, type Configuration} from '@camphortack/configuration';
import {backendServerAnnouncementSchema, createSeededRandomSource, type Member} from '@camphortack/core';
import {createDispatcher, type Dispatcher} from '@camphortack/dispatch';
import {RecordingEventLog, RecordingMetricSink} from '@camphortack/testkit';
import {getLatencyMs, getZoneName} from '../bench/deployments.js';
import {SimulatedNetwork} from './simulated-network.js';
import {SimulatedStarter} from './simulated-starter.js';
import type {CreatePolicy, PolicyContext} from './simulation.js';
import {unlimitedLimiter} from './unlimited-limiter.js';
import {meanTaskMs} from './workload.js';

/** Kinds of messages between dispatchers that carry neither a request nor its answer. */
const wastedMessageKinds = [
	'dispatch.heartbeat', 'dispatch.query', 'dispatch.cancel', 'dispatch.release', 'dispatch.server-renewed', 'dispatch.draining',
];
const startUpMs = 5000;

/** Runs the production dispatchers against the simulated fleet. */
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
			limits: unlimitedLimiter,
		});
		starter.onEvent = dispatcher.handleTaskEvent;
		dispatcher.setConfiguration(configuration);
		dispatcher.setMembers(members);
		return dispatcher;
	});
	announceServers(context, dispatchers);
	timers.advance(startUpMs);
	const wastedBefore = network.getSentCount(wastedMessageKinds);

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
		getWastedMessages: () => network.getSentCount(wastedMessageKinds) - wastedBefore
			+ (2 * metrics.getCount('part-refused'))
			+ (2 * metrics.getCount('retry-not-run'))
			+ metrics.getCount('retry-connect-refused')
			+ metrics.getCount('retry-idempotent')
			+ metrics.getCount('answer-discarded-doubled'),
		setZonePartition(zone) {
			network.setCut((from, to) => zone !== undefined && (zones.get(from) === zone) !== (zones.get(to) === zone));
			for (const [index, dispatcher] of dispatchers.entries()) {
				const isInPartitionedZone = members[index]!.availabilityZone === zone;
				const reachableMembers = members.filter(member => zone === undefined || (member.availabilityZone === zone) === isInPartitionedZone);
				timers.addTimer(zone === undefined ? 0 : failureDetectionMs, () => {
					dispatcher.setMembers(reachableMembers);
				});
			}
		},
	};
};

/** The time after which the membership reports a daemon as lost. */
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

/** Announces each backend server to a daemon of its zone. A server renews its announcement only while it runs no tasks. */
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
