import {maxTerm} from '@camphortack/placement';
import {z} from 'zod';

/** State that a daemon persists across restarts to resume placement sooner. It may be stale or missing. */
export const clusterHintsSchema = z.object({
	/** The highest term that the daemon knew of. */
	term: z.int().min(0).max(maxTerm),
	/** Whether the deployment was divided, with a placer for each availability zone. */
	isDivided: z.boolean(),
});

export type ClusterHints = z.infer<typeof clusterHintsSchema>;

/** Persists the hints of a daemon. They only shorten the startup; correctness does not depend on them. */
export abstract class ClusterHintStore {
	abstract findHints(): ClusterHints | undefined;
	abstract setHints(hints: ClusterHints): void;
}
