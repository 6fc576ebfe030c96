import {
	createSeededRandomSource, PeerNetwork, type EventFields, type EventName, type PeerMessage,
} from '@camphortack/core';
import type {BackendServerClient, JobOutcome} from '@camphortack/placement';
import {
	FakeNetwork, ProcessTimers, RecordingEventLog, RecordingMetricSink, VirtualTimers,
} from '@camphortack/testkit';
import {createFakeFleet, type FakeFleet, type FakeFleetOptions} from '../../../placement/test/support/fake-fleet.js';
import {SlowClient, type RequestCost} from '../../../placement/test/support/slow-client.js';
import {
	ClusterHintStore, createCluster, type Cluster, type ClusterHints, type EntryJob, type JobSubscription,
} from '../../src/index.js';
import {compareDaemonIds} from '../../src/utils/compare-daemon-ids.js';
import {ProcessClient} from './process-client.js';
import {toEarlierMessage} from './to-earlier-message.js';

export type TestDaemon = {
	id: string;
	availabilityZone: string;
	cluster: Cluster;
	timers: ProcessTimers;
	isUp: boolean;
};

export type TestCluster = {
	timers: VirtualTimers;
	network: FakeNetwork;
	fleet: FakeFleet;
	daemons: TestDaemon[];
	/** The submissions of jobs so far, repeated ones included. */
	submissions: Array<{jobId: string; daemonId: string}>;
	results: Array<{jobId: string; result: JobOutcome; atMs: number; daemonId: string}>;
	events: Array<{daemonId: string; name: EventName; fields: EventFields; atMs: number}>;
	find(id: string): TestDaemon;
	/** Gets the number of a daemon that its fencing tokens contain. */
	getDaemonNumber(id: string): number;
	/** Gets the daemon that most others follow. */
	getPlacer(): TestDaemon;
	submit(daemonId: string, jobId: string, rest?: Partial<EntryJob>): JobSubscription;
	kill(id: string): void;
	restart(id: string): void;
	/** Loses the hints of a daemon that is down, as when its disk is lost. */
	loseHints(id: string): void;
	/** Reports the backend servers whose processes run, all to the first live keeper that can reach them. */
	reportServers(): void;
	/** Partitions an availability zone from the others, backend servers included. */
	isolateZone(zone: string): void;
	/** Makes backend servers reachable again; links between daemons stay cut. */
	healServers(): void;
	/** Ends the partition. */
	heal(): void;
};

export type TestClusterOptions = Partial<FakeFleetOptions> & {
	/** The availability zones, each with one keeper that is a seed; a, b and c by default. */
	availabilityZones?: readonly string[];
	/** Whether the hints of keepers survive a restart; true by default. */
	keepsHints?: boolean;
	/** Whether each availability zone has a second keeper, which is not a seed. */
	hasSecondKeepers?: boolean;
	/** The daemons that send and understand messages as those of 0a63e12 do. None of them may become the placer. */
	earlierDaemonIds?: readonly string[];
	/** Number of entry daemons of each availability zone; 2 by default. */
	entriesPerZone?: number;
	/** Gets the processor share of a daemon's VM, if the daemon knows it. */
	getCpuMillicores?: (daemonId: string) => number | undefined;
	/** Gets what requests to backend servers cost a daemon; nothing by default. */
	getRequestCost?: (daemonId: string) => RequestCost | undefined;
	/** Called with each message that a daemon of the current version sends; each call of `send` sends it once. */
	interceptMessage?: (message: {fromId: string; toId: string; kind: string}, send: () => void) => void;
	/** Called with each message that arrives at a daemon of the current version. */
	onMessage?: (fromId: string, toId: string, message: PeerMessage) => void;
	/** Called with the content of each configuration that comes into force on a daemon. */
	onConfiguration?: (content: string) => void;
};

/**
 * Creates daemons in three availability zones unless stated otherwise, one keeper and two entry daemons in each, with one fake fleet.
 * @param options - The options of the fleet and of the daemons.
 */
