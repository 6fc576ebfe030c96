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

/** What one daemon has sent and received. */
export type Traffic = {
	sentBytes: number;
	sentMessages: number;
	receivedBytes: number;
	receivedMessages: number;
	/** Time spent in handling what was received, in real time, with the encoding of what was sent in turn. */
	handlingMs: number;
};

export type ConsensusFleetOptions = {
	zoneCount: number;
	/** The daemons of each zone, the keeper's among them. */
	daemonsPerZone: number;
	/** The zones that have a keeper, counted from the first. */
	keeperCount: number;
	seed?: number;
};

type Part = {
	keeper?: Keeper;
	follower?: ConfigurationFollower;
	traffic: Traffic;
};

const oneWayDelayMs = 1;
const syncMs = 5;

/** Keepers and followers of many zones in virtual time, with their bytes counted. */
export class ConsensusFleet {
	readonly timers = new VirtualTimers();
	readonly parts = new Map<string, Part>();
	/** When the last daemon brought a version into force. */
	readonly lastInForceAtMs = new Map<number, number>();
	readonly inForceCounts = new Map<number, number>();
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

		this.shareMembers();
		this.timers.advance(15_000);
	}

	/** Tells each daemon of its zone and of all keepers. */
	shareMembers(): void {
		const keepers = this.#members.filter(member => member.roles.includes('keeper'));
		const byZone = new Map<string, Member[]>();
		for (const member of this.#members) {
			byZone.set(member.availabilityZone, [...(byZone.get(member.availabilityZone) ?? []), member]);
		}

		for (const member of this.#members) {
			const known = [...byZone.get(member.availabilityZone)!, ...keepers.filter(keeper => keeper.availabilityZone !== member.availabilityZone)];
			const part = this.parts.get(member.id)!;
			part.keeper?.setMembers(known);
			part.follower!.setMembers(known);
		}
	}

	findLeaderId(): string | undefined {
		return this.#keeperIds.find(id => this.parts.get(id)!.keeper!.getStatus().role === 'leader');
	}

	/** Publishes through the leader and moves the time on. */
	publish(publishId: string, objects: ConfigurationObjects, durationMs: number): number {
		const keeper = this.parts.get(this.findLeaderId()!)!.keeper!;
		const baseVersion = keeper.getStatus().version;
		keeper.publish({
			baseVersion, publishId, objects, author: 'anna',
		}, () => undefined);
		this.timers.advance(durationMs);
		return baseVersion + 1;
	}

	/** Stops a daemon's processes without a word, as a crash does. */
	crash(id: string): void {
		const part = this.parts.get(id)!;
		part.keeper?.stop();
		part.follower?.stop();
		this.network.removePeer(id);
	}

	resetTraffic(): void {
		for (const {traffic} of this.parts.values()) {
			Object.assign(traffic, {
				sentBytes: 0, sentMessages: 0, receivedBytes: 0, receivedMessages: 0, handlingMs: 0,
			});
		}
	}

	#addDaemon(id: string, availabilityZone: string): void {
		const part: Part = {
			traffic: {
				sentBytes: 0, sentMessages: 0, receivedBytes: 0, receivedMessages: 0, handlingMs: 0,
			},
		};
		this.parts.set(id, part);
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
			part.keeper = createKeeper({...shared, log, initialKeeperIds: this.#keeperIds});
		}

		part.follower = createConfigurationFollower({
			...shared,
			keeper: part.keeper,
			onConfiguration: ({version}) => {
				this.lastInForceAtMs.set(version, this.timers.getNowMs());
				this.inForceCounts.set(version, (this.inForceCounts.get(version) ?? 0) + 1);
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
			const part = this.parts.get(id)!;
			const receiver = message.kind.startsWith('consensus.') ? part.keeper : part.follower;
			const startedAtMs = performance.now();
			receiver?.handlePeerMessage(from, message);
			part.traffic.handlingMs += performance.now() - startedAtMs;
		};

		const count = (toId: string, sizeBytes: number) => {
			const {traffic} = this.parts.get(id)!;
			traffic.sentBytes += sizeBytes;
			traffic.sentMessages++;
			const receiver = this.parts.get(toId);
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

/** The customers of the size to design for. */
const allCustomers = 480;
const servicesPerCustomer = 2;

/**
 * Gets a set in which one customer's weight tells versions apart. It has a limit and two services for each customer.
 * @param version - Selects the customer and its weight.
 * @param customerCount - The number of customers; the size to design for unless stated.
 */
export function getFleetObjects(version: number, customerCount = allCustomers): ConfigurationObjects {
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
