import type {PoolLoad} from '../messages/dispatch-messages.js';
import type {TaskQueues} from '../queues/task-queues.js';
import type {BackendServerTable} from '../servers/backend-server-table.js';

/** The loads of this daemon's pools, of which the other daemons are informed. */
export type PoolLoads = {
	getLoad(pool: string): PoolLoad;
	/** Gets the loads that fit in one message. */
	getAllLoads(): PoolLoad[];
};

export type PoolLoadsOptions = {
	table: Pick<BackendServerTable, 'getPools' | 'getSlotCount' | 'getFreeSlotCount'>;
	queues: Pick<TaskQueues, 'getTaskCount'>;
	/** Whether this daemon may start tasks in its availability zone. */
	areSlotsUsable: () => boolean;
};

const maxLoadsPerMessage = 16;

/**
 * Creates the loads. A pool whose slots are not usable has none, and only its queue counts.
 * @param options - The slots and the queues.
 *
 * @example
 * ```ts
 * const {getLoad} = createPoolLoads({table, queues, areSlotsUsable: () => true});
 * getLoad('quotes'); // {pool: 'quotes', slots: 8, freeSlots: 3, queuedTasks: 0}
 * ```
 */
export function createPoolLoads({table, queues, areSlotsUsable}: PoolLoadsOptions): PoolLoads {
	function getLoad(pool: string): PoolLoad {
		const isUsable = areSlotsUsable();
		return {
			pool,
			slots: isUsable ? table.getSlotCount(pool) : 0,
			freeSlots: isUsable ? table.getFreeSlotCount(pool) : 0,
			queuedTasks: queues.getTaskCount(pool),
		};
	}

	return {
		getLoad,
		getAllLoads: () => table.getPools().slice(0, maxLoadsPerMessage).map(pool => getLoad(pool)),
	};
}
