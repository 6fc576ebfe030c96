import type {EjectionTracker} from '@camphortack/policy';
import type {JobTable} from '../jobs/job-table.js';
import type {TaskQueues} from '../queues/task-queues.js';
import type {BackendServerRecord} from '../servers/backend-server-record.js';
import type {BackendServerTable} from '../servers/backend-server-table.js';
import type {TaskRunner} from '../tasks/task-runner.js';
import type {DispatcherStatus} from './dispatcher.js';

export type DispatcherStatusSources = {
	queues: TaskQueues;
	runner: TaskRunner;
	jobs: JobTable;
	table: BackendServerTable;
	ejection: EjectionTracker;
	isDraining: boolean;
	/** Whether this daemon currently manages the slots of a backend server and may use them. */
	holdsSlots: (server: BackendServerRecord) => boolean;
};

/**
 * Gets the status of a dispatcher.
 * @param sources - The components that the status is read from.
 */
export function getDispatcherStatus(sources: DispatcherStatusSources): DispatcherStatus {
	const {queues, runner, jobs, table, ejection, isDraining, holdsSlots} = sources;
	const {tasks, bytes} = queues.getTotals();
	return {
		queuedTasks: tasks,
		queuedBytes: bytes,
		runningTasks: runner.getRunningCount(),
		openJobs: jobs.getCount(),
		isDraining,
		backendServers: [...table.getAll()].map(server => ({
			id: server.id,
			availabilityZone: server.announcement.availabilityZone,
			slots: server.announcement.slots,
			managerId: server.managerId,
			heldSlots: holdsSlots(server) && !server.isLeaving ? server.announcement.slots : 0,
			busySlots: server.busySlots,
			isEjected: ejection.isEjected(server.id),
			isLeaving: server.isLeaving,
		})),
	};
}
