import {connect, type Socket} from 'node:net';

/** A number of connections that all send the same way and stay open. */
export type Crowd = {
	/** Waits until each connection has sent everything or is closed, or until none makes progress any more. */
	waitUntilSettled(): Promise<void>;
	/** Closes the connections and waits until they are closed. */
	leave(): Promise<void>;
};

export type CrowdOptions = {
	address: {host: string; port: number};
	count: number;
	/** Gets what a connection sends, in the pieces in which it is written; it stays open afterwards. */
	getPieces: (number: number) => Iterable<string | Uint8Array>;
	/** Whether the connections never read what they receive. */
	ignoresResponses?: boolean;
};

const progressCheckIntervalMs = 250;
const idleCheckCount = 6;
/** Pieces between two turns of the event loop, so that all connections send at the same time. */
const piecesPerTurn = 256;

/**
 * Opens a crowd.
 * @param options - The number of connections, and what they send.
 */
export function openCrowd({address, count, getPieces, ignoresResponses = false}: CrowdOptions): Crowd {
	const sockets: Socket[] = [];
	const unfinished = new Set<Socket>();
	let pieceCount = 0;

	function open(number: number): void {
		const socket = connect({...address, noDelay: true});
		const pieces = getPieces(number)[Symbol.iterator]();
		sockets.push(socket);
		unfinished.add(socket);
		socket.on('error', () => {
			// Handled by the close event, which follows.
		});
		socket.once('close', () => {
			unfinished.delete(socket);
		});
		socket.once('connect', () => {
			sendPieces(socket, pieces);
		});
		if (!ignoresResponses) {
			socket.resume();
		}
	}

	function sendPieces(socket: Socket, pieces: Iterator<string | Uint8Array>): void {
		for (let number = 0; number < piecesPerTurn; number++) {
			const {done: isDone, value} = pieces.next() as IteratorResult<string | Uint8Array, undefined>;
			if (isDone === true || socket.destroyed) {
				unfinished.delete(socket);
				return;
			}

			pieceCount++;
			if (!socket.write(value)) {
				socket.once('drain', () => {
					sendPieces(socket, pieces);
				});
				return;
			}
		}

		setImmediate(() => {
			sendPieces(socket, pieces);
		});
	}

	function getProgress(): number {
		return pieceCount + sockets.reduce((sum, socket) => sum + socket.bytesWritten - socket.writableLength + Number(socket.destroyed), 0);
	}

	for (let number = 0; number < count; number++) {
		open(number);
	}

	return {
		async waitUntilSettled() {
			let idleChecks = 0;
			for (let progress = -1; idleChecks < idleCheckCount;) {
				const next = getProgress();
				const isWriting = unfinished.size > 0 || sockets.some(socket => socket.writableLength > 0);
				idleChecks = next === progress || !isWriting ? idleChecks + 1 : 0;
				progress = next;
				// eslint-disable-next-line no-await-in-loop -- The connections send meanwhile.
				await new Promise(resolve => {
					setTimeout(resolve, progressCheckIntervalMs);
				});
			}
		},
		async leave() {
			await Promise.all(sockets.map(async socket => new Promise<void>(resolve => {
				if (socket.closed) {
					resolve();
				} else {
					socket.once('close', () => {
						resolve();
					});
					socket.destroy();
				}
			})));
		},
	};
}
