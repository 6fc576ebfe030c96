/** A whole published configuration as it was sent, with its number. */
export type NumberedDocument = {
	number: number;
	content: string;
};

/** The newest agreed configuration that this daemon knows. It never goes back. */
export type LatestDocument = {
	getDocument(): NumberedDocument | undefined;
	/** Gets the number in force; 0 if there is none. */
	getNumber(): number;
	/** Takes a document if it is newer. */
	setDocument(document: NumberedDocument): void;
};

/**
 * Creates the holder.
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
