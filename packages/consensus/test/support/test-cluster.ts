import {createSeededRandomSource, type Member, type PeerMessage} from '@camphortack/core';
import {
	FakeNetwork, RecordingEventLog, RecordingMetricSink, ProcessTimers, VirtualTimers, type FakeNetworkOptions,
} from '@camphortack/testkit';
import {createMemoryDisk, createMemoryRecordLog, type MemoryRecordLog} from '@camphortack/storage';
import {
	createConfigurationFollower, createEvacuationClient, createKeeper, type ConfigurationFollower, type EvacuationClient, type Keeper, type KeeperTimings,
} from '../../src/index.js';
import {addLogFault, type LogFault} from './add-log-fault.js';
import {CommittedEntries} from './committed-entries.js';

export type TestClusterOptions = {
	seed?: number;
	keeperIds?: readonly string[];
	/** The initial list of each keeper. Defaults to `keeperIds`. */
	initialKeeperIds?: readonly string[];
	zoneOf?: (id: string) => string;
	network?: Partial<FakeNetworkOptions>;
	syncMs?: number;
	maxVoters?: number;
	voterReplacementMs?: number;
	timings?: KeeperTimings;
	fault?: ClusterFault;
	/** The maximum clock drift, as a fraction. */
	driftRatio?: number;
	/** The ids of the seeds of every daemon. */
	seedIds?: readonly string[];
};

/** Injected faults, which the tests must detect. */
export type ClusterFault = LogFault | 'confirms-always' | 'keeps-identity';

/** Keepers and followers on a simulated network, simulated disks and virtual time. */
export class TestCluster {
	readonly timers = new VirtualTimers();
	readonly events = new RecordingEventLog();
	readonly metrics = new RecordingMetricSink();
	readonly network: FakeNetwork;
	readonly keepers = new Map<string, Keeper>();
	readonly disks = new Map<string, ReturnType<typeof createMemoryDisk>>();
	readonly logs = new Map<string, MemoryRecordLog>();
	readonly followers = new Map<string, ConfigurationFollower>();
	readonly clients = new Map<string, EvacuationClient>();
	/** What each daemon activated since its start, in order: zones in which no task may start, and versions. */
	readonly activations = new Map<string, Array<readonly string[] | number>>();
	/** The daemons that drop messages about evacuations, as an earlier version does. */
	readonly earlierIds = new Set<string>();
	/** The versions that became active on each daemon, with their times, across all its restarts. */
	readonly versions = new Map<string, Array<{version: number; atMs: number}>>();
	readonly nodeTimers = new Map<string, ProcessTimers>();
	readonly committedEntries = new CommittedEntries();
	readonly random;
	/** Receives the messages between daemons in their place, and delivers them as they are, changed, later, twice or not at all. */
	interceptMessage?: (message: PeerMessage, route: {fromId: string; toId: string}, deliver: (message: PeerMessage) => void) => void;
	/** Called when a version has become active on a daemon. */
	onActivation?: (id: string, version: number, digest: number | undefined) => void;
	readonly #options: TestClusterOptions;
	readonly #startCounts = new Map<string, number>();

	constructor(options: TestClusterOptions = {}) {
		this.#options = options;
		this.random = createSeededRandomSource(options.seed ?? 1);
		this.network = new FakeNetwork({timers: this.timers, random: this.random, ...options.network});
		for (const id of options.keeperIds ?? ['a', 'b', 'c']) {
			this.disks.set(id, createMemoryDisk());
			this.start(id);
		}
	}

	start(id: string): Keeper {
		const {initialKeeperIds, keeperIds, syncMs, maxVoters, voterReplacementMs, timings, fault} = this.#options;
		const timers = this.#startTimers(id);
		const log = createMemoryRecordLog({timers, disk: this.disks.get(id)!, syncDurationMs: syncMs});
		this.logs.set(id, log);
		const keeper = createKeeper({
			ownId: id,
			availabilityZone: this.getZone(id),
			log: this.committedEntries.watch(addLogFault(log, timers, fault)),
			peers: this.network.addPeer(id, (from, message) => {
				this.handleMessage(id, from, message);
			}),
			timers,
			random: this.random,
			events: this.events,
			metrics: this.metrics,
			initialKeeperIds: initialKeeperIds ?? keeperIds ?? ['a', 'b', 'c'],
			maxVoters,
			voterReplacementMs,
			timings,
		});
		this.keepers.set(id, keeper);
		return keeper;
	}

