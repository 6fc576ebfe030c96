import {Socket} from 'node:net';
import process from 'node:process';
import type {DestinationStream} from 'pino';

export type PipeDestinationOptions = {
	/** A file descriptor of a pipe or a socket. */
	fd: number;
	/** The maximum number of bytes buffered for the reader. Lines that exceed it are dropped. */
	maxBufferedBytes: number;
	onLineDropped: () => void;
};

/**
 * Creates a destination that never blocks on the reader of a pipe, neither while the process runs nor on exit. The lines
 * of one iteration of the event loop are written together. The pipe is set to non-blocking mode, as a blocked write in the
 * thread pool would keep the process from exiting.
 * @param options - The pipe, its buffer limit and the callback for dropped lines.
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
		// The reader has closed the pipe, so that all further lines are dropped.
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
