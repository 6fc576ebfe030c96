import type {RandomSource, TimerService, TimerSubscription} from '@camphortack/core';
import type {ClientMessage, ClientMessageOf, KeeperMessage} from '../messages/register-messages.js';
import {createTicketTable, type TicketTableSnapshot, type TicketTable} from '../tickets/ticket-table.js';

export type TableHandoverOptions = {
	ownId: string;
	incarnation: string;
	timers: TimerService;
	random: RandomSource;
	tickets: TicketTable;
	retentionMs?: number;
	getKeeperIds: () => readonly string[];
	/** Finds the incarnation of the live process of a daemon. */
	findIncarnation: (daemonId: string) => string | undefined;
	send: (peerId: string, message: ClientMessage | KeeperMessage) => void;
};

/** Transfers ticket tables to a successor at a planned stop, and adopts the tables of other daemons. */
export type TableHandover = {
	/**
	 * Transfers the own table and the adopted ones, in parts, to the current incarnation of the successor. If the
	 * successor is not live, the tickets are lost with this process. Only the first call has an effect.
	 */
	start(successorId: string, onDone: () => void): void;
	/** Finds the own table or an adopted one by the incarnation that issued its tickets. */
	findTable(incarnation: string): TicketTable | undefined;
	/** Gets the successor once it has confirmed all tables. */
	findSuccessorId(): string | undefined;
	handlePart(fromPeerId: string, message: ClientMessageOf<'register.table-part'>): void;
	handlePartTaken(fromPeerId: string, message: ClientMessageOf<'register.table-part-taken'>): void;
	handleHeirAdded(fromPeerId: string, message: ClientMessageOf<'register.heir-added'>): void;
	close(): void;
};

const entriesPerPart = 1000;
const retryIntervalMs = 500;

/** A handover in progress. The successor accepts it only in the process `heirIncarnation`. */
type OutgoingHandover = {successorId: string; heirIncarnation: string; tables: TicketTableSnapshot[]; part: number; onDone: () => void};

/**
 * Creates the handover of ticket tables.
 * @param options - The own table and the ports.
 */
export function createTableHandover(options: TableHandoverOptions): TableHandover {
	const {
		ownId, incarnation: ownIncarnation, timers, random, tickets, retentionMs, getKeeperIds, findIncarnation, send,
	} = options;
	const adopted = new Map<string, TicketTable>();
	/** Partially received tables, by the incarnation that issued their tickets. */
	const incoming = new Map<string, {nextPart: number; entries: Array<[number, string]>}>();
	/** The keepers that have not confirmed the adoption of a table yet. */
	const unannounced = new Map<string, Set<string>>();
	let outgoing: OutgoingHandover | undefined;
	let confirmedSuccessorId: string | undefined;
	let isStarted = false;
	const retries: TimerSubscription = timers.addInterval(retryIntervalMs, () => {
		sendPart();
		announce();
	});

	function sendPart(): void {
		if (outgoing === undefined) {
			return;
		}

		const {
			successorId, heirIncarnation, tables: [table], part,
		} = outgoing;
		if (table === undefined) {
			return;
		}

		const start = part * entriesPerPart;
		send(successorId, {
			kind: 'register.table-part',
			...table,
			heirIncarnation,
			part,
			isLast: start + entriesPerPart >= table.entries.length,
			entries: table.entries.slice(start, start + entriesPerPart),
		});
	}

	function announce(): void {
		for (const [incarnation, keeperIds] of unannounced) {
			for (const keeperId of keeperIds) {
				send(keeperId, {kind: 'register.add-heir', incarnation, heirId: ownId});
			}
		}
	}

	function adopt(message: ClientMessageOf<'register.table-part'>, entries: Array<[number, string]>): void {
		const {
			availabilityZone, daemonId, incarnation, secret, firstNumber, nextNumber,
		} = message;
		const issuer = {availabilityZone, daemonId, incarnation};
		const snapshot = {
			...issuer,
			secret,
			firstNumber,
			nextNumber,
			entries,
		};
		adopted.set(incarnation, createTicketTable({
			issuer,
			timers,
			random,
			retentionMs,
			snapshot,
		}));
		incoming.delete(incarnation);
		unannounced.set(incarnation, new Set(getKeeperIds()));
		announce();
	}

	return {
		start(successorId, onDone) {
			if (isStarted) {
				return;
			}

			isStarted = true;
			const tables = [tickets, ...adopted.values()];
			for (const table of tables) {
				table.fence();
			}

			const heirIncarnation = findIncarnation(successorId);
			if (heirIncarnation === undefined) {
				onDone();
				return;
			}

			outgoing = {
				successorId,
				heirIncarnation,
				tables: tables.map(table => table.getSnapshot()),
				part: 0,
				onDone,
			};
			sendPart();
		},
		findTable: incarnation => incarnation === tickets.issuer.incarnation ? tickets : adopted.get(incarnation),
		findSuccessorId: () => confirmedSuccessorId,
		handlePart(fromPeerId, message) {
			const {
				incarnation, part, isLast, heirIncarnation,
			} = message;
			if (heirIncarnation !== ownIncarnation) {
				return;
			}

			const known = incoming.get(incarnation) ?? {nextPart: 0, entries: []};
			if (!adopted.has(incarnation) && known.nextPart === part) {
				known.entries.push(...message.entries);
				incoming.set(incarnation, {nextPart: part + 1, entries: known.entries});
				if (isLast) {
					adopt(message, known.entries);
				}
			}

			if (adopted.has(incarnation) || incoming.get(incarnation)!.nextPart > part) {
				send(fromPeerId, {kind: 'register.table-part-taken', incarnation, part});
			}
		},
		handlePartTaken(fromPeerId, message) {
			const table = outgoing?.tables[0];
			const isExpected = outgoing?.successorId === fromPeerId && outgoing.part === message.part && message.incarnation === table?.incarnation;
			if (outgoing === undefined || table === undefined || !isExpected) {
				return;
			}

			outgoing.part++;
			if (outgoing.part * entriesPerPart >= table.entries.length) {
				outgoing.tables.shift();
				outgoing.part = 0;
			}

			if (outgoing.tables.length > 0) {
				sendPart();
				return;
			}

			const {onDone} = outgoing;
			confirmedSuccessorId = outgoing.successorId;
			outgoing = undefined;
			onDone();
		},
		handleHeirAdded(fromPeerId, message) {
			unannounced.get(message.incarnation)?.delete(fromPeerId);
		},
		close() {
			retries.cancel();
			for (const table of adopted.values()) {
				table.close();
			}
		},
	};
}
