import type {KeeperCore} from './keeper-core.js';
import type {KeeperMessageOf} from './keeper-messages.js';
import type {KeeperRecord} from './keeper-set.js';
import {defaultMaxVoters, maxEntriesPerMessage} from './keeper-timings.js';
import {isVoterWanted, planVoters, type KeeperView} from './plan-voters.js';
import type {Replication} from './replication.js';

/** Changes the set of keepers at the leader: one change at a time, and a new keeper is a learner before it is a voter. */
export type KeeperChanges = {
	/** Queues a keeper that asks to be added. */
	handleJoin(fromPeerId: string, message: KeeperMessageOf<'consensus.join'>): void;
	removeKeeper(keeperId: string): 'accepted' | 'not-leader' | 'unknown-keeper';
	/** Proposes the next change if the last one is committed. */
	proposeNextChange(): void;
	/** Whether a voter is wanted. All learners have to respond then, so that no one is promoted that has just been lost. */
	needsVoter(): boolean;
	/** Whether the committed set is final for the keepers that are leaving: no learner can take over their votes. */
	areVotesKept(): boolean;
	reset(): void;
};

/**
 * Creates the component of a keeper that changes the set.
 * @param core - The keeper's shared state.
 * @param replication - Replicates the changes and tracks the progress of each keeper.
 */
export function createKeeperChanges(core: KeeperCore, replication: Replication): KeeperChanges {
	const {store, options, timings} = core;
	const {timers, maxVoters = defaultMaxVoters} = options;
	const joining = new Map<string, KeeperRecord>();
	const removing = new Set<string>();
	/** Since when a voter has been wanted; undefined while none is. */
	let wantedSinceMs: number | undefined;

	function hasOpenChange(): boolean {
		return store.getKeepersIndex() > store.getCommitIndex();
	}

	function proposeNextChange(): void {
		updateWanted();
		if (!replication.acceptsProposals() || hasOpenChange()) {
			return;
		}

		const keepers = planRemoval() ?? planAddition() ?? planVoters(getViews(), maxVoters);
		if (keepers !== undefined) {
			replication.append({type: 'set-keepers', keepers});
		}
	}

	function updateWanted(): void {
		wantedSinceMs = core.role === 'leader' && isVoterWanted(getViews(), maxVoters) ? wantedSinceMs ?? timers.getNowMs() : undefined;
	}

	function planRemoval(): KeeperRecord[] | undefined {
		const keepers = store.getKeepers();
		const removed = keepers.find(keeper => removing.has(keeper.keeperId) || isReplaced(keeper));
		if (removed === undefined) {
			return undefined;
		}

		removing.delete(removed.keeperId);
		return keepers.filter(keeper => keeper !== removed);
	}

	/** Whether the daemon rejoined with a new identity, which means that the data of the old identity is lost. */
	function isReplaced(keeper: KeeperRecord): boolean {
		const replacement = joining.get(keeper.keeperId);
		return replacement !== undefined && replacement.identity !== keeper.identity;
	}

	function planAddition(): KeeperRecord[] | undefined {
		const [added] = joining.values();
		if (added === undefined) {
			return undefined;
		}

		joining.delete(added.keeperId);
		return [...store.getKeepers(), added];
	}

	function getViews(): KeeperView[] {
		return store.getKeepers().map(record => ({
			record,
			isLeader: record.identity === store.getIdentity(),
			isLeaving: isLeaving(record),
			isUnresponsive: isUnresponsive(record),
			isReady: isReadyToVote(record),
		}));
	}

	function isLeaving({identity}: KeeperRecord): boolean {
		return identity === store.getIdentity() ? core.isLeaving : replication.findProgress(identity)?.isLeaving ?? false;
	}

	function isUnresponsive({identity, role}: KeeperRecord): boolean {
		const {voterReplacementMs = Number.POSITIVE_INFINITY} = options;
		const progress = replication.findProgress(identity);
		return role === 'voter' && progress !== undefined && timers.getNowMs() - progress.lastResponseMs > voterReplacementMs;
	}

	/** Whether a keeper responds, and lacks no more entries than one message brings: under load, a learner always lacks the newest ones. */
	function isReadyToVote({identity}: KeeperRecord): boolean {
		const progress = replication.findProgress(identity);
		if (progress === undefined || progress.matchIndex === 0 || progress.transfer !== undefined) {
			return false;
		}

		const missingCount = store.getCommitIndex() - progress.matchIndex;
		return missingCount <= maxEntriesPerMessage && timers.getNowMs() - progress.lastResponseMs < timings.quorumTimeoutMs;
	}

	/** Whether a learner may still become ready. One that did not have to respond until now gets the time to do so. */
	function isCandidate(keeper: KeeperRecord): boolean {
		const progress = replication.findProgress(keeper.identity);
		if (keeper.role !== 'learner' || progress === undefined || progress.isLeaving) {
			return false;
		}

		const heardMs = Math.max(progress.lastResponseMs, wantedSinceMs ?? timers.getNowMs());
		return timers.getNowMs() - heardMs < timings.quorumTimeoutMs;
	}

	return {
		handleJoin(fromPeerId, message) {
			const isKnown = store.getKeepers().some(keeper => keeper.identity === message.identity);
			const isOfOtherCluster = message.clusterId !== undefined && message.clusterId !== store.getBinding()?.clusterId;
			if (isKnown || isOfOtherCluster || core.role !== 'leader') {
				return;
			}

			joining.set(fromPeerId, {
				keeperId: fromPeerId,
				identity: message.identity,
				availabilityZone: message.availabilityZone,
				role: 'learner',
			});
			proposeNextChange();
		},
		removeKeeper(keeperId) {
			if (core.role !== 'leader') {
				return 'not-leader';
			}

			if (!store.getKeepers().some(keeper => keeper.keeperId === keeperId)) {
				return 'unknown-keeper';
			}

			removing.add(keeperId);
			proposeNextChange();
			return 'accepted';
		},
		proposeNextChange,
		needsVoter: () => wantedSinceMs !== undefined,
		areVotesKept() {
			const isSettled = replication.isReady() && !hasOpenChange() && joining.size === 0;
			return isSettled && !store.getKeepers().some(keeper => isCandidate(keeper));
		},
		reset() {
			joining.clear();
			removing.clear();
			wantedSinceMs = undefined;
		},
	};
}
