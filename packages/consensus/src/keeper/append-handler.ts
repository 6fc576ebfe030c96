import type {Applier} from './applier.js';
import type {Election} from './election.js';
import type {KeeperCore} from './keeper-core.js';
import type {KeeperMessageOf} from './keeper-messages.js';
import {findFeedCommitIndex} from './learner-feeder.js';
import type {LogEntry} from './log-entry.js';
import {createStateReceiver} from './snapshot-transfer.js';

/** Log replication at a follower: appends entries from the leader and responds once they are synced. */
export type AppendHandler = {
	handleAppend(fromPeerId: string, message: KeeperMessageOf<'consensus.append'>): void;
	/** Appends committed entries from a voter and responds to the leader. */
	handleFeed(message: KeeperMessageOf<'consensus.feed'>): void;
	handleSnapshotPiece(fromPeerId: string, message: KeeperMessageOf<'consensus.snapshot-piece'>): void;
};

/**
 * Creates the follower component of a keeper.
 * @param core - The keeper's shared state.
 * @param applier - Applies the entries that the leader has committed.
 * @param election - Is notified of each contact with the leader.
 */
export function createAppendHandler(core: KeeperCore, applier: Applier, election: Election): AppendHandler {
	const {store} = core;
	const receiver = createStateReceiver();

	/** Whether the sender is the leader of the current term. A leader of an older term is sent the newer term. */
	function acceptLeader(fromPeerId: string, message: KeeperMessageOf<'consensus.append' | 'consensus.snapshot-piece'>): boolean {
		if (message.term < store.getTerm()) {
			sendAnswer(fromPeerId, message.fromIdentity, {isMatched: false, index: 0, round: 0});
			return false;
		}

		if (message.clusterId !== undefined && store.getBinding()?.clusterId !== message.clusterId) {
			store.setBinding({clusterId: message.clusterId});
		}

		core.becomeFollower(message.term, {keeperId: fromPeerId, identity: message.fromIdentity});
		election.handleLeaderContact();
		return true;
	}

	function sendAnswer(peerId: string, toIdentity: string, fields: {isMatched: boolean; index: number; round: number}): void {
		core.send(peerId, {
			kind: 'consensus.append-answer', ...core.getMessageHeader(toIdentity), ...fields, ...(core.isLeaving && {isLeaving: true}),
		});
	}

	function isLogMatching(message: KeeperMessageOf<'consensus.append'>): boolean {
		const {previousIndex, previousTerm} = message;
		return previousIndex < store.getBase().index || store.findTermAt(previousIndex) === previousTerm;
	}

	/** Gets the index that the leader should try next: the last one before the conflicting term, but not below the commit index. */
	function getNextIndexHint(previousIndex: number): number {
		const start = Math.min(store.getLastIndex(), previousIndex - 1);
		const differingTerm = store.findTermAt(previousIndex) ?? 0;
		for (let index = start; index > store.getCommitIndex(); index--) {
			if (store.findTermAt(index) !== differingTerm) {
				return index;
			}
		}

		return Math.min(start, store.getCommitIndex());
	}

	/** Stores those of the entries that are not in the log yet. */
	function storeEntries(entries: readonly LogEntry[], onSynced: () => void): void {
		const firstNew = entries.findIndex(entry => entry.index > store.getBase().index && store.findTermAt(entry.index) !== entry.term);
		if (firstNew === -1) {
			onSynced();
		} else {
			store.appendEntries(entries.slice(firstNew), onSynced);
		}
	}

	function acknowledgeEntries(leader: {keeperId: string; identity: string; term: number}, lastIndex: number, round: number): void {
		if (!core.isStopped && store.getTerm() === leader.term) {
			sendAnswer(leader.keeperId, leader.identity, {isMatched: true, index: Math.min(lastIndex, store.getSyncedIndex()), round});
		}
	}

	function acceptEntries(fromPeerId: string, message: KeeperMessageOf<'consensus.append'>): void {
		const lastIndex = message.previousIndex + message.entries.length;
		const leader = {keeperId: fromPeerId, identity: message.fromIdentity, term: message.term};
		storeEntries(message.entries, () => {
			acknowledgeEntries(leader, lastIndex, message.round);
		});
		applier.commit(Math.min(message.commitIndex, lastIndex));
	}

	return {
		handleAppend(fromPeerId, message) {
			if (!acceptLeader(fromPeerId, message)) {
				return;
			}

			if (isLogMatching(message)) {
				acceptEntries(fromPeerId, message);
			} else {
				sendAnswer(fromPeerId, message.fromIdentity, {isMatched: false, index: getNextIndexHint(message.previousIndex), round: message.round});
			}
		},
		handleFeed(message) {
			const lastIndex = findFeedCommitIndex(core, message);
			const {leaderId, leaderIdentity} = core;
			if (lastIndex === undefined) {
				return;
			}

			const term = store.getTerm();
			storeEntries(message.entries, () => {
				if (leaderId !== undefined && leaderIdentity !== undefined) {
					acknowledgeEntries({keeperId: leaderId, identity: leaderIdentity, term}, lastIndex, 0);
				}
			});
			applier.commit(lastIndex);
		},
		handleSnapshotPiece(fromPeerId, message) {
			if (!acceptLeader(fromPeerId, message)) {
				return;
			}

			if (message.lastIndex <= store.getCommitIndex()) {
				sendAnswer(fromPeerId, message.fromIdentity, {isMatched: true, index: Math.min(message.lastIndex, store.getSyncedIndex()), round: 0});
				return;
			}

			const received = receiver.addPiece(message);
			if (received === undefined) {
				core.send(fromPeerId, {
					kind: 'consensus.snapshot-answer',
					...core.getMessageHeader(message.fromIdentity),
					lastIndex: message.lastIndex,
					nextOffset: receiver.getNextOffset(),
				});
				return;
			}

			applier.installSnapshot(received.base, received.state, () => {
				if (!core.isStopped && store.getTerm() === message.term) {
					sendAnswer(fromPeerId, message.fromIdentity, {isMatched: true, index: received.base.index, round: 0});
				}
			});
		},
	};
}
