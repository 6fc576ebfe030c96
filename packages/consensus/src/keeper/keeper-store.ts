import {CamphortackError, type RandomSource} from '@camphortack/core';
import type {RecordLog} from '@camphortack/storage';
import type {MachineState} from '../publish/configuration-machine.js';
import type {KeeperRecord} from './keeper-set.js';
import type {LogEntry} from './log-entry.js';
import {
	storeRecordSchema, storeSnapshotSchema, type Binding, type LogBase, type StoreRecord,
} from './store-records.js';

export type KeeperStoreOptions = {
	keeperId: string;
	log: RecordLog;
	random: RandomSource;
};

/** The state of the state machine that was stored when the log was opened. */
export type StoredMachine = {stateIndex: number; state: MachineState};

/** The persistent state of a keeper. Getters return values as soon as they are appended; `onSynced` is called when they are durable. */
export type KeeperStore = {
	getIdentity(): string;
	/** Whether the leader has ever confirmed that this keeper lacks no committed entry. */
	wasConfirmed(): boolean;
	setConfirmed(onSynced: () => void): void;
	findStoredMachine(): StoredMachine | undefined;
	getBinding(): Binding | undefined;
	getTerm(): number;
	getVotedFor(): string | undefined;
	getBase(): LogBase;
	getLastIndex(): number;
	/** Gets the last durable index. */
	getSyncedIndex(): number;
	/** Finds the term of an entry, or undefined if the entry is not in the retained part of the log. */
	findTermAt(index: number): number | undefined;
	/** Gets the entries starting at an index. */
	getEntries(fromIndex: number, maxEntries: number): readonly LogEntry[];
	/** Gets the keepers of the last `set-keepers` entry, committed or not. */
	getKeepers(): readonly KeeperRecord[];
	/** Gets the keepers in effect at an index of the retained part of the log. */
	getKeepersAt(index: number): readonly KeeperRecord[];
	/** Gets the index of the last `set-keepers` entry. */
	getKeepersIndex(): number;
	getCommitIndex(): number;
	setBinding(binding: Binding, onSynced?: () => void): void;
	setTerm(term: number, votedFor: string | undefined, onSynced?: () => void): void;
	/** Appends entries. Existing entries from the index of the first one on are replaced. */
	appendEntries(entries: readonly LogEntry[], onSynced?: () => void): void;
	setCommitIndex(index: number, onSynced?: () => void): void;
	/** Writes a snapshot and discards the entries up to an index. */
	compact(baseIndex: number, machine: StoredMachine): void;
	/** Replaces the whole log with a snapshot from the leader. */
	installSnapshot(base: LogBase, state: MachineState, onSynced: () => void): void;
};

const identityLength = 16;

/**
 * Creates the store on top of a log and restores its state.
 * @param options - The log and the keeper that owns it.
 * @throws {CamphortackError} If the log belongs to another keeper.
 */
