import {createSeededRandomSource, type Member} from '@camphortack/core';
import {FakeNetwork, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import {NodeTimers} from '../../policy/test/limits/node-timers.js';
import {createMembership, type Membership} from '../src/index.js';

export type MembershipNode = {
	member: Member;
	timers: NodeTimers;
	membership: Membership;
	/** Every list that was published, newest last. */
	views: Array<{atMs: number; ids: string[]}>;
};

/** Daemons with their memberships on a fake network. */
export class MembershipCluster {
	readonly timers = new VirtualTimers();
	readonly random = createSeededRandomSource(11);
	readonly network: FakeNetwork;
	readonly nodes = new Map<string, MembershipNode>();
	#starts = 0;
	readonly #seeds: Member[];

	constructor(readonly zones: number, readonly nodesPerZone: number, lossRatio = 0) {
		this.network = new FakeNetwork({
			timers: this.timers,
			random: this.random,
			shortestDelayMs: 0.3,
			longestDelayMs: 2,
			lossRatio,
			doublingRatio: lossRatio,
		});
		const ids = Array.from({length: zones * nodesPerZone}, (_, index) => `z${Math.floor(index / nodesPerZone)}n${index % nodesPerZone}`);
		this.#seeds = ids.filter(id => Number(id.split('n')[1]) < 2).map(id => this.#createMember(id, ''));
		for (const id of ids) {
			this.start(id);
		}
	}

	start(id: string): void {
		const member = this.#createMember(id, `${id}-${++this.#starts}`);
		const timers = new NodeTimers(this.timers, 0.99 + (0.02 * this.random.getFraction()));
		const views: MembershipNode['views'] = [];
		const node: MembershipNode = {
			member,
			timers,
			views,
			membership: createMembership({
				ownMember: member,
				seeds: this.#seeds,
				timers,
				random: this.random,
				metrics: new RecordingMetricSink(),
				peers: this.network.addPeer(id, (from, message) => {
					timers.run(() => {
						node.membership.handlePeerMessage(from, message);
					});
				}),
				onMembersChanged: members => {
					views.push({atMs: this.timers.getNowMs(), ids: members.map(each => each.id)});
				},
			}),
		};
		this.nodes.set(id, node);
	}

	crash(id: string): void {
		const node = this.nodes.get(id)!;
		node.timers.stop();
		node.membership.stop();
		this.network.removePeer(id);
		this.nodes.delete(id);
	}

	/** Moves on until every daemon sees exactly these incarnations; gives the time, or undefined if it takes too long. */
	findTimeToAgree(ids: readonly string[], longestMs: number, observers: readonly string[] = ids): number | undefined {
		const expected = ids.map(id => this.nodes.get(id)!.member.incarnation).toSorted((left, right) => left < right ? -1 : 1).join(' ');
		const startMs = this.timers.getNowMs();
		while (!observers.every(id => this.getView(id) === expected)) {
			if (this.timers.getNowMs() - startMs > longestMs) {
				return undefined;
			}

			this.timers.advance(50);
		}

		return this.timers.getNowMs() - startMs;
	}

	getView(id: string): string {
		const members = this.nodes.get(id)!.membership.getMembers();
		return members.map(member => member.incarnation).toSorted((left, right) => left < right ? -1 : 1).join(' ');
	}

	/** Counts how often a daemon was missing from a published list since a time. */
	countRemovals(missingId: string, sinceMs: number): number {
		let removals = 0;
		for (const {views} of this.nodes.values()) {
			removals += views.filter(view => view.atMs > sinceMs && !view.ids.includes(missingId)).length;
		}

		return removals;
	}

	#createMember(id: string, incarnation: string): Member {
		return {
			id,
			incarnation,
			availabilityZone: id.split('n')[0]!,
			roles: ['entry'],
			host: '10.0.0.1',
			peerPort: 7000,
		};
	}
}
