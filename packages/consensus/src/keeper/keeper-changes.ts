import type {KeeperCore} from './keeper-core.js';
import type {KeeperMessageOf} from './keeper-messages.js';
import {getVoterTarget, type KeeperRecord} from './keeper-set.js';
import {learnerHeartbeatMs, defaultMaxVoters} from './keeper-timings.js';
import type {Replication} from './replication.js';

/** Changes the set of keepers at the leader: one change at a time, and a new keeper is a learner before it is a voter. */
export type KeeperChanges = {
	/** Queues a keeper that asks to be added. */
	handleJoin(fromPeerId: string, message: KeeperMessageOf<'consensus.join'>): void;
	removeKeeper(keeperId: string): 'accepted' | 'not-leader' | 'unknown-keeper';
	/** Proposes the next change if the last one is committed. */
	proposeNextChange(): void;
	reset(): void;
};

/**
 * Creates the component of a keeper that changes the set.
 * @param core - The keeper's shared state.
 * @param replication - Replicates the changes and tracks the progress of each keeper.
 */
export function createKeeperChanges(core: KeeperCore, replication: Replication): KeeperChanges {
	const {store, options} = core;
	const joining = new Map<string, KeeperRecord>();
	const leaving = new Set<string>();

	function proposeNextChange(): void {
		if (!replication.isReady() || store.getKeepersIndex() > store.getCommitIndex()) {
			return;
		}

		const keepers = planRemoval() ?? planAddition() ?? planPromotion() ?? planDemotion();
		if (keepers !== undefined) {
			replication.append({type: 'set-keepers', keepers});
		}
	}

	function planRemoval(): KeeperRecord[] | undefined {
		const keepers = store.getKeepers();
		const removed = keepers.find(keeper => leaving.has(keeper.keeperId) || isReplaced(keeper));
		if (removed === undefined) {
			return undefined;
		}

		leaving.delete(removed.keeperId);
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

	function planPromotion(): KeeperRecord[] | undefined {
		const keepers = store.getKeepers();
		const voters = core.getVoters();
		if (voters.length >= getVoterTarget(keepers.length, options.maxVoters ?? defaultMaxVoters)) {
			return undefined;
		}

		const ready = keepers.filter(keeper => isReadyToVote(keeper));
		const voterZones = new Set(voters.map(voter => voter.availabilityZone));
		const promoted = ready.find(keeper => !voterZones.has(keeper.availabilityZone)) ?? ready[0];
		return promoted === undefined ? undefined : keepers.map(keeper => (keeper === promoted ? {...keeper, role: 'voter' as const} : keeper));
	}

	/** An unresponsive voter is demoted once a learner is up to date. It can be promoted again when there are fewer voters than intended. */
	function planDemotion(): KeeperRecord[] | undefined {
		const {voterReplacementMs} = options;
		const keepers = store.getKeepers();
		if (voterReplacementMs === undefined || !keepers.some(keeper => isReadyToVote(keeper))) {
			return undefined;
		}

		const unresponsive = core.getVoters().find(voter => {
			const progress = replication.findProgress(voter.identity);
			return progress !== undefined && options.timers.getNowMs() - progress.lastResponseMs > voterReplacementMs;
		});
		return unresponsive === undefined ? undefined : keepers.map(keeper => (keeper === unresponsive ? {...keeper, role: 'learner' as const} : keeper));
	}

	function isReadyToVote(keeper: KeeperRecord): boolean {
		const progress = replication.findProgress(keeper.identity);
		if (keeper.role !== 'learner' || progress === undefined) {
			return false;
		}

		const elapsedMs = options.timers.getNowMs() - progress.lastResponseMs;
		return progress.matchIndex >= store.getCommitIndex() && elapsedMs < 2 * learnerHeartbeatMs;
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

			leaving.add(keeperId);
			proposeNextChange();
			return 'accepted';
		},
		proposeNextChange,
		reset() {
			joining.clear();
			leaving.clear();
		},
	};
}
