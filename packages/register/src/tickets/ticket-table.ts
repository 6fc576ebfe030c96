import type {RandomSource, TimerService} from '@camphortack/core';
import {
	createTicket, isGenuineTicket, type Ticket, type TicketIssuer,
} from './ticket.js';

/** The contents of a ticket table as transferred to another daemon. */
export type TicketTableSnapshot = TicketIssuer & {
	secret: string;
	firstNumber: number;
	nextNumber: number;
	/** The number and the content hash of each started ticket. */
	entries: Array<[number, string]>;
};

export type TicketTableOptions = {
	issuer: TicketIssuer;
	timers: TimerService;
	random: RandomSource;
	/** Minimum time for which a ticket can be used and a used one is remembered. */
	retentionMs?: number;
	/** The table of another daemon that performed a planned stop. If omitted, an empty table is created. */
	snapshot?: TicketTableSnapshot;
};

/**
 * The result of claiming a ticket.
 * - `start`: the ticket had not been started and is now marked as started.
 * - `started`: it has already been started with the same content.
 * - `conflict`: it has already been started with different content.
 * - `forged`: its check does not match the secret of this table.
 * - `expired`: it is older than the retention period.
 * - `fenced`: it has not been started, and the table is being or has been transferred to another daemon.
 */
export type TicketState = 'start' | 'started' | 'conflict' | 'forged' | 'expired' | 'fenced';

/** The tickets issued by one process. The table is kept in memory only; if it is lost, none of its tickets can be started any more. */
export type TicketTable = {
	readonly issuer: TicketIssuer;
	issueTickets(count: number): string[];
	/** Marks a ticket as started if it may be started. */
	claimTicket(ticket: Ticket, contentHash: string): TicketState;
	/** Releases a claim whose job was not started. */
	releaseTicket(ticket: Ticket): void;
	/** Rejects further starts, so that the table can be transferred. */
	fence(): void;
	getSnapshot(): TicketTableSnapshot;
	getStartedCount(): number;
	close(): void;
};

type Generation = {
	firstNumber: number;
	startedAtMs: number;
	contentHashes: Map<number, string>;
};

const defaultRetentionMs = 1_800_000;
const generationsPerRetention = 8;
const secretParts = 2;

/**
 * Creates a table for the tickets issued by this process, or restores a transferred table.
 * @param options - The issuer and the ports.
 *
 * @example
 * ```ts
 * const table = createTicketTable({issuer: {availabilityZone: 'graz-a', daemonId: 'entry-1', incarnation}, timers, random});
 * const [ticket] = table.issueTickets(1);
 * ```
 */
export function createTicketTable(options: TicketTableOptions): TicketTable {
	const {issuer, timers, random, retentionMs = defaultRetentionMs, snapshot} = options;
	const generationMs = retentionMs / generationsPerRetention;
	const secret = snapshot?.secret ?? Array.from({length: secretParts}, () => random.getIdentifier()).join('');
	let nextNumber = snapshot?.nextNumber ?? 1;
	let isFenced = false;
	let generations: Generation[] = [{
		firstNumber: snapshot?.firstNumber ?? 1,
		startedAtMs: timers.getNowMs(),
		contentHashes: new Map(snapshot?.entries),
	}];
	const rotation = timers.addInterval(generationMs, () => {
		const nowMs = timers.getNowMs();
		generations = generations.filter(generation => generation.startedAtMs + generationMs + retentionMs > nowMs);
		generations.push({firstNumber: nextNumber, startedAtMs: nowMs, contentHashes: new Map()});
	});

	function findGeneration(number: number): Generation | undefined {
		return generations.findLast(generation => generation.firstNumber <= number);
	}

	return {
		issuer,
		issueTickets: count => Array.from({length: count}, () => createTicket(issuer, nextNumber++, secret)),
		claimTicket(ticket, contentHash) {
			if (!isGenuineTicket(ticket, secret)) {
				return 'forged';
			}

			const generation = findGeneration(ticket.number);
			if (generation === undefined) {
				return 'expired';
			}

			const storedHash = generation.contentHashes.get(ticket.number);
			if (storedHash !== undefined) {
				return storedHash === contentHash ? 'started' : 'conflict';
			}

			if (isFenced) {
				return 'fenced';
			}

			generation.contentHashes.set(ticket.number, contentHash);
			return 'start';
		},
		releaseTicket(ticket) {
			findGeneration(ticket.number)?.contentHashes.delete(ticket.number);
		},
		fence() {
			isFenced = true;
		},
		getSnapshot: () => ({
			...issuer,
			secret,
			firstNumber: generations[0]?.firstNumber ?? nextNumber,
			nextNumber,
			entries: generations.flatMap(({contentHashes}) => [...contentHashes]),
		}),
		getStartedCount: () => generations.reduce((count, {contentHashes}) => count + contentHashes.size, 0),
		close() {
			rotation.cancel();
		},
	};
}
