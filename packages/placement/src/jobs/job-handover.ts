import {z} from 'zod';

/** What an entry daemon tells a placer about a job that it submitted to other placers before. */
export const jobHandoverSchema = z.object({
	/** The earlier placers. The incarnation is empty if the entry daemon did not hear the placer itself. */
	placers: z.array(z.object({
		placerId: z.string(),
		incarnation: z.string(),
		/** For how long the entry daemon had not heard this incarnation. Only earlier versions use it. */
		silenceMs: z.number().optional(),
	})),
	/** The digest of the entry daemon's registry of backend servers. Only earlier versions use it. */
	registryDigest: z.string(),
	/**
	 * The digest of the backend servers that the entry daemon has recorded for the earlier placers. Missing if one of these may have
	 * used others, as in earlier versions.
	 */
	recordDigest: z.string().optional(),
});

export type JobHandover = z.infer<typeof jobHandoverSchema>;

/** A handover together with the entry daemon that it comes from. */
export type HandoverSource = JobHandover & {
	entryId: string;
};
