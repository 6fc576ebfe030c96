import type {MachineState} from '../publish/configuration-machine.js';
import type {DocumentResult, NumberedDocument} from '../publish/document-schemas.js';
import type {PublishResult} from '../publish/publish-schemas.js';
import type {KeeperCore} from './keeper-core.js';
import type {DocumentListener, KeeperListener} from './keeper-options.js';
import {getEntrySizeBytes, type LogEntry} from './log-entry.js';
import {maxAppliedBytes, maxAppliedEntries, retainedEntries} from './keeper-timings.js';
import type {LogBase} from './store-records.js';

/** Applies committed entries to the state machine and delivers versions once the commit index is durable on this keeper. */
export type Applier = {
	/** Gets the last applied index. */
	getAppliedIndex(): number;
	/** Gets the index up to which versions were delivered to listeners. */
	getDeliveredIndex(): number;
	/** Advances the commit index and applies the newly committed entries. */
	commit(index: number): void;
	/** Replaces the log and the state machine's state with a snapshot from the leader. */
	installSnapshot(base: LogBase, state: MachineState, onSynced: () => void): void;
	addListener(listener: KeeperListener): void;
	addDocumentListener(listener: DocumentListener): void;
	/** Finds the document as of the last durable commit index. */
	findDurableDocument(): NumberedDocument | undefined;
	/** Starts to deliver versions and documents to listeners. */
	startDelivery(): void;
};

export type ApplierOptions = {
	core: KeeperCore;
	/** Called when the commit index has advanced, with its previous value. */
	onCommitted: (previousIndex: number) => void;
	onApplied: (entry: LogEntry, results: AppliedResults) => void;
	/** Called when a higher commit index has become durable and its versions were delivered. */
	onDelivered: () => void;
};

/** The result of applying an entry that was a publish or a document. */
export type AppliedResults = {publish?: PublishResult; document?: DocumentResult};

type AppliedEntry = {entry: LogEntry; results: AppliedResults};

/**
 * Creates the applier and restores the state machine to the stored commit index.
 * @param options - The keeper's shared state and the callbacks.
 */
export function createApplier(options: ApplierOptions): Applier {
	const {core, onCommitted, onApplied, onDelivered} = options;
	const {store, machine} = core;
	const listeners: KeeperListener[] = [];
	const documentListeners: DocumentListener[] = [];
	let appliedIndex = 0;
	let appliedBytes = 0;
	let deliveredIndex = 0;
	let deliveredVersion = 0;
	let isDelivering = false;
	let isApplying = false;
	let targetIndex = 0;
	let durableContent = machine.getContent();
	let durableDocument = machine.documents.findDocument();
	let deliveredNumber = Number.NEGATIVE_INFINITY;

	function applyUpTo(index: number): AppliedEntry[] {
		return store.getEntries(appliedIndex + 1, index - appliedIndex).map(entry => {
			const results = applyEntry(entry);
			appliedIndex = entry.index;
			appliedBytes += getEntrySizeBytes(entry);
			return {entry, results};
		});
	}

	function applyEntry({command}: LogEntry): AppliedResults {
		return {
			publish: command.type === 'publish' ? machine.apply(command.proposal) : undefined,
			document: command.type === 'put-document' ? machine.documents.apply(command.document) : undefined,
		};
	}

	function commitUpTo(index: number): void {
		const previousIndex = store.getCommitIndex();
		const applied = applyUpTo(index);
		const content = machine.getContent();
		const document = machine.documents.findDocument();
		store.setCommitIndex(index, () => {
			markDurable(index, content, document);
		});
		onCommitted(previousIndex);
		compactIfLarge();
		for (const {entry, results} of applied) {
			onApplied(entry, results);
		}
	}

	function compactIfLarge(): void {
		const baseIndex = store.getBase().index;
		if (appliedIndex - baseIndex > maxAppliedEntries || appliedBytes > maxAppliedBytes) {
			appliedBytes = 0;
			store.compact(Math.max(baseIndex, appliedIndex - retainedEntries), {stateIndex: appliedIndex, state: machine.getState()});
		}
	}

	function markDurable(index: number, content: typeof durableContent, document: typeof durableDocument): void {
		if (core.isStopped || index <= deliveredIndex) {
			return;
		}

		deliveredIndex = index;
		durableContent = content;
		durableDocument = document;
		deliver();
		deliverDocument();
		onDelivered();
	}

	function deliver(): void {
		if (!isDelivering || durableContent.version <= deliveredVersion) {
			return;
		}

		deliveredVersion = durableContent.version;
		for (const listener of listeners) {
			listener(durableContent);
		}
	}

	function deliverDocument(): void {
		if (!isDelivering || durableDocument === undefined || durableDocument.number <= deliveredNumber) {
			return;
		}

		deliveredNumber = durableDocument.number;
		for (const listener of documentListeners) {
			listener(durableDocument);
		}
	}

	function restore(): void {
		const stored = store.findStoredMachine();
		if (stored !== undefined) {
			machine.setState(stored.state);
			appliedIndex = stored.stateIndex;
		}

		applyUpTo(store.getCommitIndex());
		deliveredIndex = appliedIndex;
		durableContent = machine.getContent();
		durableDocument = machine.documents.findDocument();
	}

	restore();
	return {
		getAppliedIndex: () => appliedIndex,
		getDeliveredIndex: () => deliveredIndex,
		commit(index) {
			targetIndex = Math.max(targetIndex, index);
			if (isApplying) {
				return;
			}

			isApplying = true;
			while (targetIndex > store.getCommitIndex()) {
				commitUpTo(targetIndex);
			}

			isApplying = false;
		},
		installSnapshot(base, state, onSynced) {
			machine.setState(state);
			appliedIndex = base.index;
			appliedBytes = 0;
			const content = machine.getContent();
			const document = machine.documents.findDocument();
			store.installSnapshot(base, state, () => {
				markDurable(base.index, content, document);
				onSynced();
			});
		},
		addListener(listener) {
			listeners.push(listener);
			if (deliveredVersion > 0) {
				listener(durableContent);
			}
		},
		addDocumentListener(listener) {
			documentListeners.push(listener);
			if (durableDocument?.number === deliveredNumber) {
				listener(durableDocument);
			}
		},
		findDurableDocument: () => durableDocument,
		startDelivery() {
			isDelivering = true;
			deliver();
			deliverDocument();
		},
	};
}
