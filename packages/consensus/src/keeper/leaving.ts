import type {TimerSubscription} from '@camphortack/core';
import type {KeeperChanges} from './keeper-changes.js';
import type {KeeperCore} from './keeper-core.js';
import type {KeeperMessageOf} from './keeper-messages.js';
import type {Replication} from './replication.js';

/** Gives back what a keeper that leaves holds: its leadership, and its vote if a learner can take it over. */
export type Leaving = {
	start(): void;
	/** Transfers leadership to a voter that stays, if this keeper is a leader that leaves. */
	transferLeadership(): void;
	/** Handles the word of the leader on whether this keeper keeps its vote. */
	handleAppend(message: KeeperMessageOf<'consensus.append'>): void;
	/** Whether this keeper holds nothing that another one can take over now. */
	isComplete(): boolean;
	stop(): void;
};

/**
 * Creates the component of a keeper that leaves. Its responses to the leader say that it leaves, and it repeats this on its own
 * until the committed set names it as a voter no longer, through changes of the leader too. A leader transfers leadership
 * first, so that the vote of each keeper is given back in the same way.
 * @param core - The keeper's shared state.
 * @param replication - Knows the voters that stay.
 * @param changes - Knows whether a learner can take over a vote.
 */
export function createLeaving(core: KeeperCore, replication: Replication, changes: KeeperChanges): Leaving {
	const {store, timings} = core;
	/** The latest word of a leader: whether this keeper keeps its vote. */
	let latest = {term: 0, round: 0, isVoteKept: false};
	let announcements: TimerSubscription | undefined;

	function isVoter(): boolean {
		const sets = [store.getKeepers(), store.getKeepersAt(store.getCommitIndex())];
		return sets.some(keepers => keepers.some(({identity, role}) => identity === store.getIdentity() && role === 'voter'));
	}

	function isVoteKept(): boolean {
		if (core.role === 'leader') {
			return changes.areVotesKept();
		}

		return latest.isVoteKept && latest.term === store.getTerm() && core.leaderId !== undefined;
	}

	/** Responds without having been asked: the leader asks a learner rarely. The index is only a hint for it. */
	function announce(): void {
		if (core.role !== 'leader' && core.leaderId !== undefined && core.leaderIdentity !== undefined) {
			core.send(core.leaderId, {
				kind: 'consensus.append-answer',
				...core.getMessageHeader(core.leaderIdentity),
				isMatched: false,
				index: store.getCommitIndex(),
				round: 0,
				isLeaving: true,
			});
		}
	}

	function transferLeadership(): void {
		const successor = core.role === 'leader' && core.isLeaving ? replication.findSuccessor() : undefined;
		if (successor !== undefined) {
			core.send(successor.keeperId, {kind: 'consensus.timeout-now', ...core.getMessageHeader(successor.identity)});
		}
	}

	return {
		start() {
			if (core.isLeaving) {
				return;
			}

			core.isLeaving = true;
			transferLeadership();
			announce();
			announcements = core.options.timers.addInterval(timings.heartbeatMs, announce);
		},
		transferLeadership,
		handleAppend({term, round, isVoteKept = false}) {
			if (term > latest.term || (term === latest.term && round >= latest.round)) {
				latest = {term, round, isVoteKept};
			}
		},
		isComplete() {
			if (core.role === 'leader' && replication.isHandingOver()) {
				return false;
			}

			return !isVoter() || isVoteKept();
		},
		stop() {
			announcements?.cancel();
		},
	};
}
