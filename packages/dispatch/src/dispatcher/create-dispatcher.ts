import {
	createEjectionTracker, createRetryBudget, createRunTimeEstimator, type RetryBudget,
} from '@camphortack/policy';
import type {
	BackendServerAnnouncement, Job, JobOutcome, RefusalCode,
} from '@camphortack/core';
import {createPlacementRules, type PlacementRules} from '../configuration/placement-rules.js';
import {createJobBook} from '../jobs/job-book.js';
import {createRefusedOutcome} from '../jobs/job-outcomes.js';
import {createOpenJob, type OpenJob, type OpenTask} from '../jobs/open-job.js';
import {createPlacer} from '../placement/placer.js';
import {createQueueBook} from '../queues/queue-book.js';
import {createBackendServerTable} from '../servers/backend-server-table.js';
import type {BackendServerRecord} from '../servers/backend-server-record.js';
import {createTaskRunner} from '../tasks/task-runner.js';
import {checkAdmission} from '../admission/check-admission.js';
import type {Dispatcher, DispatcherOptions, DispatcherStatus} from './dispatcher.js';

const expiryCheckIntervalMs = 500;

/**
 * Creates the dispatcher of one daemon.
 * @param options - Its name, its ports and the parts that it asks.
 *
 * @example
 * ```ts
 * const dispatcher = createDispatcher(options);
 * dispatcher.setConfiguration(configuration);
 * dispatcher.setMembers([ownMember]);
 * dispatcher.announceBackendServer(announcement);
 * dispatcher.submitJob(job, outcome => {
 * 	answer(outcome);
 * });
 * ```
 */
