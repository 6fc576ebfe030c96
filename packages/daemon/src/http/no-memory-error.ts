import {CamphortackError} from '@camphortack/core';

/** Thrown if the memory of a request was needed for others before its body was complete. */
export class NoMemoryError extends CamphortackError {
	/** Creates the error. */
	constructor() {
		super('no-memory', 'the open requests of this daemon use up their memory');
	}
}
