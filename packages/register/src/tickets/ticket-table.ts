import type {RandomSource, TimerService} from '@camphortack/core';
import {
	createTicket, isGenuineTicket, type Ticket, type TicketIssuer,
} from './ticket.js';

/** A table as one daemon hands it to another, in parts. */
export type TicketTableSnapshot = TicketIssuer & {
	secret: string;
	firstNumber: number;
	nextNumber: number;
	/** The number and the content hash of each ticket that was started. */
	entries: Array<[number, string]>;
};

export type TicketTableOptions = {
	issuer: TicketIssuer;
	timers: TimerService;
	random: RandomSource;
	/** How long a ticket can be used, and a used one is remembered. */
	retentionMs?: number;
	/** The table of another daemon that stopped as planned; left out, the table is this daemon's own. */
	snapshot?: TicketTableSnapshot;
};

/**
 * What the table says of a ticket. `start`: it was not started before, and counts as started from now on.
 * `fenced`: it was not started, and the table was handed to another daemon.
 */
export type TicketState = 'start' | 'started' | 'conflict' | 'forged' | 'expired' | 'fenced';

/** The tickets that one process issued. Lives in memory only: without it, none of them can start again. */
export type TicketTable = {
	readonly issuer: TicketIssuer;
	/** Issues tickets. */
	issueTickets(count: number): string[];
	/** Marks a ticket as started, if nothing speaks against it. */
	claimTicket(ticket: Ticket, contentHash: string): TicketState;
	/** Takes back a claim after which nothing was started. */
	releaseTicket(ticket: Ticket): void;
	/** Starts nothing more; the table may then be handed over. */
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
 * Creates the table of the tickets that this process issues, or goes on with a table that was handed over.
 * @param options - The issuer and the ports.
 *
 * @example
 * ```ts
 * const table = createTicketTable({owner: {availabilityZone: 'graz-a', daemonId: 'entry-1', incarnation}, timers, random});
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
