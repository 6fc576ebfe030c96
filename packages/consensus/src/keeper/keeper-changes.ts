import type {KeeperCore} from './keeper-core.js';
import type {KeeperMessageOf} from './keeper-messages.js';
import {getVoterTarget, type KeeperRecord} from './keeper-set.js';
import {learnerHeartbeatMs, mostVoters} from './keeper-timings.js';
import type {Replication} from './replication.js';

/** The leader's work on the set of keepers: one change at a time, learners before voters. */
export type KeeperChanges = {
	/** Notes that a keeper without a place asks for one. */
	handleJoin(fromPeerId: string, message: KeeperMessageOf<'consensus.join'>): void;
	removeKeeper(keeperId: string): 'accepted' | 'not-leader' | 'unknown-keeper';
	/** Makes the next change if the last one is agreed. */
	makeNextChange(): void;
	reset(): void;
};

/**
 * Creates the part of a keeper that changes the set.
 * @param core - The keeper's shared state.
 * @param replication - Takes the changes and knows which keeper has what.
 */
export function createKeeperChanges(core: KeeperCore, replication: Replication): KeeperChanges {
	const {store, options} = core;
	const joining = new Map<string, KeeperRecord>();
	const leaving = new Set<string>();

	function makeNextChange(): void {
		if (!replication.isReady() || store.getKeepersIndex() > store.getCommitIndex()) {
			return;
		}

		const keepers = removeOne() ?? addOne() ?? promoteOne() ?? demoteOne();
		if (keepers !== undefined) {
			replication.append({type: 'set-keepers', keepers});
		}
	}

	function removeOne(): KeeperRecord[] | undefined {
		const keepers = store.getKeepers();
		const removed = keepers.find(keeper => leaving.has(keeper.keeperId) || isReplaced(keeper));
		if (removed === undefined) {
			return undefined;
		}

		leaving.delete(removed.keeperId);
		return keepers.filter(keeper => keeper !== removed);
	}

	/** The daemon came back with a new identity, so the data of the old one are lost. */
	function isReplaced(keeper: KeeperRecord): boolean {
		const replacement = joining.get(keeper.keeperId);
		return replacement !== undefined && replacement.identity !== keeper.identity;
	}

	function addOne(): KeeperRecord[] | undefined {
		const [added] = joining.values();
		if (added === undefined) {
			return undefined;
		}

		joining.delete(added.keeperId);
		return [...store.getKeepers(), added];
	}

	function promoteOne(): KeeperRecord[] | undefined {
		const keepers = store.getKeepers();
		const voters = core.getVoters();
		if (voters.length >= getVoterTarget(keepers.length, options.maxVoters ?? mostVoters)) {
			return undefined;
		}

		const ready = keepers.filter(keeper => isReadyToVote(keeper));
		const voterZones = new Set(voters.map(voter => voter.availabilityZone));
		const promoted = ready.find(keeper => !voterZones.has(keeper.availabilityZone)) ?? ready[0];
		return promoted === undefined ? undefined : keepers.map(keeper => (keeper === promoted ? {...keeper, role: 'voter' as const} : keeper));
	}

	/** A silent voter gives its place up once a learner has everything; it is promoted again when a place is free. */
	function demoteOne(): KeeperRecord[] | undefined {
		const {voterReplacementMs} = options;
		const keepers = store.getKeepers();
		if (voterReplacementMs === undefined || !keepers.some(keeper => isReadyToVote(keeper))) {
			return undefined;
		}

		const silent = core.getVoters().find(voter => {
			const progress = replication.findProgress(voter.identity);
			return progress !== undefined && options.timers.getNowMs() - progress.answeredAtMs > voterReplacementMs;
		});
		return silent === undefined ? undefined : keepers.map(keeper => (keeper === silent ? {...keeper, role: 'learner' as const} : keeper));
	}

	function isReadyToVote(keeper: KeeperRecord): boolean {
		const progress = replication.findProgress(keeper.identity);
		if (keeper.role !== 'learner' || progress === undefined) {
			return false;
		}

		const silenceMs = options.timers.getNowMs() - progress.answeredAtMs;
		return progress.matchIndex >= store.getCommitIndex() && silenceMs < 2 * learnerHeartbeatMs;
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
			makeNextChange();
		},
		removeKeeper(keeperId) {
			if (core.role !== 'leader') {
				return 'not-leader';
			}

			if (!store.getKeepers().some(keeper => keeper.keeperId === keeperId)) {
				return 'unknown-keeper';
			}

			leaving.add(keeperId);
			makeNextChange();
			return 'accepted';
		},
		makeNextChange,
		reset() {
			joining.clear();
			leaving.clear();
		},
	};
}
