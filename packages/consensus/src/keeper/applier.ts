import type {ConfigurationContent} from '../content/configuration-content.js';
import type {MachineState} from '../publish/configuration-machine.js';
import type {DocumentResult, NumberedDocument} from '../publish/document-schemas.js';
import type {Evacuations} from '../publish/evacuation-schemas.js';
import type {PublishResult} from '../publish/publish-schemas.js';
import type {KeeperCore} from './keeper-core.js';
import type {DocumentListener, EvacuationListener, KeeperListener} from './keeper-options.js';
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
	addEvacuationListener(listener: EvacuationListener): void;
	/** Gets the evacuations as of the last durable commit index. */
	getDurableEvacuations(): Evacuations;
	/** Starts to deliver versions, documents and evacuations to listeners. */
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

/** What the state machine provides to listeners. */
type AppliedOutputs = {content: ConfigurationContent; document: NumberedDocument | undefined; evacuations: Evacuations};

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
	const evacuationListeners: EvacuationListener[] = [];
	let appliedIndex = 0;
	let appliedBytes = 0;
	let deliveredIndex = 0;
	let deliveredVersion = 0;
	let isDelivering = false;
	let isApplying = false;
	let targetIndex = 0;
	let durable = getOutputs();
	let deliveredNumber = Number.NEGATIVE_INFINITY;
	let deliveredRevision = 0;

	function getOutputs(): AppliedOutputs {
		return {content: machine.getContent(), document: machine.documents.findDocument(), evacuations: machine.evacuations.getEvacuations()};
	}

	function applyUpTo(index: number): AppliedEntry[] {
		return store.getEntries(appliedIndex + 1, index - appliedIndex).map(entry => {
			const results = applyEntry(entry);
			appliedIndex = entry.index;
			appliedBytes += getEntrySizeBytes(entry);
			return {entry, results};
		});
	}

	function applyEntry({command}: LogEntry): AppliedResults {
		if (command.type === 'set-evacuation') {
			machine.evacuations.apply(command.order);
		}

		return {
			publish: command.type === 'publish' ? machine.apply(command.proposal) : undefined,
			document: command.type === 'put-document' ? machine.documents.apply(command.document) : undefined,
		};
	}

	function commitUpTo(index: number): void {
		const previousIndex = store.getCommitIndex();
		const applied = applyUpTo(index);
		const outputs = getOutputs();
		store.setCommitIndex(index, () => {
			markDurable(index, outputs);
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

	function markDurable(index: number, outputs: AppliedOutputs): void {
		if (core.isStopped || index <= deliveredIndex) {
			return;
		}

		deliveredIndex = index;
		durable = outputs;
		deliver();
		onDelivered();
	}

	/** Evacuations go first: a daemon that can serve jobs because it has a configuration then knows them too. */
	function deliver(): void {
		if (isDelivering) {
			deliverEvacuations(durable.evacuations);
			deliverContent(durable.content);
			deliverDocument(durable.document);
		}
	}

	function deliverContent(content: ConfigurationContent): void {
		if (content.version <= deliveredVersion) {
			return;
		}

		deliveredVersion = content.version;
		for (const listener of listeners) {
			listener(content);
		}
	}

	function deliverDocument(document: NumberedDocument | undefined): void {
		if (document === undefined || document.number <= deliveredNumber) {
			return;
		}

		deliveredNumber = document.number;
		for (const listener of documentListeners) {
			listener(document);
		}
	}

	function deliverEvacuations(evacuations: Evacuations): void {
		if (evacuations.revision <= deliveredRevision) {
			return;
		}

		deliveredRevision = evacuations.revision;
		for (const listener of evacuationListeners) {
			listener(evacuations);
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
		durable = getOutputs();
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
			const outputs = getOutputs();
			store.installSnapshot(base, state, () => {
				markDurable(base.index, outputs);
				onSynced();
			});
		},
		addListener(listener) {
			listeners.push(listener);
			if (deliveredVersion > 0) {
				listener(durable.content);
			}
		},
		addDocumentListener(listener) {
			documentListeners.push(listener);
			if (durable.document?.number === deliveredNumber) {
				listener(durable.document);
			}
		},
		findDurableDocument: () => durable.document,
		addEvacuationListener(listener) {
			evacuationListeners.push(listener);
			if (deliveredRevision > 0) {
				listener(durable.evacuations);
			}
		},
		getDurableEvacuations: () => durable.evacuations,
		startDelivery() {
			isDelivering = true;
			deliver();
		},
	};
}