export function createDispatcher(options: DispatcherOptions): Dispatcher {
	const {ownId, incarnation, timers, metrics, events, limits} = options;
	const ejection = createEjectionTracker({
		timers, random: options.random, metrics, events,
	});
	const estimator = createRunTimeEstimator({timers});
	const retryBudgets = new Map<string, RetryBudget>();
	let rules: PlacementRules | undefined;
	let isDraining = false;

	const queues = createQueueBook(customer => rules?.getWeight(customer) ?? 1);
	const table = createBackendServerTable({
		ownId, timers, metrics, events, onAvailable: placeOn, onRemoved: forgetServer,
	});
	const jobs = createJobBook({
		timers, metrics, limits, onGivenUp: dropJob,
	});
	const runner = createTaskRunner({
		incarnation,
		timers,
		metrics,
		events,
		starter: options.starter,
		table,
		ejection,
		estimator,
		getRetryBudget,
		onReturned: returnTask,
		onDone: jobs.endTask,
		onFailed(task, failure) {
			jobs.giveUp(task.job, {failure});
		},
		onSlotFree: placeOn,
	});
	const placer = createPlacer({
		timers, metrics, queues, jobs, table, runner, ejection, mayUse: () => true,
	});
	timers.addInterval(expiryCheckIntervalMs, table.removeExpired);

	function placeOn(server: BackendServerRecord): void {
		for (const pool of server.pools) {
			placer.placePool(pool);
		}
	}

	function returnTask(task: OpenTask): void {
		queues.returnTask(task);
		placer.placePool(task.job.pool);
	}

	function dropJob(job: OpenJob): void {
		queues.removeJob(job.pool, job.key);
		runner.stopJob(job);
	}

	function forgetServer(server: BackendServerRecord): void {
		ejection.removeBackendServer(server.id);
		runner.dropServer(server);
		setPoolSizes(server.pools);
	}

	function setPoolSizes(pools: readonly string[]): void {
		for (const pool of pools) {
			const size = [...table.getAll()].filter(server => server.pools.includes(pool)).length;
			ejection.setPoolSize(pool, size, rules?.findPool(pool)?.largestEjectedShare ?? 0);
		}
	}

	function getRetryBudget(service: string): RetryBudget {
		let budget = retryBudgets.get(service);
		if (budget === undefined) {
			budget = createRetryBudget({timers, ratio: rules?.findService(service)?.retryBudgetRatio ?? 0});
			retryBudgets.set(service, budget);
		}

		return budget;
	}

	function announceBackendServer(announcement: BackendServerAnnouncement): void {
		const isChanged = table.announce(announcement, true);
		const server = table.findServer(announcement.id);
		if (server !== undefined && isChanged) {
			server.managerId = ownId;
			server.managedFromMs = timers.getNowMs();
			setPoolSizes(server.pools);
			table.refresh(server);
		}
	}

	function submitJob(job: Job, onEnd: (outcome: JobOutcome) => void): void {
		const code = findRefusal(job);
		if (code !== undefined) {
			refuse(job.id, code, onEnd);
			return;
		}

		const openJob = createJob(job, onEnd);
		const decision = limits.admitJob({
			jobId: job.id,
			customer: job.customer,
			service: job.service,
			pool: openJob.pool,
			taskCount: job.tasks.length,
			expectedWorkerSeconds: getExpectedWorkMs(openJob) / 1000,
		});
		if (!decision.isAdmitted) {
			refuse(job.id, decision.code, onEnd, decision.retryAfterMs);
			return;
		}

		jobs.addJob(openJob, true);
		enqueue(openJob);
	}

	function findRefusal(job: Job): RefusalCode | undefined {
		return checkAdmission({
			job, rules, isDraining, table, queues, estimator,
		});
	}

	function refuse(id: string, code: RefusalCode, onEnd: (outcome: JobOutcome) => void, retryAfterMs?: number): void {
		metrics.increment(`refused-${code}`);
		onEnd(createRefusedOutcome(id, code, retryAfterMs));
	}

	function createJob(job: Job, onEnd: (outcome: JobOutcome) => void): OpenJob {
		return createOpenJob({
			key: job.id,
			job,
			pool: rules!.getPoolName(job.service, job.customer),
			declaredRunTimeMs: rules!.findService(job.service)!.declaredRunTimeMs,
			getExpectedRunTimeMs: declaredRunTimeMs => estimator.getExpectedRunTimeMs(job.service, declaredRunTimeMs),
			nowMs: timers.getNowMs(),
			onEnd({outcome}) {
				onEnd(outcome);
			},
		});
	}

	function enqueue(job: OpenJob): void {
		if (queues.addTasks(job.tasks, rules!.findService(job.service)!) === 'queue-full') {
			jobs.refuse(job, 'queue-full');
			return;
		}

		metrics.increment('job-accepted');
		metrics.setGauge('task-queued', queues.getTotals().tasks);
		placer.placePool(job.pool);
	}

	function cancelJob(jobId: string): boolean {
		const job = jobs.findJob(jobId);
		if (job === undefined) {
			return false;
		}

		jobs.giveUp(job, {failure: 'cancelled', refusal: 'cancelled'});
		return true;
	}

	function getStatus(): DispatcherStatus {
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
				heldSlots: server.managerId === ownId ? server.announcement.slots : 0,
				busySlots: server.busySlots,
				isEjected: ejection.isEjected(server.id),
				isLeaving: server.isLeaving,
			})),
		};
	}

	return {
		setConfiguration(configuration) {
			rules = createPlacementRules(configuration);
			retryBudgets.clear();
			table.setRules(rules);
			for (const pool of Object.keys(configuration.objects.pools)) {
				setPoolSizes([pool]);
			}
		},
		setMembers() {
			// One daemon needs no other.
		},
		announceBackendServer,
		removeBackendServer(backendServerId, serverIncarnation) {
			table.markLeaving(backendServerId, serverIncarnation);
		},
		submitJob,
		cancelJob,
		handleTaskEvent: runner.handleTaskEvent,
		handlePeerMessage() {
			// One daemon hears no other.
		},
		startDraining() {
			isDraining = true;
		},
		getStatus,
	};
}

function getExpectedWorkMs(job: OpenJob): number {
	let workMs = 0;
	for (const task of job.tasks) {
		workMs += task.queued.expectedRunTimeMs;
	}

	return workMs;
}
