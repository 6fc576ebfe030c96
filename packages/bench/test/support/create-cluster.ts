import {configurationSchema} from '@camphortack/configuration';
import {
	backendServerAnnouncementSchema, createSeededRandomSource, type BackendServerAnnouncement, type Job, type JobOutcome, type Member,
} from '@camphortack/core';
import {createDispatcher, type Dispatcher} from '@camphortack/dispatch';
import {
	FakeNetwork, RecordingEventLog, RecordingMetricSink, VirtualTimers, type FakeNetworkOptions,
} from '@camphortack/testkit';
import {SimulatedFleet} from '../../src/simulation/simulated-fleet.js';
import {SimulatedStarter} from '../../src/simulation/simulated-starter.js';
import {unlimitedLimiter} from '../../src/simulation/unlimited-limiter.js';

export type ClusterOptions = {
	daemons: number;
	servers: number;
	zones?: number;
	seed?: number;
	network?: Partial<FakeNetworkOptions>;
	service?: Record<string, unknown>;
};

export type Node = {member: Member; dispatcher: Dispatcher; starter: SimulatedStarter; isUp: boolean};

/** Production dispatchers with a fake network and simulated backend servers, in virtual time. */
export type Cluster = {
	timers: VirtualTimers;
	network: FakeNetwork;
	fleet: SimulatedFleet;
	metrics: RecordingMetricSink;
	nodes: Node[];
	outcomes: Map<string, JobOutcome>;
	announcements: BackendServerAnnouncement[];
	submit: (node: Node, id: string, runTimesMs: number[], other?: Partial<Job>) => void;
	crash: (node: Node) => void;
	/** Passes the list of live daemons to some daemons. */
	setMembers: (nodes: readonly Node[], alive: readonly Node[]) => void;
	/** Advances the clock and checks periodically that no slot is held by two daemons. */
	advance: (durationMs: number) => void;
	/** The backend servers for which the daemons together held more slots than the server has. */
	overLeased: Set<string>;
};

const checkIntervalMs = 50;
/** The number of daemon and server pairs checked per interval; larger clusters are checked less often. */
const maxCheckedHoldings = 10_000;

export function createCluster(options: ClusterOptions): Cluster {
	const {zones = 1, seed = 1} = options;
	const timers = new VirtualTimers();
	const random = createSeededRandomSource(seed);
	const network = new FakeNetwork({timers, random, ...options.network});
	const fleet = new SimulatedFleet(timers, random);
	const metrics = new RecordingMetricSink();
	const nodes = Array.from({length: options.daemons}, (_, index) => createNode(index));
	const outcomes = new Map<string, JobOutcome>();
	const overLeased = new Set<string>();
	let skippedChecks = 0;
	const announcements = Array.from({length: options.servers}, (_, index) => addServer(index));

	function createNode(index: number): Node {
		const member: Member = {
			id: `daemon-${index}`,
			incarnation: `first-${index}`,
			availabilityZone: `zone-${index % zones}`,
			roles: ['entry'],
			host: '127.0.0.1',
			peerPort: 1,
		};
		const starter = new SimulatedStarter(timers, fleet, () => 0.2);
		const dispatcher = createDispatcher({
			ownId: member.id,
			incarnation: member.incarnation,
			availabilityZone: member.availabilityZone,
			timers,
			random: createSeededRandomSource(seed + index),
			metrics,
			events: new RecordingEventLog(),
			peers: network.addPeer(member.id, (from, message) => {
				dispatcher.handlePeerMessage(from, message);
			}),
			starter,
			limits: unlimitedLimiter,
		});
		starter.onEvent = dispatcher.handleTaskEvent;
		dispatcher.setConfiguration(configurationSchema.parse({
			version: 1,
			objects: {
				pools: {main: {}},
				services: {price: {pool: 'main', declaredRunTimeMs: 300, ...options.service}},
				customers: {chain: {}},
			},
		}));
		return {
			member, dispatcher, starter, isUp: true,
		};
	}

	function addServer(index: number): BackendServerAnnouncement {
		const availabilityZone = `zone-${index % zones}`;
		fleet.addServer(`server-${index}`, availabilityZone, 8);
		return backendServerAnnouncementSchema.parse({
			id: `server-${index}`, incarnation: 'first', host: '127.0.0.1', port: 1, availabilityZone, slots: 8, services: ['price'],
		});
	}

	function setMembers(recipients: readonly Node[], alive: readonly Node[]): void {
		for (const {dispatcher} of recipients) {
			dispatcher.setMembers(alive.map(node => node.member));
		}
	}

	function checkLeases(): void {
		skippedChecks++;
		if (skippedChecks * maxCheckedHoldings < options.daemons * options.servers) {
			return;
		}

		skippedChecks = 0;
		const held = new Map<string, number>();
		for (const {dispatcher} of nodes.filter(node => node.isUp)) {
			for (const {id, heldSlots, slots} of dispatcher.getStatus().backendServers) {
				const sum = (held.get(id) ?? 0) + heldSlots;
				held.set(id, sum);
				if (sum > slots) {
					overLeased.add(id);
				}
			}
		}
	}

	setMembers(nodes, nodes);
	for (const [index, announcement] of announcements.entries()) {
		const ownZone = nodes.filter(node => node.member.availabilityZone === announcement.availabilityZone);
		ownZone[index % ownZone.length]!.dispatcher.announceBackendServer(announcement);
	}

	return {
		timers,
		network,
		fleet,
		metrics,
		nodes,
		outcomes,
		announcements,
		overLeased,
		setMembers,
		submit(node, id, runTimesMs, other) {
			node.dispatcher.submitJob({
				id,
				customer: 'chain',
				service: 'price',
				deadlineMs: 10_000,
				idempotent: false,
				tasks: runTimesMs.map(payload => ({payload})),
				...other,
			}, outcome => {
				outcomes.set(id, outcome);
			});
		},
		crash(node) {
			node.isUp = false;
			node.starter.isStopped = true;
			network.removePeer(node.member.id);
		},
		advance(durationMs) {
			for (let passedMs = 0; passedMs < durationMs; passedMs += checkIntervalMs) {
				timers.advance(Math.min(checkIntervalMs, durationMs - passedMs));
				checkLeases();
			}
		},
	};
}
