import type {DocumentResult, NumberedDocument} from './document-schemas.js';

/** The state machine for documents: holds the committed document with the highest number. */
export type DocumentMachine = {
	findDocument(): NumberedDocument | undefined;
	/** Finds the result for a document if it is known without committing it. */
	findResult(document: NumberedDocument): DocumentResult | undefined;
	apply(document: NumberedDocument): DocumentResult;
	setDocument(document: NumberedDocument | undefined): void;
};

/** Creates a state machine without a document. */
export function createDocumentMachine(): DocumentMachine {
	let current: NumberedDocument | undefined;

	function findResult({number, content}: NumberedDocument): DocumentResult | undefined {
		if (current === undefined || number > current.number) {
			return undefined;
		}

		const isOther = number === current.number && content !== current.content;
		return {outcome: isOther ? 'conflict' : 'stored', number: current.number};
	}

	return {
		findDocument: () => current,
		findResult,
		apply(document) {
			const known = findResult(document);
			if (known !== undefined) {
				return known;
			}

			current = document;
			return {outcome: 'stored', number: document.number};
		},
		setDocument(document) {
			current = document;
		},
	};
}
