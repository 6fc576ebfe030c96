import type {JobHandover} from '@camphortack/placement';
import type {ServerRecords} from '../records/server-records.js';
import type {SubmittedPlacers} from './job-submissions.js';

/** Tells a placer where to look for the runs of a job that was submitted to others before. */
export type JobHandovers = {
	getHandover(shard: string, submitted: SubmittedPlacers): JobHandover;
};

export type JobHandoversOptions = {
	/** The backend servers on which placers may have started the tasks of the jobs. */
	records: ServerRecords;
	/** Gets the digest of the own registry of backend servers. */
	getRegistryDigest: () => string;
	/** Gets the incarnation of a daemon that this one hears; empty if it was never heard. */
	getIncarnation: (daemonId: string) => string;
	/** Gets the time since a daemon was last heard; infinite if it never was. */
	getSilenceMs: (daemonId: string) => number;
};

type EarlierPlacer = JobHandover['placers'][number];

/**
 * Creates the handovers of an entry daemon.
 * @param options - What the daemon knows of placers and backend servers.
 *
 * @example
 * ```ts
 * const handovers = createJobHandovers(options);
 * handovers.getHandover('zone-a', submissions.getPlacers()); // {placers: [{placerId: 'keeper-a', ...}], ...}
 * ```
 */
export function createJobHandovers({records, getRegistryDigest, getIncarnation, getSilenceMs}: JobHandoversOptions): JobHandovers {
	/** Adds for how long an earlier placer has not been heard, unless another incarnation has been since. */
	function addSilence(placer: EarlierPlacer): EarlierPlacer {
		const silenceMs = getSilenceMs(placer.placerId);
		const isHeard = getIncarnation(placer.placerId) === placer.incarnation && Number.isFinite(silenceMs);
		return isHeard ? {...placer, silenceMs: Math.round(silenceMs)} : placer;
	}

	return {
		getHandover: (shard, {placers, recorded}) => ({
			placers: placers.map(placer => addSilence(placer)), registryDigest: getRegistryDigest(), recordDigest: records.findDigest(shard, recorded),
		}),
	};
}
