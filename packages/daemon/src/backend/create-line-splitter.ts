import {Buffer} from 'node:buffer';

/** Collects chunks of bytes and gives whole lines. */
export type LineSplitter = {
	/**
	 * Adds a chunk.
	 * @throws RangeError if a line is longer than the bound.
	 */
	addChunk(chunk: Uint8Array): void;
	/** Gives what stands after the last line feed as a line, if it is not empty. */
	end(): void;
};

const lineFeed = 0x0A;

/**
 * Creates a splitter for newline-delimited JSON.
 * @param longestLineBytes - The bound on one line.
 * @param onLine - Called for each line that is not empty.
 *
 * @example
 * ```ts
 * const lines: string[] = [];
 * const splitter = createLineSplitter(1024, line => lines.push(line));
 * splitter.addChunk(Buffer.from('one\ntwo\n'));
 * ```
 */
export function createLineSplitter(longestLineBytes: number, onLine: (line: string) => void): LineSplitter {
	let parts: Uint8Array[] = [];
	let pendingBytes = 0;

	const addPart = (part: Uint8Array) => {
		pendingBytes += part.length;
		if (pendingBytes > longestLineBytes) {
			throw new RangeError(`a line is longer than ${longestLineBytes} bytes`);
		}

		parts.push(part);
	};

	const giveLine = () => {
		const line = Buffer.concat(parts).toString('utf8').trim();
		parts = [];
		pendingBytes = 0;
		if (line !== '') {
			onLine(line);
		}
	};

	return {
		addChunk(chunk) {
			let start = 0;
			for (let end = chunk.indexOf(lineFeed); end !== -1; end = chunk.indexOf(lineFeed, start)) {
				addPart(chunk.subarray(start, end));
				giveLine();
				start = end + 1;
			}

			if (start < chunk.length) {
				addPart(chunk.subarray(start));
			}
		},
		end: giveLine,
	};
}
