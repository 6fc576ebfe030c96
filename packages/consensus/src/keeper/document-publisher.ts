import type {DocumentResult, NumberedDocument} from '../publish/document-schemas.js';
import type {KeeperCore} from './keeper-core.js';
import type {LogEntry} from './log-entry.js';
import type {Replication} from './replication.js';

/** The leader's work on documents. */
export type DocumentPublisher = {
	/** Takes a document. No result comes if this keeper stops leading first; the sender sends again. */
	handleDocument(document: NumberedDocument, onResult: (result: DocumentResult) => void): void;
	handleApplied(entry: LogEntry, result: DocumentResult | undefined): void;
	/** Forgets everything, since this keeper no longer leads. */
	reset(): void;
};

type InFlightDocument = {
	document: NumberedDocument;
	callbacks: Array<(result: DocumentResult) => void>;
};

/**
 * Creates the publisher.
 * @param core - The keeper's shared state.
 * @param replication - Takes the entries.
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
			if (!replication.isReady() || core.isLeaving) {
				return;
			}

			const known = core.machine.documents.findResult(document);
			if (known === undefined) {
				append(document, onResult);
			} else {
				// A keeper that was replaced as leader without knowing must not answer from what it holds.
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
