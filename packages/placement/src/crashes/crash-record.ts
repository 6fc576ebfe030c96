import {z} from 'zod';

/**
 * How clearly a crash points to the task of a run.
 *
 * - `strong`: the run had only just started, and no run of another job had.
 * - `medium`: runs of other jobs had only just started too.
 * - `weak`: nothing points to the task, but nothing else explains the crash.
 */
export const crashEvidenceSchema = z.enum(['strong', 'medium', 'weak']);

/**
 * Whether a backend server has crashed.
 *
 * - `suspected`: it refuses connections or does not respond.
 * - `confirmed`: another incarnation has responded.
 * - `refuted`: the same incarnation has responded.
 */
export const crashStateSchema = z.enum(['suspected', 'confirmed', 'refuted']);

/** A run that ended, or probably ended, with the process of its backend server. */
export const crashRecordSchema = z.object({
	taskName: z.string(),
	queueName: z.string(),
	serverId: z.string(),
	/** The incarnation of the backend server. */
	bornMs: z.int(),
	/** The number of the run. Daemons of earlier versions do not send it. */
	runNumber: z.int().optional(),
	/** Whether the run had only just started, so that the task probably caused the crash. */
	isSuspect: z.boolean(),
	/** Daemons of earlier versions do not send it. */
	evidence: crashEvidenceSchema.optional(),
	/** Daemons of earlier versions do not send it. */
	state: crashStateSchema.optional(),
	/** Whether the run was new when its backend server was last heard. Daemons of earlier versions do not send it. */
	isNew: z.boolean().optional(),
	/** The time since the crash. */
	ageMs: z.number().min(0),
});

export type CrashEvidence = z.infer<typeof crashEvidenceSchema>;
export type CrashState = z.infer<typeof crashStateSchema>;
export type CrashRecord = z.infer<typeof crashRecordSchema>;
