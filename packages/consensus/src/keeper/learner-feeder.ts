import type {TimerSubscription} from '@camphortack/core';
import type {KeeperCore} from './keeper-core.js';
import type {KeeperMessageOf} from './keeper-messages.js';
import type {KeeperRecord} from './keeper-set.js';
import {learnerBatchMs} from './keeper-timings.js';
import {getEntryBatch} from './get-entry-batch.js';

/** Sends committed entries from a voter to its share of the learners, which offloads the leader. */
export type LearnerFeeder = {
	/** Schedules a batch with the newly committed entries and those that are committed shortly after. */
	handleCommitted(previousIndex: number): void;
	stop(): void;
};

/**
 * Creates the feeder. Learners respond to the leader, which itself resends the entries of a lost message.
 * @param core - The keeper's shared state.
 */
export function createLearnerFeeder(core: KeeperCore): LearnerFeeder {
	const {store, options} = core;
	let batchTimer: TimerSubscription | undefined;

	/** Gets the learners assigned to this voter. They are divided equally among the voters other than the leader. */
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
 * Finds the last index that a learner may treat as committed after a feed: undefined unless the feed starts at or below its commit index, matches its log there and extends beyond that index.
 * @param core - The learner's shared state.
 * @param message - The feed message.
 */
export function findFeedCommitIndex(core: KeeperCore, message: KeeperMessageOf<'consensus.feed'>): number | undefined {
	const {store} = core;
	const lastIndex = message.previousIndex + message.entries.length;
	const followsOn = message.previousIndex <= store.getCommitIndex() && store.findTermAt(message.previousIndex) === message.previousTerm;
	return followsOn && lastIndex > store.getCommitIndex() ? lastIndex : undefined;
}
