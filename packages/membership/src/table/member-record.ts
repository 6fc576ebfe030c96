import {z} from 'zod';
import {nameSchema, type Member} from '@camphortack/core';

/** The states of a daemon, in ascending order of precedence among records with equal counters. */
const states = ['alive', 'suspect', 'dead', 'left'] as const;

/**
 * Numbers that a daemon increments itself never come near this. A row with a larger one is odd: no later row could supersede
 * it, so its daemon could not refute it.
 */
const maxCount = 1_099_511_627_776;

/** A number that a daemon increments, such as that of its records. */
export const countSchema = z.int().min(0).max(maxCount);

/** The state of a daemon as known to some daemon. */
export const memberRecordSchema = z.object({
	id: nameSchema,
	/** Unique to each process of the daemon. */
	incarnation: nameSchema,
	availabilityZone: nameSchema,
	roles: z.array(z.enum(['entry', 'keeper'])).max(2),
	host: z.string().min(1).max(255),
	peerPort: z.int().min(0).max(65_535),
	/** Incremented only by the daemon itself, to refute a record about it. */
	counter: countSchema,
	state: z.enum(states),
});

export type MemberRecord = z.infer<typeof memberRecordSchema>;

/**
 * Whether a record supersedes another one of the same daemon. All daemons order records in the same way, so that they
 * converge on the same record, regardless of the order in which records arrive.
 * @param candidate - The received record.
 * @param known - The record in the member table.
 */
export function isNewer(candidate: MemberRecord, known: MemberRecord): boolean {
	if (candidate.counter !== known.counter) {
		return candidate.counter > known.counter;
	}

	if (candidate.state !== known.state) {
		return states.indexOf(candidate.state) > states.indexOf(known.state);
	}

	return candidate.incarnation > known.incarnation;
}

/**
 * Whether a daemon counts as a live member. A suspect daemon does until it is declared dead.
 * @param record - The record of the daemon.
 */
export function isLive(record: MemberRecord): boolean {
	return record.state === 'alive' || record.state === 'suspect';
}

/**
 * Gets the member described by a record.
 * @param record - The record.
 */
export function getMember(record: MemberRecord): Member {
	const {counter, state, ...member} = record;
	return member;
}
