import type {HandoverSource} from '../jobs/job-handover.js';

/** Tells whether the placer knows all backend servers on which earlier placers may have started tasks. */
export type ServerSources = {
	/** Whether the registry contains every backend server that the earlier placers of a job may have used. */
	isCoveredBy(source: HandoverSource): boolean;
	/** Requests the registries that are missing for that. */
	requestMissing(source: HandoverSource): void;
};
