import {Buffer} from 'node:buffer';

/** Splits a stream of byte chunks into complete lines. */
export type LineSplitter = {
	/**
	 * Adds a chunk.
	 * @throws RangeError if a line is longer than `maxLineBytes`.
	 */
	addChunk(chunk: Uint8Array): void;
	/** Emits the text after the last line feed as a line, unless it is empty. */
	end(): void;
};

const lineFeed = 0x0A;

/**
 * Creates a splitter for newline-delimited JSON.
 * @param maxLineBytes - The maximum length of a line.
 * @param onLine - Called for each non-empty line.
 *
 * @example
 * ```ts
 * const lines: string[] = [];
 * const splitter = createLineSplitter(1024, line => lines.push(line));
 * splitter.addChunk(Buffer.from('one\ntwo\n'));
 * ```
 */
export function createLineSplitter(maxLineBytes: number, onLine: (line: string) => void): LineSplitter {
	let segments: Uint8Array[] = [];
	let pendingBytes = 0;

	const addSegment = (segment: Uint8Array) => {
		pendingBytes += segment.length;
		if (pendingBytes > maxLineBytes) {
			throw new RangeError(`line exceeds the maximum of ${maxLineBytes} bytes`);
		}

		segments.push(segment);
	};

	const emitLine = () => {
		const line = Buffer.concat(segments).toString('utf8').trim();
		segments = [];
		pendingBytes = 0;
		if (line !== '') {
			onLine(line);
		}
	};

	return {
		addChunk(chunk) {
			let start = 0;
			for (let end = chunk.indexOf(lineFeed); end !== -1; end = chunk.indexOf(lineFeed, start)) {
				addSegment(chunk.subarray(start, end));
				emitLine();
				start = end + 1;
			}

			if (start < chunk.length) {
				addSegment(chunk.subarray(start));
			}
		},
		end: emitLine,
	};
}
