import type {TimerSubscription} from '@camphortack/core';
import type {Applier} from './applier.js';
import type {KeeperCore} from './keeper-core.js';
import type {KeeperMessageOf} from './keeper-messages.js';
import type {Replication} from './replication.js';

/** Finds out whether this keeper holds everything that was agreed before a moment. */
export type Barrier = {
	confirm(onEnd: (isConfirmed: boolean) => void): void;
	handleRequest(fromPeerId: string, message: KeeperMessageOf<'consensus.barrier'>): void;
	handleAnswer(message: KeeperMessageOf<'consensus.barrier-answer'>): void;
	/** Asks again at once, since this keeper may lead by now. */
	handleApplied(): void;
	/** Looks whether what the leader named is durable here by now. */
	handleDelivered(): void;
};

const attemptIntervalMs = 250;

type Attempt = {
	nonce: string;
	callbacks: Array<(isConfirmed: boolean) => void>;
	/** The index that must be durable here, once the leader has named it. */
	index?: number;
	subscriptions: TimerSubscription[];
};

/**
 * Creates the barrier part of a keeper. Calls that come while one attempt runs share the next one.
 * @param core - The keeper's shared state.
 * @param replication - Proves that this keeper still leads.
 * @param applier - Knows what is durable.
 */
export function createBarrier(core: KeeperCore, replication: Replication, applier: Applier): Barrier {
	const {timers, random} = core.options;
	let waiting: Array<(isConfirmed: boolean) => void> = [];
	let current: Attempt | undefined;

	function startAttempt(): void {
		if (current !== undefined || waiting.length === 0) {
			return;
		}

		const attempt: Attempt = {nonce: random.getIdentifier(), callbacks: waiting, subscriptions: []};
		waiting = [];
		current = attempt;
		attempt.subscriptions = [
			timers.addInterval(attemptIntervalMs, ask),
			timers.addTimer(core.timings.barrierTimeoutMs, () => {
				end(attempt, false);
			}),
		];
		ask();
	}

	function ask(): void {
		const attempt = current;
		if (attempt === undefined || attempt.index !== undefined || core.isStopped) {
			return;
		}

		if (core.role === 'leader') {
			passAsLeader(index => {
				addIndex(attempt.nonce, index);
			});
		} else if (core.leaderId !== undefined) {
			core.send(core.leaderId, {kind: 'consensus.barrier', nonce: attempt.nonce});
		}
	}

	function passAsLeader(onPassed: (index: number) => void): void {
		if (replication.isReady()) {
			const index = core.store.getCommitIndex();
			replication.addBarrier(() => {
				onPassed(index);
			});
		}
	}

	function addIndex(nonce: string, index: number): void {
		if (current?.nonce === nonce) {
			current.index = index;
			endIfDurable();
		}
	}

	function endIfDurable(): void {
		if (current?.index !== undefined && applier.getDeliveredIndex() >= current.index) {
			end(current, true);
		}
	}

	function end(attempt: Attempt, isConfirmed: boolean): void {
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
			waiting.push(onEnd);
			startAttempt();
		},
		handleRequest(fromPeerId, message) {
			passAsLeader(index => {
				core.send(fromPeerId, {kind: 'consensus.barrier-answer', nonce: message.nonce, index});
			});
		},
		handleAnswer(message) {
			addIndex(message.nonce, message.index);
		},
		handleApplied: ask,
		handleDelivered: endIfDurable,
	};
}
