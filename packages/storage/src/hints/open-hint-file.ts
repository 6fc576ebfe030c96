import {Buffer} from 'node:buffer';
import type {EventLog} from '@camphortack/core';
import type {FileSystem} from '../ports/file-system.js';
import {writeFileAtomically} from '../utils/write-file-atomically.js';

/** A small value in a file, for what a daemon remembers over restarts but can do without. */
export type HintFile = {
	/** Gets the value that was found at opening; undefined if there was none. */
	findValue(): unknown;
	/** Writes a value in the background. Of values that come while one is written, only the last is kept. */
	setValue(value: unknown): void;
	/** Waits until what was set is written, or has failed. */
	flush(): Promise<void>;
};

export type HintFileOptions = {
	fileSystem: FileSystem;
	path: string;
	events: EventLog;
};

/**
 * Opens the file. A file that cannot be read counts as missing, and a write that fails is left out; both are logged.
 * @param options - The file.
 *
 * @example
 * ```ts
 * const file = await openHintFile({fileSystem, path: '/var/lib/camphortack/hints.json', events});
 * file.setValue({term: 7});
 * ```
 */
export async function openHintFile({fileSystem, path, events}: HintFileOptions): Promise<HintFile> {
	const found = await findValue();
	let next: {value: unknown} | undefined;
	let writing: Promise<void> | undefined;

	async function findValue(): Promise<unknown> {
		try {
			const bytes = await fileSystem.readFileIfExists(path);
			return bytes === undefined ? undefined : JSON.parse(Buffer.from(bytes).toString());
		} catch (error) {
			reportFailure('read', error);
			return undefined;
		}
	}

	function reportFailure(operation: 'read' | 'write', error: unknown): void {
		events.write('hint-file-failed', {path, operation, reason: error instanceof Error ? error.message : String(error)});
	}

	async function writeAll(): Promise<void> {
		while (next !== undefined) {
			const {value} = next;
			next = undefined;
			try {
				// eslint-disable-next-line no-await-in-loop -- One write after the other.
				await writeFileAtomically(fileSystem, path, [Buffer.from(JSON.stringify(value))]);
			} catch (error) {
				reportFailure('write', error);
			}
		}

		writing = undefined;
	}

	return {
		findValue: () => found,
		setValue(value) {
			next = {value};
			writing ??= writeAll();
		},
		async flush() {
			await writing;
		},
	};
}
