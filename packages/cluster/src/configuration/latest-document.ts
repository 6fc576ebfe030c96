/** A published configuration, unparsed, with its version number. */
export type NumberedDocument = {
	number: number;
	content: string;
};

/** The newest committed configuration that this daemon knows. Older documents never replace newer ones. */
export type LatestDocument = {
	getDocument(): NumberedDocument | undefined;
	/** Gets the number of the configuration in force; 0 if there is none. */
	getNumber(): number;
	/** Replaces the document if the given one is newer. */
	setDocument(document: NumberedDocument): void;
};

/**
 * Creates the store of the newest document, initially empty.
 * @param onChange - Called with each newer document.
 */
export function createLatestDocument(onChange: (document: NumberedDocument) => void): LatestDocument {
	let current: NumberedDocument | undefined;
	return {
		getDocument: () => current,
		getNumber: () => current?.number ?? 0,
		setDocument(document) {
			if (current === undefined || document.number > current.number) {
				current = document;
				onChange(document);
			}
		},
	};
}
