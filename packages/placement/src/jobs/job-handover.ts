import {z} from 'zod';

/** What an entry daemon tells a placer about a job that it submitted to other placers before. */
export const jobHandoverSchema = z.object({
	/** The earlier placers. The incarnation is empty if the entry daemon did not hear the placer itself. */
	placers: z.array(z.object({
		placerId: z.string(),
		incarnation: z.string(),
		/** For how long the entry daemon had not heard this incarnation; missing in versions that do not report it. */
		silenceMs: z.number().optional(),
	})),
	/** The digest of the entry daemon's registry of backend servers. */
	registryDigest: z.string(),
});

export type JobHandover = z.infer<typeof jobHandoverSchema>;

/** A handover together with the entry daemon that it comes from. */
export type HandoverSource = JobHandover & {
	entryId: string;
	/** When the placer received the handover. Without it, the silences of the earlier placers are not known. */
	receivedAtMs?: number;
};
