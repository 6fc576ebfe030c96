import {Socket} from 'node:net';
import process from 'node:process';
import type {DestinationStream} from 'pino';

export type PipeDestinationOptions = {
	/** A file descriptor of a pipe or a socket. */
	fd: number;
	/** What may wait for the reader; lines beyond it are dropped. */
	maxBufferedBytes: number;
	onLineDropped: () => void;
};

/**
 * Creates a destination that never waits for the reader of a pipe, neither while the process runs nor at its end. The
 * lines of one turn of the event loop are written together. The pipe is set to non-blocking mode: a blocked write in
 * the thread pool would keep the process from ending.
 * @param options - The pipe and its bound.
 */
export function createPipeDestination({fd, maxBufferedBytes, onLineDropped}: PipeDestinationOptions): DestinationStream {
	const pipe = new Socket({fd, readable: false, writable: true});
	let lines: string[] = [];
	let lineBytes = 0;
	let isBroken = false;

	function flush(): void {
		const text = lines.join('');
		lines = [];
		lineBytes = 0;
		if (!isBroken && text !== '') {
			pipe.write(text);
		}
	}

	pipe.on('error', () => {
		// The reader is gone; from now on every line counts as dropped.
		isBroken = true;
	});
	process.once('exit', flush);

	return {
		write(line) {
			if (isBroken || pipe.writableLength + lineBytes > maxBufferedBytes) {
				onLineDropped();
				return;
			}

			if (lines.length === 0) {
				setImmediate(flush);
			}

			lines.push(line);
			lineBytes += line.length;
		},
	};
}
