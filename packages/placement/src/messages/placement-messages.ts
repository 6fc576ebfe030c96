import {z} from 'zod';
import {jobRequestSchema} from '../jobs/job-request.js';

/** Why a job was refused before anything of it ran. */
export const refusalReasonSchema = z.enum(['overload', 'too-late', 'no-capacity', 'no-placer', 'stopping', 'unsupported', 'no-configuration']);

/** How a job ended, as far as the placer knows. */
export const jobOutcomeSchema = z.discriminatedUnion('outcome', [
	z.object({outcome: z.literal('completed')}),
	z.object({outcome: z.literal('failed'), reason: z.enum(['attempts-used', 'cancelled'])}),
	/** Nothing of the job has run. */
	z.object({outcome: z.literal('refused'), reason: refusalReasonSchema, retryAfterMs: z.number()}),
	/** Tasks may have run, and nobody can tell now. */
	z.object({outcome: z.literal('unknown')}),
]);

/** Messages between entry daemons and the placer. */
export const placementMessageSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('placement.submit'),
		request: jobRequestSchema,
		/** The same for all copies that one daemon sends of one hand-in; a caller that comes again makes a new one. */
		submissionId: z.string(),
		/** How often the job was handed to a placer before. */
		generation: z.int().min(0),
		/** An earlier placer may have started tasks. */
		mayHaveStarted: z.boolean(),
	}),
	z.object({kind: z.literal('placement.result'), jobId: z.string(), result: jobOutcomeSchema}),
	z.object({kind: z.literal('placement.cancel'), jobId: z.string()}),
	z.object({kind: z.literal('placement.cancelled'), jobId: z.string()}),
	/** The jobs that a daemon waits for; the placer answers with the results of those that have ended. */
	z.object({kind: z.literal('placement.open-jobs'), jobIds: z.array(z.string())}),
	/** Jobs of that list that the placer does not know. */
	z.object({kind: z.literal('placement.unknown-jobs'), jobIds: z.array(z.string())}),
]);

export type RefusalReason = z.infer<typeof refusalReasonSchema>;
export type JobOutcome = z.infer<typeof jobOutcomeSchema>;
export type PlacementMessage = z.infer<typeof placementMessageSchema>;
export type PlacementMessageOf<Kind extends PlacementMessage['kind']> = Extract<PlacementMessage, {kind: Kind}>;
