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
	/** Whether this daemon manages the slots of a backend server now and may use them. */
	holdsSlots: (server: BackendServerRecord) => boolean;
};

/**
 * Gets what a dispatcher tells of itself.
 * @param sources - Its parts.
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
