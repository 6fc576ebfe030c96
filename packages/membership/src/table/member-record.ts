import {z} from 'zod';
import {nameSchema, type Member} from '@camphortack/core';

/** The states of a daemon. A later one of the same counter wins. */
const states = ['alive', 'suspect', 'dead', 'left'] as const;

/** What one daemon says about a daemon. */
export const memberRecordSchema = z.object({
	id: nameSchema,
	/** Fresh for each start of the daemon's process. */
	incarnation: nameSchema,
	availabilityZone: nameSchema,
	roles: z.array(z.enum(['entry', 'keeper'])).max(2),
	host: z.string().min(1).max(255),
	peerPort: z.int().min(0).max(65_535),
	/** Raised by the daemon itself, and by nobody else, to refute what is said about it. */
	counter: z.int().min(0),
	state: z.enum(states),
});

export type MemberRecord = z.infer<typeof memberRecordSchema>;

/**
 * Whether a record replaces another one of the same daemon. All daemons order records in the same way,
 * so they agree in the end, whatever the order in which records arrive.
 * @param candidate - The record that has arrived.
 * @param known - The record that is known.
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
 * Whether the daemon of a record counts as a member. A suspected one does until it is declared dead.
 * @param record - The record.
 */
export function isLive(record: MemberRecord): boolean {
	return record.state === 'alive' || record.state === 'suspect';
}

/**
 * Gets the member that a record describes.
 * @param record - The record.
 */
export function getMember(record: MemberRecord): Member {
	const {counter, state, ...member} = record;
	return member;
}
