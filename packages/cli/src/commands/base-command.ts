import {Command} from 'clipanion';
import {FindingsError} from '@camphortack/core';
import type {CamphortackContext} from '../camphortack-context.js';
import {CommandError} from '../errors/command-error.js';
import {exitCodes, type ExitCode} from '../exit-codes.js';
import {createBooleanOption} from './options.js';

/** The base class of all commands, with `--json`, readable errors and exit codes. */
export abstract class BaseCommand extends Command<CamphortackContext> {
	json = createBooleanOption('--json', false, {description: 'Print JSON instead of text.'});

	override async execute(): Promise<ExitCode> {
		try {
			return await this.run();
		} catch (error) {
			return this.#reportError(error);
		}
	}

	/**
	 * Prints the result.
	 * @param value - The result to print with `--json`.
	 * @param text - The result as readable text.
	 */
	protected print(value: unknown, text: string): void {
		this.context.stdout.write(this.json ? `${JSON.stringify(value, undefined, 2)}\n` : `${text}\n`);
	}

	/** Prints progress to standard error; it is not part of the result. */
	protected printProgress(text: string): void {
		if (!this.json) {
			this.context.stderr.write(`${text}\n`);
		}
	}

	/** Runs the command. */
	protected abstract run(): Promise<ExitCode>;

	#reportError(error: unknown): ExitCode {
		if (error instanceof CommandError) {
			this.#printError(error.code, error.message, error.details);
			return error.exitCode;
		}

		if (error instanceof FindingsError) {
			this.#printError(error.code, error.message, {findings: error.findings});
			return exitCodes.failed;
		}

		throw error;
	}

	#printError(code: string, message: string, details: unknown): void {
		if (this.json) {
			this.context.stdout.write(`${JSON.stringify({error: {code, message, details}}, undefined, 2)}\n`);
		} else {
			this.context.stderr.write(`camphortack: ${message}\n`);
		}
	}
}