export function createTestCluster(options: TestClusterOptions = {}): TestCluster {
	const {availabilityZones: zones = ['a', 'b', 'c']} = options;
	const timers = new VirtualTimers();
	const network = new FakeNetwork({timers, random: createSeededRandomSource(1)});
	const fleet = createFakeFleet({
		timers, serverCount: 9, onRestart: reportServers, ...options, availabilityZones: zones,
	});
	const submissions: TestCluster['submissions'] = [];
	const results: TestCluster['results'] = [];
	const events: TestCluster['events'] = [];
	const daemons: TestDaemon[] = [];
	const hints = new Map<string, ClusterHints>();
	const daemonIds = zones.flatMap(zone => {
		const secondKeepers = options.hasSecondKeepers === true ? [`keeper-${zone}2`] : [];
		const entries = Array.from({length: options.entriesPerZone ?? 2}, (_, position) => `entry-${zone}${position + 1}`);
		return [`keeper-${zone}`, ...secondKeepers, ...entries];
	});
	let startCount = 0;
	let sequence = 1;

	/** Creates a hint store whose contents survive restarts of the daemon. */
	function createHintStore(id: string): ClusterHintStore {
		return new class extends ClusterHintStore {
			override findHints(): ClusterHints | undefined {
				return hints.get(id);
			}

			override setHints(next: ClusterHints): void {
				hints.set(id, next);
			}
		}();
	}

	function getClient(id: string): BackendServerClient {
		const cost = options.getRequestCost?.(id);
		return cost === undefined ? fleet.getClient(id) : new SlowClient(fleet.getClient(id), timers, cost);
	}

	/** Gets a number that is the same after each start and sorts the daemons by their ids. */
	function getDaemonNumber(id: string): number {
		return daemonIds.toSorted(compareDaemonIds).indexOf(id) + 1;
	}

	function interceptMessages(fromId: string, peers: PeerNetwork): PeerNetwork {
		const {interceptMessage} = options;
		if (interceptMessage === undefined) {
			return peers;
		}

		return new class extends PeerNetwork {
			override send(toId: string, message: PeerMessage): void {
				interceptMessage({fromId, toId, kind: message.kind}, () => {
					peers.send(toId, message);
				});
			}
		}();
	}

	function addPeer(id: string, handleMessage: (fromId: string, message: PeerMessage) => void): PeerNetwork {
		if (!options.earlierDaemonIds?.includes(id)) {
			return interceptMessages(id, network.addPeer(id, (fromId, message) => {
				options.onMessage?.(fromId, id, message);
				handleMessage(fromId, message);
			}));
		}

		const peers = network.addPeer(id, (fromId, message) => {
			const earlier = toEarlierMessage(message);
			if (earlier !== undefined) {
				handleMessage(fromId, earlier);
			}
		});
		return new class extends PeerNetwork {
			override send(toPeerId: string, message: PeerMessage): void {
				const earlier = toEarlierMessage(message);
				if (earlier !== undefined) {
					peers.send(toPeerId, earlier);
				}
			}
		}();
	}

	function startDaemon(id: string, availabilityZone: string): TestDaemon {
		startCount++;
		const processTimers = new ProcessTimers(timers);
		const log = new class extends RecordingEventLog {
			override write(name: EventName, fields: EventFields = {}): void {
				events.push({
					daemonId: id, name, fields, atMs: timers.getNowMs(),
				});
			}
		}();
		const peers = addPeer(id, (fromId, message) => {
			processTimers.run(() => {
				daemon.cluster.handlePeerMessage(fromId, message);
			});
		});
		const daemon: TestDaemon = {
			id,
			availabilityZone,
			timers: processTimers,
			isUp: true,
			cluster: createCluster({
				ownId: id,
				daemonNumber: getDaemonNumber(id),
				availabilityZone,
				isKeeper: id.startsWith('keeper'),
				cpuMillicores: options.getCpuMillicores?.(id),
				seedIds: zones.map(zone => `keeper-${zone}`),
				peers,
				resetLink() {
					// Fake links queue nothing.
				},
				backendServerClient: new ProcessClient(getClient(id), processTimers),
				hintStore: id.startsWith('keeper') && options.keepsHints !== false ? createHintStore(id) : undefined,
				timers: processTimers,
				random: createSeededRandomSource(startCount),
				events: log,
				metrics: new RecordingMetricSink(),
				onConfiguration({content}) {
					options.onConfiguration?.(content);
				},
				onContacts() {
					// Fake links need no addresses.
				},
			}),
		};
		return daemon;
	}

	for (const id of daemonIds) {
		daemons.push(startDaemon(id, zones.find(zone => id.includes(`-${zone}`))!));
	}

	function find(id: string): TestDaemon {
		return daemons.find(daemon => daemon.id === id)!;
	}

	function isPartitioned(daemonZone: string, serverZone: string): boolean {
		return isolatedZone !== undefined && (daemonZone === isolatedZone) !== (serverZone === isolatedZone);
	}

	let isolatedZone: string | undefined;
	for (const server of fleet.servers) {
		server.fault = {isUnreachableFrom: daemonId => isPartitioned(find(daemonId).availabilityZone, server.description.availabilityZone) || !find(daemonId).isUp};
	}

	function reportServers(): void {
		sequence++;
		for (const {description} of fleet.servers.filter(server => !server.fault.isRefusing)) {
			const keeper = daemons.find(daemon => daemon.isUp && daemon.id.startsWith('keeper') && !isPartitioned(daemon.availabilityZone, description.availabilityZone));
			keeper?.cluster.reportServer({...description, sequence}, () => {
				// The tests check the effect on placement instead.
			});
		}
	}

	return {
		timers,
		network,
		fleet,
		daemons,
		submissions,
		results,
		events,
		find,
		getDaemonNumber,
		getPlacer() {
			const votes = daemons.filter(daemon => daemon.isUp).map(daemon => daemon.cluster.getStatus().placerId);
			const count = (id: string) => votes.filter(vote => vote === id).length;
			return find(votes.toSorted((left, right) => count(right) - count(left))[0]!);
		},
		submit(daemonId, jobId, rest = {}) {
			submissions.push({jobId, daemonId});
			return find(daemonId).cluster.submit({
				jobId,
				queueName: 'estimates',
				service: 'quotes',
				payload: 'text',
				steps: [{
					taskCount: 2, cpuMillicores: 27_000, memoryMb: 64, gpuCount: 0, estimateMs: 100, dependsOn: [],
				}],
				mostAttempts: 3,
				stretch: 1.6,
				slackMs: 60,
				callerTimeoutMs: 1500,
				...rest,
			}, result => {
				results.push({
					jobId, result, atMs: timers.getNowMs(), daemonId,
				});
			});
		},
		kill(id) {
			const daemon = find(id);
			daemon.isUp = false;
			daemon.timers.pause();
			network.removePeer(id);
		},
		restart(id) {
			const {availabilityZone} = find(id);
			daemons[daemons.indexOf(find(id))] = startDaemon(id, availabilityZone);
		},
		loseHints(id) {
			hints.delete(id);
		},
		reportServers,
		isolateZone(zone) {
			isolatedZone = zone;
			const ids = (isInside: boolean) => daemons.filter(daemon => (daemon.availabilityZone === zone) === isInside).map(daemon => daemon.id);
			network.partitionPeers(ids(true), ids(false));
		},
		healServers() {
			isolatedZone = undefined;
		},
		heal() {
			isolatedZone = undefined;
			network.healLinks();
		},
	};
}