	/** Starts the follower of a daemon, connected to the daemon's keeper if it has one. */
	startFollower(id: string, hasDisk = false): ConfigurationFollower {
		const keeper = this.#findKeeperForFollower(id);
		const timers = this.keepers.has(id) ? this.nodeTimers.get(id)! : this.#startTimers(id);
		const versions = this.versions.get(id) ?? [];
		this.versions.set(id, versions);
		const activations: Array<readonly string[] | number> = [];
		this.activations.set(id, activations);
		const peers = this.network.addPeer(id, (from, message) => {
			this.handleMessage(id, from, message);
		});
		const follower = createConfigurationFollower({
			ownId: id,
			availabilityZone: this.getZone(id),
			peers,
			timers,
			random: this.random,
			events: this.events,
			metrics: this.metrics,
			log: hasDisk ? this.openFollowerLog(id) : undefined,
			keeper,
			onConfiguration: ({version}) => {
				versions.push({version, atMs: this.timers.getNowMs()});
				activations.push(version);
				this.onActivation?.(id, version, this.followers.get(id)?.getStatus().digest);
			},
			onClosedZones(zones) {
				activations.push(zones);
			},
		});
		this.followers.set(id, follower);
		this.clients.set(id, createEvacuationClient({
			ownId: id, seedIds: this.#options.seedIds, peers, timers, random: this.random, metrics: this.metrics, follower, keeper,
		}));
		return follower;
	}

	openFollowerLog(id: string): MemoryRecordLog {
		const disk = this.disks.get(id) ?? createMemoryDisk();
		this.disks.set(id, disk);
		const log = createMemoryRecordLog({timers: this.timers, disk});
		this.logs.set(id, log);
		return log;
	}

	/** Gives the list of live daemons to every keeper and follower. */
	shareMembers(): void {
		const members = [...new Set([...this.keepers.keys(), ...this.followers.keys()])].map(id => this.getMember(id));
		for (const part of [...this.keepers.values(), ...this.followers.values(), ...this.clients.values()]) {
			part.setMembers(members);
		}
	}

	handleMessage(id: string, from: string, message: PeerMessage): void {
		if (this.interceptMessage === undefined) {
			this.#deliver(id, from, message);
			return;
		}

		this.interceptMessage(message, {fromId: from, toId: id}, delivered => {
			this.#deliver(id, from, delivered);
		});
	}

	crash(id: string): void {
		this.keepers.get(id)?.stop();
		this.keepers.delete(id);
		this.followers.get(id)?.stop();
		this.followers.delete(id);
		this.clients.get(id)?.stop();
		this.clients.delete(id);
		this.logs.get(id)?.crash();
		this.network.removePeer(id);
	}

	restart(id: string): Keeper {
		this.crash(id);
		return this.start(id);
	}

	loseDisk(id: string): void {
		this.crash(id);
		const disk = createMemoryDisk();
		if (this.#options.fault === 'keeps-identity') {
			disk.records.push(...this.disks.get(id)!.records.slice(0, 1));
		}

		this.disks.set(id, disk);
	}

	createDisk(): ReturnType<typeof createMemoryDisk> {
		return createMemoryDisk();
	}

	/** Starts a keeper that is not in the initial list. */
	add(id: string): Keeper {
		this.disks.set(id, createMemoryDisk());
		const keeper = this.start(id);
		keeper.setMembers([...this.keepers.keys()].map(keeperId => this.getMember(keeperId)));
		return keeper;
	}

	getZone(id: string): string {
		return this.#options.zoneOf?.(id) ?? `zone-${id}`;
	}

	getMember(id: string): Member {
		return {
			id,
			incarnation: String(this.#startCounts.get(id)),
			availabilityZone: this.getZone(id),
			roles: this.keepers.has(id) ? ['entry', 'keeper'] : ['entry'],
			host: '127.0.0.1',
			peerPort: 1,
		};
	}

	findLeaders(): string[] {
		return [...this.keepers].filter(([, keeper]) => keeper.getStatus().role === 'leader').map(([id]) => id);
	}

	getLeader(): Keeper {
		return this.keepers.get(this.findLeaders()[0]!)!;
	}

	#deliver(id: string, from: string, message: PeerMessage): void {
		const [name] = message.kind.split('.', 1);
		const part = name === 'consensus' ? this.keepers.get(id) ?? this.clients.get(id) : this.followers.get(id);
		const client = this.earlierIds.has(id) ? undefined : this.clients.get(id);
		this.nodeTimers.get(id)!.run(() => (name === 'evacuations' ? client : part)?.handlePeerMessage(from, message));
	}

	#startTimers(id: string): ProcessTimers {
		const driftRatio = this.#options.driftRatio ?? 0;
		const timers = new ProcessTimers(this.timers, 1 + (driftRatio * ((2 * this.random.getFraction()) - 1)));
		this.nodeTimers.set(id, timers);
		this.#startCounts.set(id, (this.#startCounts.get(id) ?? 0) + 1);
		return timers;
	}

	#findKeeperForFollower(id: string): Keeper | undefined {
		const keeper = this.keepers.get(id);
		if (keeper === undefined || this.#options.fault !== 'confirms-always') {
			return keeper;
		}

		return {
			...keeper,
			confirm(onEnd) {
				onEnd(true);
			},
		};
	}
}
