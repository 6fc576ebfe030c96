import {performance} from 'node:perf_hooks';
import {configurationObjectsSchema, type ConfigurationObjects} from '@camphortack/configuration';
import {
	createConfigurationFollower, createKeeper, type ConfigurationFollower, type Keeper,
} from '@camphortack/consensus';
import {
	createSeededRandomSource, PeerNetwork, type Member, type PeerMessage,
} from '@camphortack/core';
import {createMemoryDisk, createMemoryRecordLog} from '@camphortack/storage';
import {
	FakeNetwork, RecordingEventLog, RecordingMetricSink, VirtualTimers,
} from '@camphortack/testkit';

/** The traffic of one daemon. */
export type Traffic = {
	sentBytes: number;
	sentMessages: number;
	receivedBytes: number;
	receivedMessages: number;
	/** The real time spent handling received messages, including the encoding of the messages sent in response. */
	handlingMs: number;
};

export type ConsensusFleetOptions = {
	zoneCount: number;
	/** The number of daemons in each zone, including the one that runs the zone's keeper. */
	daemonsPerZone: number;
	/** The number of zones with a keeper, which are the first ones. */
	keeperCount: number;
	seed?: number;
};

type FleetDaemon = {
	keeper?: Keeper;
	follower?: ConfigurationFollower;
	traffic: Traffic;
};

const oneWayDelayMs = 1;
const syncMs = 5;

/** Simulates keepers and followers of many zones in virtual time and counts their traffic. */
export class ConsensusFleet {
	readonly timers = new VirtualTimers();
	readonly daemons = new Map<string, FleetDaemon>();
	/** When the last daemon applied each version. */
	readonly lastAppliedAtMs = new Map<number, number>();
	/** How many daemons applied each version. */
	readonly appliedCounts = new Map<number, number>();
	readonly network: FakeNetwork;
	readonly #random;
	readonly #members: Member[] = [];
	readonly #keeperIds: string[];

	constructor(options: ConsensusFleetOptions) {
		const {zoneCount, daemonsPerZone, keeperCount, seed = 1} = options;
		this.#random = createSeededRandomSource(seed);
		this.network = new FakeNetwork({
			timers: this.timers, random: this.#random, minDelayMs: oneWayDelayMs, maxDelayMs: oneWayDelayMs,
		});
		this.#keeperIds = Array.from({length: keeperCount}, (_, zone) => `zone-${zone}-daemon-0`);
		for (let zone = 0; zone < zoneCount; zone++) {
			for (let index = 0; index < daemonsPerZone; index++) {
				this.#addDaemon(`zone-${zone}-daemon-${index}`, `zone-${zone}`);
			}
		}

		this.distributeMembers();
		this.timers.advance(15_000);
	}

	/** Passes to each daemon the members of its zone and all keepers. */
	distributeMembers(): void {
		const keepers = this.#members.filter(member => member.roles.includes('keeper'));
		const byZone = new Map<string, Member[]>();
		for (const member of this.#members) {
			byZone.set(member.availabilityZone, [...(byZone.get(member.availabilityZone) ?? []), member]);
		}

		for (const member of this.#members) {
			const known = [...byZone.get(member.availabilityZone)!, ...keepers.filter(keeper => keeper.availabilityZone !== member.availabilityZone)];
			const daemon = this.daemons.get(member.id)!;
			daemon.keeper?.setMembers(known);
			daemon.follower!.setMembers(known);
		}
	}

	findLeaderId(): string | undefined {
		return this.#keeperIds.find(id => this.daemons.get(id)!.keeper!.getStatus().role === 'leader');
	}

	/** Publishes through the leader, advances the clock and returns the new version. */
	publish(publishId: string, objects: ConfigurationObjects, durationMs: number): number {
		const keeper = this.daemons.get(this.findLeaderId()!)!.keeper!;
		const baseVersion = keeper.getStatus().version;
		keeper.publish({
			baseVersion, publishId, objects, author: 'anna',
		}, () => undefined);
		this.timers.advance(durationMs);
		return baseVersion + 1;
	}

