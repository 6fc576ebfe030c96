import {Buffer} from 'node:buffer';
import type {EventLog} from '@camphortack/core';
import type {FileSystem} from '../ports/file-system.js';
import {writeFileAtomically} from '../utils/write-file-atomically.js';

/** A file with a small value that a daemon keeps across restarts but can do without. */
export type HintFile = {
	/** Gets the value that was found on opening, or undefined if there was none. */
	findValue(): unknown;
	/** Writes a value in the background. Of the values set during a write, only the last one is written. */
	setValue(value: unknown): void;
	/** Waits until all pending writes have completed or failed. */
	flush(): Promise<void>;
};

export type HintFileOptions = {
	fileSystem: FileSystem;
	path: string;
	events: EventLog;
};

/**
 * Opens a hint file. An unreadable file counts as missing, and a failed write is skipped; both are logged.
 * @param options - The path of the file, its file system and the event log.
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

	async function writePending(): Promise<void> {
		while (next !== undefined) {
			const {value} = next;
			next = undefined;
			try {
				// eslint-disable-next-line no-await-in-loop -- Writes must not overlap.
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
			writing ??= writePending();
		},
		async flush() {
			await writing;
		},
	};
}
