import {createSeededRandomSource, type Member} from '@camphortack/core';
import {
	FakeNetwork, RecordingEventLog, RecordingMetricSink, ProcessTimers, VirtualTimers, type FakeNetworkOptions,
} from '@camphortack/testkit';
import {createMembership, type Membership, type MembershipSeed} from '../../src/index.js';

/** The membership of one daemon in virtual time. */
export type ClusterNode = {
	member: Member;
	membership: Membership;
	timers: ProcessTimers;
	/** All member lists that have been reported. */
	reports: Array<readonly Member[]>;
};

/** A cluster of memberships in one or more availability zones on a fake network. */
export class MembershipCluster {
	readonly timers = new VirtualTimers();
	readonly nodes = new Map<string, ClusterNode>();
	readonly metrics = new RecordingMetricSink();
	readonly events = new RecordingEventLog();
	readonly network: FakeNetwork;
	readonly #random;
	readonly #seeds: readonly MembershipSeed[];
	#starts = 0;

	constructor(seed: number, seedIds: readonly string[], network: Partial<FakeNetworkOptions> = {}) {
		this.#random = createSeededRandomSource(seed);
		this.#seeds = seedIds.map(id => ({
			id, availabilityZone: getZone(id), host: 'host', port: 1,
		}));
		this.network = new FakeNetwork({timers: this.timers, random: this.#random, ...network});
	}

	/** Starts a daemon, or restarts it with a new incarnation. The part of its id before the dash is its zone. */
	start(id: string): ClusterNode {
		this.kill(id);
		this.#starts++;
		const timers = new ProcessTimers(this.timers);
		const reports: Array<readonly Member[]> = [];
		const peers = this.network.addPeer(id, (fromPeerId, message) => {
			timers.run(() => {
				this.nodes.get(id)?.membership.handlePeerMessage(fromPeerId, message);
			});
		});
		const member: Member = {
			id, incarnation: this.#random.getIdentifier(), availabilityZone: getZone(id), roles: ['entry'], host: 'host', peerPort: 1,
		};
		const membership = createMembership({
			ownMember: member,
			seeds: this.#seeds,
			peers,
			timers,
			random: createSeededRandomSource(this.#starts + 1000),
			metrics: this.metrics,
			events: this.events,
			onMembersChanged(members) {
				reports.push(members);
			},
			onAddress() {
				// The fake network addresses peers by id.
			},
		});
		const node = {
			member, membership, timers, reports,
		};
		this.nodes.set(id, node);
		return node;
	}

	/** Kills a daemon, which does not announce its leave. */
	kill(id: string): void {
		this.nodes.get(id)?.membership.stop();
		this.nodes.delete(id);
		this.network.removePeer(id);
	}

	/** Stops a daemon after it has announced its leave. */
	stop(id: string): void {
		this.nodes.get(id)!.membership.startLeaving(() => {
			this.kill(id);
		});
	}

	/** Gets the live members according to each daemon, as `id/incarnation`. */
	getViews(): string[][] {
		return [...this.nodes.values()].map(node => getView(node.membership.getMembers()));
	}

	/** Whether the members according to every daemon are exactly the running processes. */
	isConverged(): boolean {
		const running = getView([...this.nodes.values()].map(node => node.member)).join(' ');
		return this.getViews().every(view => view.join(' ') === running);
	}

	/** Advances until a condition holds. Returns the elapsed time, which exceeds the limit on a timeout. */
	advanceUntil(isDone: () => boolean, limitMs: number): number {
		const startMs = this.timers.getNowMs();
		const stepMs = 20;
		while (!isDone() && this.timers.getNowMs() - startMs <= limitMs) {
			this.timers.advance(stepMs);
		}

		return this.timers.getNowMs() - startMs;
	}
}

/** Gets the ids of a number of daemons of a zone. */
export function getIds(zone: string, count: number): string[] {
	return Array.from({length: count}, (_, index) => `${zone}-${index}`);
}

function getZone(id: string): string {
	return id.slice(0, id.indexOf('-'));
}

function getView(members: readonly Member[]): string[] {
	return members.map(({id, incarnation}) => `${id}/${incarnation.slice(0, 8)}`).toSorted();
}
