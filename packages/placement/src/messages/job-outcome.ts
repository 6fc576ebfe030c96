import {z} from 'zod';

/** The reasons that daemons of every version understand. */
const wireRefusalReasonSchema = z.enum(['overload', 'too-late', 'no-capacity', 'no-placer', 'stopping', 'unsupported', 'no-configuration']);

/**
 * The result of a job in a message. A refusal because of an evacuation has the reason `overload` and a mark, since daemons
 * of earlier versions drop a message with an unknown reason; they forward the job for overload.
 */
export const wireOutcomeSchema = z.discriminatedUnion('outcome', [
	z.object({outcome: z.literal('completed')}),
	z.object({
		outcome: z.literal('failed'),
		reason: z.enum(['attempts-used', 'cancelled']),
		/** Set if a caller has cancelled the job for all who wait for it. Placers of earlier versions never set it. */
		isForAll: z.boolean().optional(),
	}),
	/** No task of the job has run. */
	z.object({
		outcome: z.literal('refused'), reason: wireRefusalReasonSchema, retryAfterMs: z.number(), isEvacuated: z.boolean().optional(),
	}),
	/** Tasks may have run, but their state cannot be determined. */
	z.object({outcome: z.literal('unknown')}),
]);

export type WireOutcome = z.infer<typeof wireOutcomeSchema>;

/** Why a job was refused before any of its tasks ran. */
export type RefusalReason = z.infer<typeof wireRefusalReasonSchema> | 'evacuated';

/** The result of a job. */
export type JobOutcome
	= Exclude<WireOutcome, {outcome: 'refused' | 'failed'}>
		| {outcome: 'failed'; reason: 'attempts-used' | 'cancelled'}
		/** No task of the job has run. */
		| {outcome: 'refused'; reason: RefusalReason; retryAfterMs: number};

/**
 * Encodes the result of a job for a message.
 * @param outcome - The result.
 */
export function encodeOutcome(outcome: JobOutcome): WireOutcome {
	if (outcome.outcome === 'failed' && outcome.reason === 'cancelled') {
		return {...outcome, isForAll: true};
	}

	if (outcome.outcome !== 'refused') {
		return outcome;
	}

	const {reason, ...rest} = outcome;
	return reason === 'evacuated' ? {...rest, reason: 'overload', isEvacuated: true} : {...rest, reason};
}

/**
 * Decodes the result of a job from a message. A placer of an earlier version also cancels a job for all when the callers of one
 * submission have left, so its cancellations do not tell those who wait that the job has failed.
 * @param wireOutcome - The result in the message.
 */
export function decodeOutcome(wireOutcome: WireOutcome): JobOutcome {
	if (wireOutcome.outcome === 'failed') {
		const {outcome, reason, isForAll = false} = wireOutcome;
		return reason === 'cancelled' && !isForAll ? {outcome: 'unknown'} : {outcome, reason};
	}

	if (wireOutcome.outcome !== 'refused') {
		return wireOutcome;
	}

	const {isEvacuated, ...rest} = wireOutcome;
	return isEvacuated === true ? {...rest, reason: 'evacuated'} : rest;
}
