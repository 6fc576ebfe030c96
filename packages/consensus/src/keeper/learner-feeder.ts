import type {TimerSubscription} from '@camphortack/core';
import type {KeeperCore} from './keeper-core.js';
import type {KeeperMessageOf} from './keeper-messages.js';
import type {KeeperRecord} from './keeper-set.js';
import {learnerBatchMs} from './keeper-timings.js';
import {getEntryBatch} from './get-entry-batch.js';

/** A voter's work for the leader: passes committed entries on to its part of the learners. */
export type LearnerFeeder = {
	/** Notes that more is committed; it goes out after a while, together with what follows at once. */
	handleCommitted(previousIndex: number): void;
	stop(): void;
};

/**
 * Creates the feeder. Learners answer to the leader, which sends them itself what a lost message left out.
 * @param core - The keeper's shared state.
 */
export function createLearnerFeeder(core: KeeperCore): LearnerFeeder {
	const {store, options} = core;
	let batchTimer: TimerSubscription | undefined;

	/** Gets the learners that fall to this voter: each voter but the leader has an equal part. */
	function getAssignedLearners(): KeeperRecord[] {
		const feeders = core.getVoters().filter(voter => voter.identity !== core.leaderIdentity);
		const position = feeders.findIndex(voter => voter.identity === store.getIdentity());
		const learners = store.getKeepers().filter(keeper => keeper.role === 'learner');
		return position === -1 ? [] : learners.filter((_, index) => index % feeders.length === position);
	}

	function sendFeed(previousIndex: number): void {
		const previousTerm = store.findTermAt(previousIndex);
		const entries = getEntryBatch(store, previousIndex + 1, store.getCommitIndex());
		if (previousTerm === undefined || entries.length === 0) {
			return;
		}

		for (const learner of getAssignedLearners()) {
			core.send(learner.keeperId, {
				kind: 'consensus.feed',
				...core.getMessageHeader(learner.identity),
				previousIndex,
				previousTerm,
				entries,
			});
		}
	}

	return {
		handleCommitted(previousIndex) {
			if (core.role !== 'leader') {
				batchTimer ??= options.timers.addTimer(learnerBatchMs, () => {
					batchTimer = undefined;
					sendFeed(previousIndex);
				});
			}
		},
		stop() {
			batchTimer?.cancel();
		},
	};
}

/**
 * Gets the last index that a learner may take as committed from a feed: none unless the feed follows on what it knows to be committed.
 * @param core - The learner's shared state.
 * @param message - The feed.
 */
export function findFeedCommitIndex(core: KeeperCore, message: KeeperMessageOf<'consensus.feed'>): number | undefined {
	const {store} = core;
	const lastIndex = message.previousIndex + message.entries.length;
	const followsOn = message.previousIndex <= store.getCommitIndex() && store.findTermAt(message.previousIndex) === message.previousTerm;
	return followsOn && lastIndex > store.getCommitIndex() ? lastIndex : undefined;
}
