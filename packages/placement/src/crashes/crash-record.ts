import {z} from 'zod';

/** A run that ended with the process of its backend server. */
export const crashRecordSchema = z.object({
	taskName: z.string(),
	queueName: z.string(),
	serverId: z.string(),
	/** The incarnation of the backend server. */
	bornMs: z.int(),
	/** Whether the run had only just started, so that the task probably caused the crash. */
	isSuspect: z.boolean(),
	/** The time since the crash. */
	ageMs: z.number().min(0),
});

export type CrashRecord = z.infer<typeof crashRecordSchema>;
