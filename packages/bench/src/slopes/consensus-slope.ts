import {
	ConsensusFleet, createFleetObjects, type ConsensusFleetOptions, type Traffic,
} from './consensus-fleet.js';
import type {Slope} from './slope.js';

const sizes: Array<ConsensusFleetOptions & {size: number}> = [
	{
		size: 2, zoneCount: 1, daemonsPerZone: 2, keeperCount: 1,
	},
	{
		size: 8, zoneCount: 4, daemonsPerZone: 2, keeperCount: 3,
	},
	{
		size: 32, zoneCount: 4, daemonsPerZone: 8, keeperCount: 4,
	},
	{
		size: 128, zoneCount: 4, daemonsPerZone: 32, keeperCount: 4,
	},
	{
		size: 3120, zoneCount: 24, daemonsPerZone: 130, keeperCount: 24,
	},
];
const measuredSeconds = 24;
/** The traffic of a change does not depend on the number of objects, so fleets with many daemons use a small set. */
const smallCustomerCount = 48;
/** 36,000 changes a day. */
const changeIntervalMs = 2400;

/** Measures consensus and configuration distribution in virtual time, and the handling time of a message in real time. */
export async function measureConsensusSlopes(): Promise<Slope[]> {
	const slopes = new Map<string, Slope>();
	const add = (name: string, unit: string, size: number, value: number) => {
		const slope = slopes.get(name) ?? {name, unit, points: []};
		slope.points.push({size, value: Math.round(value * 10) / 10});
		slopes.set(name, slope);
	};

	for (const options of sizes) {
		const fleet = new ConsensusFleet(options);
		fleet.publish('first', createFleetObjects(0, smallCustomerCount), 10_000);
		fleet.resetTraffic();
		fleet.timers.advance(measuredSeconds * 1000);
		addTraffic(fleet, 'idle', options.size, add);
		fleet.resetTraffic();
		const startedAtMs = publishRepeatedly(fleet);
		addTraffic(fleet, 'changing', options.size, add);
		fleet.timers.advance(4000);
		add('publish-to-in-force-everywhere-worst', 'ms', options.size, Math.max(...getDelays(fleet, startedAtMs, options.size)));
	}

	for (const keeperCount of [3, 5]) {
		add('election-worst-of-10', 'ms', keeperCount, Math.max(...measureElections(keeperCount)));
	}

	for (const missed of [10, 100, 1000]) {
		add('catch-up-bytes', 'B', missed, measureCatchUp(missed));
	}

	return [...slopes.values()];
}

type AddPoint = (name: string, unit: string, size: number, value: number) => void;

function publishRepeatedly(fleet: ConsensusFleet): number[] {
	const count = Math.round(measuredSeconds * 1000 / changeIntervalMs);
	return Array.from({length: count}, (_, index) => {
		const startedAtMs = fleet.timers.getNowMs();
		fleet.publish(`publish-${index}`, createFleetObjects(index + 1, smallCustomerCount), changeIntervalMs);
		return startedAtMs;
	});
}

/** Gets the time from each publish until the last daemon applied the version. Throws if a daemon never applied it. */
function getDelays(fleet: ConsensusFleet, startedAtMs: readonly number[], daemonCount: number): number[] {
	return startedAtMs.map((startMs, index) => {
		const version = index + 2;
		const count = fleet.appliedCounts.get(version) ?? 0;
		if (count !== daemonCount) {
			throw new Error(`version ${version} was applied by ${count} of ${daemonCount} daemons`);
		}

		return fleet.lastAppliedAtMs.get(version)! - startMs;
	});
}

function addTraffic(fleet: ConsensusFleet, state: 'idle' | 'changing', size: number, add: AddPoint): void {
	const busiestByRole = findBusiestByRole(fleet);
	for (const [role, traffic] of busiestByRole) {
		add(`${state}-sent-${role}`, 'B/s', size, traffic.sentBytes / measuredSeconds);
		add(`${state}-received-${role}`, 'B/s', size, traffic.receivedBytes / measuredSeconds);
		add(`${state}-messages-${role}`, 'messages/s', size, (traffic.sentMessages + traffic.receivedMessages) / measuredSeconds);
	}

	const all = [...fleet.daemons.values()].map(part => part.traffic);
	const messages = all.reduce((sum, traffic) => sum + traffic.receivedMessages, 0);
	const handlingMs = all.reduce((sum, traffic) => sum + traffic.handlingMs, 0);
	add(`${state}-handling-time-per-message`, 'µs', size, handlingMs * 1000 / Math.max(1, messages));
}

/** Finds the traffic of the busiest daemon of each role. */
function findBusiestByRole(fleet: ConsensusFleet): Map<string, Traffic> {
	const busiest = new Map<string, Traffic>();
	for (const {keeper, follower, traffic} of fleet.daemons.values()) {
		const daemonRole = follower!.getStatus().subscriberCount > 0 ? 'inner-daemon' : 'leaf-daemon';
		const role = keeper === undefined ? daemonRole : keeper.getStatus().role;
		const known = busiest.get(role);
		if (known === undefined || traffic.sentBytes + traffic.receivedBytes > known.sentBytes + known.receivedBytes) {
			busiest.set(role, {...traffic});
		}
	}

	return busiest;
}

/** Measures the time from a leader's crash until another keeper is the leader. */
function measureElections(keeperCount: number): number[] {
	return Array.from({length: 10}, (_, index) => {
		const fleet = new ConsensusFleet({
			zoneCount: keeperCount, daemonsPerZone: 1, keeperCount, seed: index + 1,
		});
		const leaderId = fleet.findLeaderId()!;
		const startedAtMs = fleet.timers.getNowMs();
		fleet.crash(leaderId);
		while (![...fleet.daemons].some(([id, {keeper}]) => id !== leaderId && keeper!.getStatus().role === 'leader')) {
			fleet.timers.advance(10);
		}

		return fleet.timers.getNowMs() - startedAtMs;
	});
}

/** Measures the bytes that a daemon receives to catch up after it missed a number of changes. */
function measureCatchUp(missed: number): number {
	const fleet = new ConsensusFleet({zoneCount: 1, daemonsPerZone: 2, keeperCount: 1});
	const keeperId = 'zone-0-daemon-0';
	const daemonId = 'zone-0-daemon-1';
	fleet.publish('first', createFleetObjects(0), 5000);
	fleet.network.partitionPeers([keeperId], [daemonId]);
	fleet.timers.advance(7000);
	for (let index = 1; index <= missed; index++) {
		fleet.publish(`publish-${index}`, createFleetObjects(index), 20);
	}

	fleet.resetTraffic();
	fleet.network.healLinks();
	const follower = fleet.daemons.get(daemonId)!.follower!;
	while (follower.getStatus().version <= missed) {
		fleet.timers.advance(10);
	}

	return fleet.daemons.get(daemonId)!.traffic.receivedBytes;
}
