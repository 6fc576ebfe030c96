import {createHmac, timingSafeEqual} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {CamphortackError, nameSchema, type Member} from '@camphortack/core';

const prefix = 't1';
const checkLength = 16;
const numberBase = 36;

/** The daemon process that issued a ticket. */
export type TicketIssuer = {
	availabilityZone: string;
	daemonId: string;
	/** Unique for each start of the daemon's process. */
	incarnation: string;
};

/** A job id issued by a daemon. Only the issuer, or its successor after a planned stop, may start the job. */
export type Ticket = TicketIssuer & {
	/** Sequence number within the incarnation, starting at 1. */
	number: number;
	/** Truncated HMAC with which the issuer verifies that it issued the ticket. */
	check: string;
};

/**
 * Creates a ticket.
 * @param issuer - The issuer.
 * @param number - The sequence number of the ticket.
 * @param secret - The random secret of the incarnation.
 * @throws CamphortackError with code `ticket-too-long` if the names of the issuer make the ticket too long for an id.
 *
 * @example
 * ```ts
 * createTicket({availabilityZone: 'graz-a', daemonId: 'entry-1', incarnation: '5f3a'}, 1, secret);
 * // t1:5f3a:1:Vb0aZ3kPq9LxT7cw:6:graz-aentry-1
 * ```
 */
export function createTicket(issuer: TicketIssuer, number: number, secret: string): string {
	const {availabilityZone, daemonId, incarnation} = issuer;
	const check = computeCheck(issuer, number, secret);
	const ticket = [prefix, incarnation, number.toString(numberBase), check, availabilityZone.length, `${availabilityZone}${daemonId}`].join(':');
	if (!nameSchema.safeParse(ticket).success) {
		throw new CamphortackError('ticket-too-long', `ticket "${ticket}" is not a valid id; use shorter names for the availability zone and the daemon`);
	}

	return ticket;
}

/**
 * Parses a ticket without verifying it; only the issuer can do that.
 * @param id - A job id.
 * @returns The ticket, or undefined if the id is not a ticket.
 */
export function parseTicket(id: string): Ticket | undefined {
	const pattern = /^t1:(?<incarnation>[\w.\-]+):(?<digits>[\da-z]{1,10}):(?<check>[\w\-]{16}):(?<length>\d{1,3}):(?<names>.+)$/v;
	const groups = pattern.exec(id)?.groups;
	if (groups === undefined) {
		return undefined;
	}

	const zoneLength = Number(groups.length);
	const names = groups.names!;
	if (zoneLength === 0 || zoneLength >= names.length) {
		return undefined;
	}

	return {
		availabilityZone: names.slice(0, zoneLength),
		daemonId: names.slice(zoneLength),
		incarnation: groups.incarnation!,
		number: Number.parseInt(groups.digits!, numberBase),
		check: groups.check!,
	};
}

/**
 * Verifies that a ticket was issued with the given secret.
 * @param ticket - The ticket.
 * @param secret - The secret of the incarnation named in the ticket.
 */
export function isGenuineTicket(ticket: Ticket, secret: string): boolean {
	return timingSafeEqual(Buffer.from(computeCheck(ticket, ticket.number, secret)), Buffer.from(ticket.check));
}

/**
 * Finds the live daemon that issued a ticket.
 * @param ticket - The ticket.
 * @param members - The live daemons.
 * @returns The daemon, or undefined if the issuing process is gone.
 */
export function findTicketIssuer(ticket: Ticket, members: ReadonlyMap<string, Member>): Member | undefined {
	const member = members.get(ticket.daemonId);
	return member?.incarnation === ticket.incarnation ? member : undefined;
}

function computeCheck(issuer: TicketIssuer, number: number, secret: string): string {
	const text = `${issuer.availabilityZone.length}:${issuer.availabilityZone}${issuer.daemonId}:${issuer.incarnation}:${number}`;
	return createHmac('sha256', secret).update(text).digest('base64url').slice(0, checkLength);
}
