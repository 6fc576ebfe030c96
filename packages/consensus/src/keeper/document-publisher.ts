import type {DocumentResult, NumberedDocument} from '../publish/document-schemas.js';
import type {KeeperCore} from './keeper-core.js';
import type {LogEntry} from './log-entry.js';
import type {Replication} from './replication.js';

/** Replicates documents at the leader. */
export type DocumentPublisher = {
	/** Handles a document. There is no result if this keeper loses the leader role first; the sender resends. */
	handleDocument(document: NumberedDocument, onResult: (result: DocumentResult) => void): void;
	handleApplied(entry: LogEntry, result: DocumentResult | undefined): void;
	/** Discards all state, since this keeper is no longer the leader. */
	reset(): void;
};

type InFlightDocument = {
	document: NumberedDocument;
	callbacks: Array<(result: DocumentResult) => void>;
};

/**
 * Creates the document publisher of a keeper.
 * @param core - The keeper's shared state.
 * @param replication - Replicates the entries.
 */
export function createDocumentPublisher(core: KeeperCore, replication: Replication): DocumentPublisher {
	const inFlight = new Map<number, InFlightDocument>();

	function append(document: NumberedDocument, onResult: (result: DocumentResult) => void): void {
		const duplicate = [...inFlight.values()].find(entry => entry.document.number === document.number && entry.document.content === document.content);
		if (duplicate !== undefined) {
			duplicate.callbacks.push(onResult);
			return;
		}

		const index = replication.append({type: 'put-document', document});
		inFlight.set(index, {document, callbacks: [onResult]});
	}

	return {
		handleDocument(document, onResult) {
			if (!replication.acceptsProposals()) {
				return;
			}

			const known = core.machine.documents.findResult(document);
			if (known === undefined) {
				append(document, onResult);
			} else {
				// A leader that was replaced without knowing it must not respond from its own, possibly stale, state.
				replication.addBarrier(() => {
					onResult(known);
				});
			}
		},
		handleApplied(entry, result) {
			const ended = inFlight.get(entry.index);
			inFlight.delete(entry.index);
			for (const onResult of ended?.callbacks ?? []) {
				onResult(result!);
			}
		},
		reset() {
			inFlight.clear();
		},
	};
}
