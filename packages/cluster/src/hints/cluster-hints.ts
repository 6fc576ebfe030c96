import {z} from 'zod';

/** What a daemon remembers over its restarts, to place again sooner. It may be old or missing. */
export const clusterHintsSchema = z.object({
	/** The highest term that it knew of. */
	term: z.int().min(0),
	/** Whether each availability zone had a placer of its own. */
	isDivided: z.boolean(),
});

export type ClusterHints = z.infer<typeof clusterHintsSchema>;

/** Keeps the hints of a daemon. Nothing depends on them but the time that a start takes. */
export abstract class ClusterHintStore {
	abstract findHints(): ClusterHints | undefined;
	abstract setHints(hints: ClusterHints): void;
}