export function createKeeperStore(options: KeeperStoreOptions): KeeperStore {
	const {keeperId, log, random} = options;
	let identity = '';
	let binding: Binding | undefined;
	let term = 0;
	let votedFor: string | undefined;
	let base: LogBase = {index: 0, term: 0, keepers: []};
	let entries: LogEntry[] = [];
	let commitIndex = 0;
	let wasConfirmed = false;
	let syncedIndex = 0;
	let storedMachine: StoredMachine | undefined;
	/** Incremented whenever entries are replaced: a sync of entries appended before that says nothing about their replacements. */
	let replacementCount = 0;
	let keeperSets: Array<{index: number; keepers: readonly KeeperRecord[]}> = [];

	function readSnapshot(): void {
		const found = log.getSnapshot();
		if (found === undefined) {
			return;
		}

		const snapshot = storeSnapshotSchema.parse(found);
		checkOwner(snapshot.keeperId);
		({identity, binding, term, votedFor, base, commitIndex, wasConfirmed} = snapshot);
		entries = [...snapshot.entries];
		storedMachine = {stateIndex: snapshot.stateIndex, state: snapshot.state};
	}

	function checkOwner(ownerId: string): void {
		if (ownerId !== keeperId) {
			throw new CamphortackError('keeper-data-of-another', `The data folder belongs to keeper "${ownerId}", not "${keeperId}". Give this daemon its own data folder.`);
		}
	}

	function applyRecord(record: StoreRecord): void {
		switch (record.type) {
			case 'identity': {
				checkOwner(record.keeperId);
				identity = record.identity;
				break;
			}

			case 'binding': {
				binding = record.binding;
				break;
			}

			case 'term': {
				({term, votedFor} = record);
				break;
			}

			case 'entries': {
				truncateAndAppend(record.entries);
				break;
			}

			case 'commit': {
				commitIndex = record.index;
				break;
			}

			case 'confirmed': {
				wasConfirmed = true;
				break;
			}
		}
	}

	function truncateAndAppend(newEntries: readonly LogEntry[]): void {
		const firstIndex = newEntries[0]!.index;
		replacementCount += firstIndex > getLastIndex() ? 0 : 1;
		entries.length = firstIndex - base.index - 1;
		syncedIndex = Math.min(syncedIndex, firstIndex - 1);
		keeperSets = keeperSets.filter(set => set.index < firstIndex);
		for (const entry of newEntries) {
			entries.push(entry);
			recordKeeperSet(entry);
		}
	}

	function recordKeeperSet(entry: LogEntry): void {
		if (entry.command.type === 'set-keepers') {
			keeperSets.push({index: entry.index, keepers: entry.command.keepers});
		}
	}

	function getLastIndex(): number {
		return base.index + entries.length;
	}

	function findTermAt(index: number): number | undefined {
		return index === base.index ? base.term : entries[index - base.index - 1]?.term;
	}

	function getKeepersAt(index: number): readonly KeeperRecord[] {
		return keeperSets.findLast(set => set.index <= index)?.keepers ?? base.keepers;
	}

	function write(record: StoreRecord, onSynced?: () => void): void {
		applyRecord(record);
		log.append(record, onSynced);
	}

	function writeSnapshot(machine: StoredMachine, onSynced?: () => void): void {
		log.writeSnapshot({
			formatVersion: 1,
			keeperId,
			identity,
			binding,
			term,
			votedFor,
			base,
			stateIndex: machine.stateIndex,
			state: machine.state,
			entries: [...entries],
			commitIndex,
			wasConfirmed,
		}, onSynced);
	}

	function markSynced(index: number, replacementCountAtAppend: number): void {
		if (replacementCount === replacementCountAtAppend) {
			syncedIndex = Math.max(syncedIndex, index);
		}
	}

	readSnapshot();
	for (const entry of entries) {
		recordKeeperSet(entry);
	}

	for (const record of log.getRecords()) {
		applyRecord(storeRecordSchema.parse(record));
	}

	syncedIndex = getLastIndex();
	if (identity === '') {
		write({type: 'identity', identity: random.getIdentifier().slice(0, identityLength), keeperId});
	}

	return {
		getIdentity: () => identity,
		wasConfirmed: () => wasConfirmed,
		setConfirmed(onSynced) {
			write({type: 'confirmed'}, onSynced);
		},
		findStoredMachine: () => storedMachine,
		getBinding: () => binding,
		getTerm: () => term,
		getVotedFor: () => votedFor,
		getBase: () => base,
		getLastIndex,
		getSyncedIndex: () => syncedIndex,
		findTermAt,
		getEntries: (fromIndex, maxEntries) => entries.slice(Math.max(0, fromIndex - base.index - 1)).slice(0, maxEntries),
		getKeepers: () => getKeepersAt(getLastIndex()),
		getKeepersAt,
		getKeepersIndex: () => keeperSets.at(-1)?.index ?? base.index,
		getCommitIndex: () => commitIndex,
		setBinding(newBinding, onSynced) {
			write({type: 'binding', binding: newBinding}, onSynced);
		},
		setTerm(newTerm, newVotedFor, onSynced) {
			write({type: 'term', term: newTerm, votedFor: newVotedFor}, onSynced);
		},
		appendEntries(newEntries, onSynced) {
			const record: StoreRecord = {type: 'entries', entries: [...newEntries]};
			applyRecord(record);
			const replacementCountAtAppend = replacementCount;
			log.append(record, () => {
				markSynced(newEntries.at(-1)!.index, replacementCountAtAppend);
				onSynced?.();
			});
		},
		setCommitIndex(index, onSynced) {
			write({type: 'commit', index}, onSynced);
		},
		compact(baseIndex, machine) {
			const newBase = {index: baseIndex, term: findTermAt(baseIndex)!, keepers: [...getKeepersAt(baseIndex)]};
			entries = entries.slice(baseIndex - base.index);
			base = newBase;
			keeperSets = keeperSets.filter(set => set.index > baseIndex);
			writeSnapshot(machine);
		},
		installSnapshot(newBase, state, onSynced) {
			base = newBase;
			entries = [];
			keeperSets = [];
			commitIndex = newBase.index;
			syncedIndex = 0;
			replacementCount++;
			const replacementCountAtAppend = replacementCount;
			writeSnapshot({stateIndex: newBase.index, state}, () => {
				markSynced(newBase.index, replacementCountAtAppend);
				onSynced();
			});
		},
	};
}
