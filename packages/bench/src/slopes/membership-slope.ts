import process from 'node:process';
import {
	createSeededRandomSource, type Member, type RandomSource, type TimerService,
} from '@camphortack/core';
import {createMembership, type Membership, type MembershipSeed} from '@camphortack/membership';
import {
	FakeNetwork, RecordingEventLog, RecordingMetricSink, VirtualTimers,
} from '@camphortack/testkit';
import type {Slope} from './slope.js';

type Sample = {
	messagesPerSecond: number;
	bytesPerSecond: number;
	processorMsPerSecond: number;
	detectionMs: number;
	restartBytes: number;
};

const zoneSizes = [2, 8, 32, 128];
const zoneCounts = [3, 4, 12, 24];
const daemonsPerZone = 4;
const settleMs = 30_000;
const measuredMs = 60_000;
const stepMs = 20;
const maxWaitMs = 30_000;
const millisecondsPerSecond = 1000;
const microsecondsPerMillisecond = 1000;

/**
 * Measures the cost of membership per daemon in virtual time. The simulation has no traffic of other components, which would save pings.
 *
 * @example
 * ```ts
 * for (const {name, unit, points} of await measureMembership()) {
 * 	console.log(name, unit, points);
 * }
 * ```
 */
export async function measureMembership(): Promise<Slope[]> {
	const byZoneSize = zoneSizes.map(size => ({size, sample: measureCluster(1, size)}));
	const byZoneCount = zoneCounts.map(size => ({size, sample: measureCluster(size, daemonsPerZone)}));
	return [
		...getSlopes('by daemons in one zone', byZoneSize),
		...getSlopes(`by zones of ${daemonsPerZone} daemons`, byZoneCount),
	];
}

function getSlopes(suffix: string, samples: ReadonlyArray<{size: number; sample: Sample}>): Slope[] {
	const getSlope = (name: string, unit: string, key: keyof Sample): Slope => ({
		name: `membership ${name}, ${suffix}`,
		unit,
		points: samples.map(({size, sample}) => ({size, value: sample[key]})),
	});
	return [
		getSlope('messages sent', 'messages/s a daemon', 'messagesPerSecond'),
		getSlope('bytes sent', 'bytes/s a daemon', 'bytesPerSecond'),
		getSlope('processor time with codec', 'ms/s a daemon', 'processorMsPerSecond'),
		getSlope('time until nobody lists a killed daemon', 'ms', 'detectionMs'),
		getSlope('bytes sent for one death and one restart', 'bytes a daemon', 'restartBytes'),
	];
}

function measureCluster(zoneCount: number, size: number): Sample {
	const cluster = createCluster(zoneCount, size);
	const daemonCount = zoneCount * size;
	cluster.timers.advance(settleMs);
	const totalsBefore = {...cluster.network.totals};
	const processorBefore = process.cpuUsage();
	cluster.timers.advance(measuredMs);
	const processor = process.cpuUsage(processorBefore);
	const {sentMessages, sentBytes} = cluster.network.totals;
	const measuredSeconds = measuredMs / millisecondsPerSecond;
	const bytesPerSecond = (sentBytes - totalsBefore.sentBytes) / measuredSeconds / daemonCount;
	const startMs = cluster.timers.getNowMs();
	const startBytes = cluster.network.totals.sentBytes;
	cluster.kill('zone1-1');
	const detectionMs = cluster.advanceUntilCount(daemonCount - 1);
	cluster.start('zone1-1');
	cluster.advanceUntilCount(daemonCount);
	cluster.timers.advance(settleMs);
	const elapsedSeconds = (cluster.timers.getNowMs() - startMs) / millisecondsPerSecond;
	const restartBytes = (cluster.network.totals.sentBytes - startBytes) / daemonCount;
	return {
		messagesPerSecond: (sentMessages - totalsBefore.sentMessages) / measuredSeconds / daemonCount,
		bytesPerSecond,
		processorMsPerSecond: (processor.user + processor.system) / microsecondsPerMillisecond / measuredSeconds / daemonCount,
		detectionMs,
		restartBytes: restartBytes - (bytesPerSecond * elapsedSeconds),
	};
}

type Cluster = {
	timers: VirtualTimers;
	network: FakeNetwork;
	start(id: string): void;
	kill(id: string): void;
	/** Advances the clock until every daemon lists this number of members, and returns the elapsed time. */
	advanceUntilCount(count: number): number;
};

function createCluster(zoneCount: number, size: number): Cluster {
	const timers = new VirtualTimers();
	const random = createSeededRandomSource(1);
	const network = new FakeNetwork({timers, random});
	const memberships = new Map<string, Membership>();
	const ids = Array.from({length: zoneCount}, (_, zone) => Array.from({length: size}, (__, index) => `zone${zone + 1}-${index + 1}`)).flat();
	const seeds = ids.filter(id => Number(id.split('-')[1]) <= 2).map((id): MembershipSeed => ({
		id, availabilityZone: getZone(id), host: 'host', port: 1,
	}));

	function start(id: string): void {
		memberships.set(id, startMembership(id, {
			timers, random, network, seeds,
		}));
	}

	function advanceUntilCount(count: number): number {
		const startMs = timers.getNowMs();
		while (timers.getNowMs() - startMs < maxWaitMs && [...memberships.values()].some(membership => membership.getMembers().length !== count)) {
			timers.advance(stepMs);
		}

		return timers.getNowMs() - startMs;
	}

	for (const id of ids) {
		// Daemons start at different times, as they do on different VMs.
		timers.advance(random.getInteger(0, stepMs));
		start(id);
	}

	return {
		timers,
		network,
		start,
		kill(id) {
			memberships.get(id)?.stop();
			memberships.delete(id);
			network.removePeer(id);
		},
		advanceUntilCount,
	};
}

type MembershipContext = {
	timers: TimerService;
	random: RandomSource;
	network: FakeNetwork;
	seeds: readonly MembershipSeed[];
};

function startMembership(id: string, {timers, random, network, seeds}: MembershipContext): Membership {
	const ownMember: Member = {
		id, incarnation: random.getIdentifier(), availabilityZone: getZone(id), roles: ['entry'], host: 'host', peerPort: 1,
	};
	const ignore = () => {
		// The members are polled with getMembers instead.
	};

	const peers = network.addPeer(id, (fromPeerId, message) => {
		membership.handlePeerMessage(fromPeerId, message);
	});
	const membership = createMembership({
		ownMember,
		seeds,
		peers,
		timers,
		random: createSeededRandomSource(random.getInteger(1, 0xFF_FF_FF)),
		metrics: new RecordingMetricSink(),
		events: new RecordingEventLog(),
		onMembersChanged: ignore,
		onAddress: ignore,
	});
	return membership;
}

function getZone(id: string): string {
	return id.slice(0, id.indexOf('-'));
}
