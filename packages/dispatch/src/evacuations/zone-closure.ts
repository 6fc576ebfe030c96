import type {
	RandomSource, RefusalCode, TimerService, TimerSubscription,
} from '@camphortack/core';
import type {JobTable} from '../jobs/job-table.js';
import type {OpenJob} from '../jobs/open-job.js';
import type {PoolLoad} from '../messages/dispatch-messages.js';
import type {PartnerTable} from '../peers/partner-table.js';
import {maxHandoversFromClosedZone} from '../placement/balancer.js';
import type {TaskQueues} from '../queues/task-queues.js';

/** The availability zones in which no task may start, and what happens to the tasks that wait in one. */
export type ZoneClosure = {
	setClosedZones(availabilityZones: readonly string[]): void;
	isClosed(availabilityZone: string): boolean;
	/** Whether the availability zone of this daemon is closed. */
	isOwnZoneClosed(): boolean;
	/** Whether a daemon of an open availability zone may take tasks of a pool. */
	canRunElsewhere(pool: string): boolean;
	/** Finds when to retry after a refusal because the own zone is closed; undefined for the default of the code. */
	findRetryAfterMs(code: RefusalCode): number | undefined;
};

export type ZoneClosureOptions = {
	availabilityZone: string;
	timers: TimerService;
	random: RandomSource;
	queues: TaskQueues;
	jobs: JobTable;
	partners: PartnerTable;
	getOwnLoad: (pool: string) => PoolLoad;
	/** Whether tasks may be handed over to other daemons. */
	isConnected: () => boolean;
	/** Places the waiting tasks here, or hands them over. */
	placeAll: () => void;
};

/** How often tasks that wait in a closed zone are handed over or their jobs ended. */
const checkIntervalMs = 100;
/** How long a job with waiting tasks that nobody can take goes on while other tasks of it run. */
const maxStrandedMs = 1000;
/** The bounds of the time after which callers retry, so that they do not all come back at once. */
const minRetryAfterMs = 1000;
const maxRetryAfterMs = 3000;

/**
 * Creates the closure, initially without closed zones. It handles the load of an evacuated availability zone whose callers
 * still arrive here: tasks go to other zones, and jobs that no zone can take are refused at once instead of waiting for
 * their deadlines. Running tasks end by themselves.
 * @param options - The waiting tasks, the other daemons and the functions that place tasks.
 */
export function createZoneClosure(options: ZoneClosureOptions): ZoneClosure {
	const {availabilityZone, timers, random, queues, jobs, partners} = options;
	let closedZones: ReadonlySet<string> = new Set();
	let checkTimer: TimerSubscription | undefined;
	let strandedSinceMs = new WeakMap<OpenJob, number>();

	function isOwnZoneClosed(): boolean {
		return closedZones.has(availabilityZone);
	}

	function canRunElsewhere(pool: string): boolean {
		return options.isConnected() && partners.getCapacities(pool, options.getOwnLoad(pool)).some(({slots}) => slots > 0);
	}

	function moveTasks(): void {
		options.placeAll();
		for (const pool of queues.getWaitingPools()) {
			const isPlaceable = canRunElsewhere(pool);
			const waitingJobs = [...queues.getWaitingJobs(pool).keys()].map(key => jobs.findJob(key));
			for (const job of waitingJobs) {
				if (job !== undefined && !(isPlaceable && job.handovers < maxHandoversFromClosedZone)) {
					endStrandedJob(job);
				}
			}
		}
	}

	function endStrandedJob(job: OpenJob): void {
		const sinceMs = strandedSinceMs.get(job) ?? timers.getNowMs();
		strandedSinceMs.set(job, sinceMs);
		const isActive = job.tasks.some(({state}) => state === 'running' || state === 'handed-over');
		if (!isActive || timers.getNowMs() - sinceMs >= maxStrandedMs) {
			jobs.abort(job, {failure: 'daemon-lost', refusal: 'no-backend-server'});
		}
	}

	return {
		setClosedZones(availabilityZones) {
			const reopenedZones = [...closedZones].filter(zone => !availabilityZones.includes(zone));
			closedZones = new Set(availabilityZones);
			partners.forgetLoads(reopenedZones);
			if (isOwnZoneClosed()) {
				checkTimer ??= timers.addInterval(checkIntervalMs, moveTasks);
				moveTasks();
				return;
			}

			checkTimer?.cancel();
			checkTimer = undefined;
			strandedSinceMs = new WeakMap();
			options.placeAll();
		},
		isClosed: zone => closedZones.has(zone),
		isOwnZoneClosed,
		canRunElsewhere,
		findRetryAfterMs: code => code === 'no-backend-server' && isOwnZoneClosed()
			? random.getInteger(minRetryAfterMs, maxRetryAfterMs)
			: undefined,
	};
}
