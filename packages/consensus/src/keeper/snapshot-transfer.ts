import {Buffer} from 'node:buffer';
import {z} from 'zod';
import {machineStateSchema} from '../publish/configuration-machine.js';
import type {KeeperCore} from './keeper-core.js';
import type {KeeperMessageOf} from './keeper-messages.js';
import {logBaseSchema} from './store-records.js';

/** The content of a snapshot that is sent to another keeper. */
export const transferredStateSchema = z.object({base: logBaseSchema, state: machineStateSchema});

export type TransferredState = z.infer<typeof transferredStateSchema>;

/** An encoded snapshot, shared by all keepers that need it. */
export type EncodedState = {lastIndex: number; lastTerm: number; bytes: Uint8Array};

/**
 * Encodes the current state of the state machine.
 * @param core - The keeper's shared state.
 * @param appliedIndex - The index up to which entries are applied to the state.
 */
export function encodeState(core: KeeperCore, appliedIndex: number): EncodedState {
	const {store, machine} = core;
	const lastTerm = store.findTermAt(appliedIndex)!;
	const state: TransferredState = {
		base: {index: appliedIndex, term: lastTerm, keepers: [...store.getKeepersAt(appliedIndex)]},
		state: machine.getState(),
	};
	return {lastIndex: appliedIndex, lastTerm, bytes: new TextEncoder().encode(JSON.stringify(state))};
}

/** Assembles the pieces of a snapshot. */
export type StateReceiver = {
	/** Adds a piece. Returns the whole state after the last one. */
	addPiece(piece: KeeperMessageOf<'consensus.snapshot-piece'>): TransferredState | undefined;
	/** Gets the offset at which the next piece must start. */
	getNextOffset(): number;
};

/** Creates a receiver that holds at most one unfinished snapshot. */
export function createStateReceiver(): StateReceiver {
	let currentSource = '';
	let parts: Uint8Array[] = [];
	let nextOffset = 0;

	return {
		addPiece(piece) {
			const pieceSource = `${piece.fromIdentity} ${piece.term} ${piece.lastIndex}`;
			if (pieceSource !== currentSource) {
				currentSource = pieceSource;
				parts = [];
				nextOffset = 0;
			}

			if (piece.offset !== nextOffset) {
				return undefined;
			}

			parts.push(piece.bytes);
			nextOffset += piece.bytes.length;
			if (!piece.isLast) {
				return undefined;
			}

			const text = new TextDecoder().decode(Buffer.concat(parts));
			currentSource = '';
			parts = [];
			const parsed = transferredStateSchema.safeParse(JSON.parse(text));
			return parsed.data;
		},
		getNextOffset: () => nextOffset,
	};
}
