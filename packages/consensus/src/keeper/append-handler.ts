import type {Applier} from './applier.js';
import type {Election} from './election.js';
import type {KeeperCore} from './keeper-core.js';
import type {KeeperMessageOf} from './keeper-messages.js';
import {createStateReceiver} from './snapshot-transfer.js';

/** A follower's work: takes the log from the leader and answers once it is synced. */
export type AppendHandler = {
	handleAppend(fromPeerId: string, message: KeeperMessageOf<'consensus.append'>): void;
	handleSnapshotPiece(fromPeerId: string, message: KeeperMessageOf<'consensus.snapshot-piece'>): void;
};

/**
 * Creates the follower part of a keeper.
 * @param core - The keeper's shared state.
 * @param applier - Applies what the leader says is agreed.
 * @param election - Is told that the leader was heard.
 */
export function createAppendHandler(core: KeeperCore, applier: Applier, election: Election): AppendHandler {
	const {store} = core;
	const receiver = createStateReceiver();

	/** Whether the sender leads the present term; an older leader is told about the newer term. */
	function acceptLeader(fromPeerId: string, message: KeeperMessageOf<'consensus.append' | 'consensus.snapshot-piece'>): boolean {
		if (message.term < store.getTerm()) {
			answer(fromPeerId, message.fromIdentity, {isMatched: false, index: 0, round: 0});
			return false;
		}

		if (store.getBinding()?.clusterId !== message.clusterId) {
			store.setBinding({clusterId: message.clusterId});
		}

		core.becomeFollower(message.term, {keeperId: fromPeerId, identity: message.fromIdentity});
		election.addLeaderContact();
		return true;
	}

	function answer(peerId: string, toIdentity: string, fields: {isMatched: boolean; index: number; round: number}): void {
		core.send(peerId, {kind: 'consensus.append-answer', ...core.getAddress(toIdentity), ...fields});
	}

	function isMatching(message: KeeperMessageOf<'consensus.append'>): boolean {
		const {previousIndex, previousTerm} = message;
		return previousIndex < store.getBase().index || store.findTermAt(previousIndex) === previousTerm;
	}

	/** Gets where the leader may try next: before the whole term that differs, but not before what is agreed. */
	function getHint(previousIndex: number): number {
		const start = Math.min(store.getLastIndex(), previousIndex - 1);
		const differingTerm = store.findTermAt(previousIndex) ?? 0;
		for (let index = start; index > store.getCommitIndex(); index--) {
			if (store.findTermAt(index) !== differingTerm) {
				return index;
			}
		}

		return Math.min(start, store.getCommitIndex());
	}

	function storeEntries(fromPeerId: string, message: KeeperMessageOf<'consensus.append'>): void {
		const lastIndex = message.previousIndex + message.entries.length;
		const firstNew = message.entries.findIndex(entry => entry.index > store.getBase().index && store.findTermAt(entry.index) !== entry.term);
		const {term} = message;
		const answerMatched = () => {
			if (!core.isStopped && store.getTerm() === term) {
				answer(fromPeerId, message.fromIdentity, {isMatched: true, index: Math.min(lastIndex, store.getSyncedIndex()), round: message.round});
			}
		};

		if (firstNew === -1) {
			answerMatched();
		} else {
			store.appendEntries(message.entries.slice(firstNew), answerMatched);
		}

		applier.commit(Math.min(message.commitIndex, lastIndex));
	}

	return {
		handleAppend(fromPeerId, message) {
			if (!acceptLeader(fromPeerId, message)) {
				return;
			}

			if (isMatching(message)) {
				storeEntries(fromPeerId, message);
			} else {
				answer(fromPeerId, message.fromIdentity, {isMatched: false, index: getHint(message.previousIndex), round: message.round});
			}
		},
		handleSnapshotPiece(fromPeerId, message) {
			if (!acceptLeader(fromPeerId, message)) {
				return;
			}

			if (message.lastIndex <= store.getCommitIndex()) {
				answer(fromPeerId, message.fromIdentity, {isMatched: true, index: Math.min(message.lastIndex, store.getSyncedIndex()), round: 0});
				return;
			}

			const received = receiver.addPiece(message);
			if (received === undefined) {
				core.send(fromPeerId, {
					kind: 'consensus.snapshot-answer',
					...core.getAddress(message.fromIdentity),
					lastIndex: message.lastIndex,
					nextOffset: receiver.getNextOffset(),
				});
				return;
			}

			applier.installState(received.base, received.state, () => {
				if (!core.isStopped && store.getTerm() === message.term) {
					answer(fromPeerId, message.fromIdentity, {isMatched: true, index: received.base.index, round: 0});
				}
			});
		},
	};
}
