import type {HandoverSource} from '../jobs/job-handover.js';
import type {ServerIncarnation} from '../servers/backend-server-description.js';

/** Tells on which backend servers earlier placers may have started the tasks of a job. */
export type EarlierServers = {
	/** Finds the backend servers that the entry daemon of a job has recorded; undefined while its record is not known. */
	findServers(source: HandoverSource): readonly ServerIncarnation[] | undefined;
	/** Requests the record of the entry daemon, if it is not known and can be. */
	requestMissing(source: HandoverSource): void;
	/** Whether an incarnation has deregistered, so that nothing runs there any more if it does not respond. */
	hasLeft(server: ServerIncarnation): boolean;
};