	/** Stops a daemon without notice to the others, as a crash does. */
	crash(id: string): void {
		const daemon = this.daemons.get(id)!;
		daemon.keeper?.stop();
		daemon.follower?.stop();
		this.network.removePeer(id);
	}

	resetTraffic(): void {
		for (const {traffic} of this.daemons.values()) {
			Object.assign(traffic, {
				sentBytes: 0, sentMessages: 0, receivedBytes: 0, receivedMessages: 0, handlingMs: 0,
			});
		}
	}

	#addDaemon(id: string, availabilityZone: string): void {
		const daemon: FleetDaemon = {
			traffic: {
				sentBytes: 0, sentMessages: 0, receivedBytes: 0, receivedMessages: 0, handlingMs: 0,
			},
		};
		this.daemons.set(id, daemon);
		const isKeeper = this.#keeperIds.includes(id);
		const shared = {
			ownId: id,
			availabilityZone,
			peers: this.#addPeer(id),
			timers: this.timers,
			random: this.#random,
			events: new RecordingEventLog(),
			metrics: new RecordingMetricSink(),
		};
		if (isKeeper) {
			const log = createMemoryRecordLog({timers: this.timers, disk: createMemoryDisk(), syncDurationMs: syncMs});
			daemon.keeper = createKeeper({...shared, log, initialKeeperIds: this.#keeperIds});
		}

		daemon.follower = createConfigurationFollower({
			...shared,
			keeper: daemon.keeper,
			onConfiguration: ({version}) => {
				this.lastAppliedAtMs.set(version, this.timers.getNowMs());
				this.appliedCounts.set(version, (this.appliedCounts.get(version) ?? 0) + 1);
			},
		});
		this.#members.push({
			id,
			incarnation: '1',
			availabilityZone,
			roles: isKeeper ? ['entry', 'keeper'] : ['entry'],
			host: '127.0.0.1',
			peerPort: 1,
		});
	}

	#addPeer(id: string): PeerNetwork {
		const receive = (from: string, message: PeerMessage) => {
			const daemon = this.daemons.get(id)!;
			const receiver = message.kind.startsWith('consensus.') ? daemon.keeper : daemon.follower;
			const startedAtMs = performance.now();
			receiver?.handlePeerMessage(from, message);
			daemon.traffic.handlingMs += performance.now() - startedAtMs;
		};

		const count = (toId: string, sizeBytes: number) => {
			const {traffic} = this.daemons.get(id)!;
			traffic.sentBytes += sizeBytes;
			traffic.sentMessages++;
			const receiver = this.daemons.get(toId);
			if (receiver !== undefined) {
				receiver.traffic.receivedBytes += sizeBytes;
				receiver.traffic.receivedMessages++;
			}
		};

		const inner = this.network.addPeer(id, receive);
		const {totals} = this.network;
		return new class extends PeerNetwork {
			override send(peerId: string, message: PeerMessage): void {
				const before = totals.sentBytes;
				inner.send(peerId, message);
				count(peerId, totals.sentBytes - before);
			}
		}();
	}
}

/** The number of customers of the deployment size that the design targets. */
const defaultCustomerCount = 480;
const servicesPerCustomer = 2;

/**
 * Creates configuration objects with a limit and two services for each customer. The weight of one customer differs between versions.
 * @param version - The version, which selects the customer and its weight.
 * @param customerCount - The number of customers. The default is that of the deployment size that the design targets.
 */
export function createFleetObjects(version: number, customerCount = defaultCustomerCount): ConfigurationObjects {
	const customers = Array.from({length: customerCount}, (_, index): [string, unknown] => [`customer-${index}`, {
		weight: index === version % customerCount ? 2 + (version / 1000) : 1,
		limits: [`limit-${index}`],
		tokenHashes: [index.toString(16).padStart(64, '0')],
	}]);
	return configurationObjectsSchema.parse({
		pools: {general: {}},
		services: Object.fromEntries(Array.from({length: servicesPerCustomer * customerCount}, (_, index) => [`service-${index}`, {pool: 'general'}])),
		limits: Object.fromEntries(Array.from({length: customerCount}, (_, index) => [`limit-${index}`, {tasksPerSecond: 100}])),
		customers: Object.fromEntries(customers),
	});
}
