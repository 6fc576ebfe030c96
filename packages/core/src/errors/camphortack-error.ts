/** Base class of the errors that Camphortack throws deliberately. */
export class CamphortackError extends Error {
	/** A stable code, such as `data-folder-locked`. */
	readonly code: string;

	/**
	 * Creates the error.
	 * @param code - A stable code.
	 * @param message - The problem and how to resolve it.
	 * @param options - The underlying error, if any.
	 */
	constructor(code: string, message: string, options?: ErrorOptions) {
		super(message, options);
		this.name = new.target.name;
		this.code = code;
	}
}
