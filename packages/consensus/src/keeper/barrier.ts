import type {TimerSubscription} from '@camphortack/core';
import type {Applier} from './applier.js';
import type {KeeperCore} from './keeper-core.js';
import type {KeeperMessageOf} from './keeper-messages.js';
import type {Replication} from './replication.js';

/** A read barrier (Raft ReadIndex): checks that this keeper holds everything that was committed before the call. */
export type Barrier = {
	confirm(onEnd: (isConfirmed: boolean) => void): void;
	handleRequest(fromPeerId: string, message: KeeperMessageOf<'consensus.barrier'>): void;
	handleAnswer(message: KeeperMessageOf<'consensus.barrier-answer'>): void;
	/** Retries immediately, since this keeper may have become a ready leader. */
	handleApplied(): void;
	/** Checks whether the read index is durable on this keeper by now. */
	handleDelivered(): void;
};

const attemptIntervalMs = 250;

type Attempt = {
	nonce: string;
	callbacks: Array<(isConfirmed: boolean) => void>;
	/** The read index: the leader's commit index, which must be durable on this keeper. Undefined until the leader has responded. */
	index?: number;
	subscriptions: TimerSubscription[];
};

/**
 * Creates the barrier component of a keeper. Calls that arrive during an attempt share the next one.
 * @param core - The keeper's shared state.
 * @param replication - Proves that this keeper is still the leader.
 * @param applier - Tracks the durable index.
 */
export function createBarrier(core: KeeperCore, replication: Replication, applier: Applier): Barrier {
	const {timers, random} = core.options;
	let waitingCallbacks: Array<(isConfirmed: boolean) => void> = [];
	let current: Attempt | undefined;

	function startAttempt(): void {
		if (current !== undefined || waitingCallbacks.length === 0) {
			return;
		}

		const attempt: Attempt = {nonce: random.getIdentifier(), callbacks: waitingCallbacks, subscriptions: []};
		waitingCallbacks = [];
		current = attempt;
		attempt.subscriptions = [
			timers.addInterval(attemptIntervalMs, requestReadIndex),
			timers.addTimer(core.timings.barrierTimeoutMs, () => {
				finish(attempt, false);
			}),
		];
		requestReadIndex();
	}

	function requestReadIndex(): void {
		const attempt = current;
		if (attempt === undefined || attempt.index !== undefined || core.isStopped) {
			return;
		}

		if (core.role === 'leader') {
			confirmLeadership(index => {
				setReadIndex(attempt.nonce, index);
			});
		} else if (core.leaderId !== undefined) {
			core.send(core.leaderId, {kind: 'consensus.barrier', nonce: attempt.nonce});
		}
	}

	function confirmLeadership(onConfirmed: (index: number) => void): void {
		if (replication.isReady()) {
			const index = core.store.getCommitIndex();
			replication.addBarrier(() => {
				onConfirmed(index);
			});
		}
	}

	function setReadIndex(nonce: string, index: number): void {
		if (current?.nonce === nonce) {
			current.index = index;
			finishIfDurable();
		}
	}

	function finishIfDurable(): void {
		if (current?.index !== undefined && applier.getDeliveredIndex() >= current.index) {
			finish(current, true);
		}
	}

	function finish(attempt: Attempt, isConfirmed: boolean): void {
		if (current !== attempt) {
			return;
		}

		current = undefined;
		for (const subscription of attempt.subscriptions) {
			subscription.cancel();
		}

		for (const onEnd of attempt.callbacks) {
			onEnd(isConfirmed);
		}

		startAttempt();
	}

	return {
		confirm(onEnd) {
			waitingCallbacks.push(onEnd);
			startAttempt();
		},
		handleRequest(fromPeerId, message) {
			confirmLeadership(index => {
				core.send(fromPeerId, {kind: 'consensus.barrier-answer', nonce: message.nonce, index});
			});
		},
		handleAnswer(message) {
			setReadIndex(message.nonce, message.index);
		},
		handleApplied: requestReadIndex,
		handleDelivered: finishIfDurable,
	};
}
