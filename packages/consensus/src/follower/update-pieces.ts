import type {ObjectChange} from '../content/object-change.js';
import type {FollowerMessageOf} from './follower-messages.js';
import {updatePieceBytes} from './follower-timings.js';

type UpdateMessage = FollowerMessageOf<'configuration.update'>;

/** An update assembled from all its pieces. */
export type ReceivedUpdate = Pick<UpdateMessage, 'fromVersion' | 'version' | 'digest' | 'changes'>;

/**
 * Splits changes into pieces of bounded size. There is always at least one piece, and a change larger than the bound has a piece of its own.
 * @param changes - The changes.
 */
export function splitChanges(changes: readonly ObjectChange[]): ObjectChange[][] {
	const pieces: ObjectChange[][] = [[]];
	let sizeBytes = 0;
	for (const change of changes) {
		const changeBytes = JSON.stringify(change).length;
		if (sizeBytes > 0 && sizeBytes + changeBytes > updatePieceBytes) {
			pieces.push([]);
			sizeBytes = 0;
		}

		pieces.at(-1)!.push(change);
		sizeBytes += changeBytes;
	}

	return pieces;
}

/** Assembles the pieces of one update at a time. */
export type UpdateReceiver = {
	/** Adds a piece. Returns the whole update once all pieces have arrived. */
	addPiece(fromPeerId: string, piece: UpdateMessage): ReceivedUpdate | undefined;
};

/** Creates a receiver. A piece of a different update discards the pieces received so far. */
export function createUpdateReceiver(): UpdateReceiver {
	let currentSource = '';
	let pieces = new Map<number, ObjectChange[]>();

	return {
		addPiece(fromPeerId, piece) {
			const {fromVersion, version, digest, pieceIndex, pieceCount, changes} = piece;
			const pieceSource = [fromPeerId, fromVersion, version, pieceCount].join(' ');
			if (pieceSource !== currentSource) {
				currentSource = pieceSource;
				pieces = new Map();
			}

			pieces.set(pieceIndex, changes);
			if (pieces.size < pieceCount) {
				return undefined;
			}

			const receivedPieces = pieces;
			currentSource = '';
			pieces = new Map();
			return {
				fromVersion,
				version,
				digest,
				changes: [...receivedPieces.keys()].toSorted((left, right) => left - right).flatMap(index => receivedPieces.get(index)!),
			};
		},
	};
}
