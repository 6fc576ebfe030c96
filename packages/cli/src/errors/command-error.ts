import {CamphortackError} from '@camphortack/core';
import type {ExitCode} from '../exit-codes.js';

/** The failure of a command, with its exit code. */
export class CommandError extends CamphortackError {
	readonly exitCode: ExitCode;
	/** Details of the error, printed with `--json`. */
	readonly details: unknown;

	/**
	 * Creates the error.
	 * @param code - The stable code of the error.
	 * @param message - What happened and what the user can do about it.
	 * @param exitCode - The exit code of the command.
	 * @param details - Details of the error, printed with `--json`.
	 */
	constructor(code: string, message: string, exitCode: ExitCode, details?: unknown) {
		super(code, message);
		this.exitCode = exitCode;
		this.details = details;
	}
}
