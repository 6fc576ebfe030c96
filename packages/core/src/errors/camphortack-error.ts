/** The base of every error that this project throws on purpose. */
export class CamphortackError extends Error {
	/** A stable code, as `data-folder-locked`. */
	readonly code: string;

	/**
	 * Creates the error.
	 * @param code - A stable code.
	 * @param message - What happened and what the reader can do.
	 * @param options - The cause, if another error led here.
	 */
	constructor(code: string, message: string, options?: ErrorOptions) {
		super(message, options);
		this.name = new.target.name;
		this.code = code;
	}
}
