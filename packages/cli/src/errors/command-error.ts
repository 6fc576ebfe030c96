import {CamphortackError} from '@camphortack/core';
import type {ExitCode} from '../exit-codes.js';

/** A command could not do what it was asked. Carries the exit code. */
export class CommandError extends CamphortackError {
	readonly exitCode: ExitCode;
	/** What belongs to the error, for `--json`. */
	readonly details: unknown;

	/**
	 * Creates the error.
	 * @param code - A stable code.
	 * @param message - What happened and what the reader can do.
	 * @param exitCode - The exit code of the command.
	 * @param details - What belongs to the error, for `--json`.
	 */
	constructor(code: string, message: string, exitCode: ExitCode, details?: unknown) {
		super(code, message);
		this.exitCode = exitCode;
		this.details = details;
	}
}
