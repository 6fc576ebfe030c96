import {createHash} from 'node:crypto';

const hashRange = 2 ** 32;

/**
 * Chooses a shard for a job, with a probability proportional to its weight. The choice depends on the id of the job: jobs are
 * spread over the shards, whichever daemons they arrive at, but a job that its caller submits again goes to the same shard, whose
 * placer knows it, so that it does not run twice.
 * @param jobId - The job.
 * @param candidates - The shards with their weights.
 *
 * @example
 * ```ts
 * chooseShard('5c0e7a21d94b36f8', [{shard: 'south', weight: 2}, {shard: 'west', weight: 1}]); // 'south' for two of three jobs
 * ```
 */
export function chooseShard(jobId: string, candidates: ReadonlyArray<{shard: string; weight: number}>): string | undefined {
	let best: string | undefined;
	let bestScore = Number.POSITIVE_INFINITY;
	for (const {shard, weight} of candidates) {
		const score = -Math.log(getFraction(`${jobId} ${shard}`)) / weight;
		if (score < bestScore) {
			best = shard;
			bestScore = score;
		}
	}

	return best;
}

/** Gets a fraction between 0 and 1, both exclusive, that depends on a text only. */
function getFraction(text: string): number {
	return (createHash('sha256').update(text).digest().readUInt32BE(0) + 0.5) / hashRange;
}
