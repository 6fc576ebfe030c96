import {createEjectionTracker, createRunTimeEstimator, type LimitRequest} from '@camphortack/policy';
import type {Job, Member} from '@camphortack/core';
import {createAdmissionController} from '../admission/admission-controller.js';
import {checkAdmission} from '../admission/check-admission.js';
import {createDeadlineCheck} from '../admission/deadline-check.js';
import {createPlacementRules, type PlacementRules} from '../configuration/placement-rules.js';
import {createZoneClosure} from '../evacuations/zone-closure.js';
import {explainJob} from '../explaining/explain-job.js';
import {createPartResultHandler} from '../handover/part-result-handler.js';
import {createPartReceiver} from '../handover/part-receiver.js';
import {createPartSender, type HandedOverPart} from '../handover/part-sender.js';
import type {PartResult} from '../handover/apply-part-outcome.js';
import {createJobTable} from '../jobs/job-table.js';
import type {OpenJob, OpenTask} from '../jobs/open-job.js';
import {createOverrunMonitor} from '../limits/overrun-monitor.js';
import type {DispatchMessage} from '../messages/dispatch-messages.js';
import {createHeartbeatMonitor} from '../peers/heartbeat-monitor.js';
import {createPartnerTable} from '../peers/partner-table.js';
import {createMessageRouter} from '../peers/message-router.js';
import {createPeerInbox} from '../peers/peer-inbox.js';
import {createBalancer} from '../placement/balancer.js';
import {createPoolLoads} from '../placement/pool-loads.js';
import {createTaskRouter} from '../placement/task-router.js';
import {createPlacer} from '../placement/placer.js';
import {createTaskQueues} from '../queues/task-queues.js';
import {createRetryBudgets} from '../retries/retry-budgets.js';
import {createBackendServerTable} from '../servers/backend-server-table.js';
import type {BackendServerRecord} from '../servers/backend-server-record.js';
import {createServerDirectory} from '../servers/server-directory.js';
import {createSlotManagers} from '../servers/slot-managers.js';
import {createHedger} from '../tasks/hedger.js';
import {createTaskRunner} from '../tasks/task-runner.js';
import type {Dispatcher, DispatcherOptions} from './dispatcher.js';
import {getDispatcherStatus} from './get-dispatcher-status.js';
import {createJobIntake} from './job-intake.js';

const defaultLeaseDurationMs = 2000;
const expiryCheckIntervalMs = 500;
const hedgeCheckIntervalMs = 50;
/** A disconnected daemon may use a backend server for this long after its last announcement to this daemon. */
const directAnnouncementValidityMs = 2900;
/** The backend servers that a job may use here while the availability zone is closed. */
const noServers = {getAll: () => []};

/**
 * Creates the dispatcher of one daemon.
 * @param options - The identity of the daemon and the services that the dispatcher depends on.
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
	const {ownId, incarnation, availabilityZone, timers, metrics, events, limits} = options;
	const leaseDurationMs = options.leaseDurationMs ?? defaultLeaseDurationMs;
	let rules: PlacementRules | undefined;
	let members: readonly Member[] = [];
	let isDraining = false;

	const ejection = createEjectionTracker({
		timers, random: options.random, metrics, events,
	});
	const estimator = createRunTimeEstimator({timers});
	const retryBudgets = createRetryBudgets(timers, service => rules?.findService(service)?.retryBudgetRatio ?? 0);
	const queues = createTaskQueues(timers, customer => rules?.getWeight(customer) ?? 1);
	const table = createBackendServerTable({
		ownId,
		timers,
		metrics,
		events,
		onAvailable: placeOnServer,
		onUnused: handleServerUnused,
		onRemoved(server) {
			runner.handleServerRemoval(server);
		},
		onReplaced(server) {
			setPoolSizes(server.pools);
		},
		onExpired(server) {
			directory.broadcastExpiry(server);
		},
	});
	const jobs = createJobTable({
		timers, metrics, limits, onAborted: cancelTasks, findRetryAfterMs: code => closure.findRetryAfterMs(code),
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
		getRetryBudget: retryBudgets.getRetryBudget,
		onRequeued: returnTask,
		onDone(task) {
			hedger.recordCompletion(task.job.service);
			jobs.endTask(task);
		},
		onFailed(task, failure) {
			jobs.abort(task.job, {failure});
		},
		onSlotFree(server) {
			managers.reportFreedSlot(server);
			placeOnServer(server);
		},
	});
	createOverrunMonitor({
		timers,
		limits,
		getRunning: runner.getRunning,
		isCharged: jobs.isCharged,
		onOverrun(job) {
			jobs.abort(job, {failure: 'limit'});
		},
	});
	const {getLoad, getAllLoads} = createPoolLoads({
		table, queues, areSlotsUsable: () => heartbeats.isConnected() && !isOwnZoneClosed(),
	});
	const heartbeats = createHeartbeatMonitor({
		ownId, availabilityZone, leaseDurationMs, timers, metrics, send, getLoads: getAllLoads,
	});
	const sender = createPartSender({
		incarnation, timers, metrics, send, getLoads: pool => [getLoad(pool)], getLostServerCount: runner.getLostServerCount, onPartEnd(part, result) {
			partResultHandler.handlePartResult(part, result);
		},
	});
	const receiver = createPartReceiver({
		incarnation,
		timers,
		metrics,
		send,
		getLoads: pool => pool === '' ? [] : [getLoad(pool)],
		getPool: (service, customer) => rules?.getPoolName(service, customer) ?? '',
		acceptPart: (...part) => intake.acceptPart(...part),
		cancelPart(key) {
			const job = jobs.findJob(key);
			if (job !== undefined) {
				jobs.abort(job, {failure: 'cancelled', refusal: 'cancelled'});
			}
		},
	});
	const partners = createPartnerTable({
		ownId, availabilityZone, timers, findOldestOpenPartSentMs: sender.findOldestOpenSentMs, isClosed: zone => closure.isClosed(zone),
	});
	const partResultHandler = createPartResultHandler({
		metrics, jobs, queues, partners, retryBudgets, getLoad, placePool,
	});
	const managers = createSlotManagers({
		ownId, availabilityZone, leaseDurationMs, timers, table, send, onChange: placeAll,
	});
	const directory = createServerDirectory({
		ownId,
		availabilityZone,
		timers,
		table,
		managers,
		send,
		onChanged(server) {
			setPoolSizes(server.pools);
		},
	});
	const closure = createZoneClosure({
		availabilityZone, timers, random: options.random, queues, jobs, partners, getOwnLoad: getLoad, isConnected: heartbeats.isConnected, placeAll,
	});
	const {isOwnZoneClosed} = closure;
	const placer = createPlacer({
		timers, metrics, queues, jobs, table, runner, ejection, mayUse,
	});
	const router = createTaskRouter({
		ownId, table, sender, isOwnZoneClosed,
	});
	const balancer = createBalancer({
		ownId, metrics, queues, jobs, partners, sender, getOwnLoad: getLoad, fitsInZone: router.fitsInZone, isOwnZoneClosed,
	});
	const intake = createJobIntake({
		timers,
		metrics,
		estimator,
		jobs,
		queues,
		table,
		router,
		findRules: () => rules,
		isDraining: () => isDraining,
		getSlotCount: pool => getLoad(pool).slots,
		placePool,
	});
	const meetsDeadlines = createDeadlineCheck({
		timers,
		queues,
		jobs,
		partners,
		getOwnLoad: getLoad,
		getMeanRunTimeMs: service => estimator.getExpectedRunTimeMs(service, rules?.findService(service)?.declaredRunTimeMs ?? 0),
	});
	const findRefusal = (job: Job) => checkAdmission({
		job, rules, isDraining, table: isOwnZoneClosed() ? noServers : table, estimator, meetsDeadlines, hasPartners: hasPartners(job),
	});
	const admission = createAdmissionController({
		metrics,
		limits,
		findRefusal,
		findRetryAfterMs: closure.findRetryAfterMs,
		createJob: (job, onEnd) => intake.createJob(job.id, job, onEnd),
		onAdmitted(job) {
			intake.acceptJob(job);
		},
	});
	const routeMessage = createMessageRouter({
		sender,
		receiver,
		directory,
		managers,
		replyToHeartbeat(peerId) {
			send(peerId, {kind: 'dispatch.heartbeat', needsReply: false, loads: getAllLoads()});
		},
	});
	const inbox = createPeerInbox({
		timers, metrics, events, onMessage: handleMessage,
	});
	const hedger = createHedger({
		timers,
		metrics,
		table,
		queues,
		runner,
		estimator,
		getHedgeBudgetRatio: service => rules?.findService(service)?.hedgeBudgetRatio ?? 0,
		mayUse,
		isEjected: ejection.isEjected,
	});
	timers.addInterval(hedgeCheckIntervalMs, () => {
		if (rules?.hasHedging === true) {
			hedger.hedgeSlowTasks();
		}
	});
	timers.addInterval(expiryCheckIntervalMs, table.removeExpired);

	function send(peerId: string, message: DispatchMessage): void {
		metrics.increment('peer-sent');
		heartbeats.recordSent(peerId);
		options.peers.send(peerId, message);
	}

	/** Whether the leases of this daemon are valid, so that it may start tasks on a backend server. */
	function mayUse(server: BackendServerRecord): boolean {
		const hasLease = heartbeats.isConnected() || timers.getNowMs() - server.lastDirectAnnouncementMs <= directAnnouncementValidityMs;
		return hasLease && !isOwnZoneClosed();
	}

	function hasPartners({service, customer}: Job): boolean {
		return isOwnZoneClosed() ? closure.canRunElsewhere(rules?.getPoolName(service, customer) ?? '') : members.length > 1;
	}

	function placeOnServer(server: BackendServerRecord): void {
		for (const pool of server.pools) {
			placer.placePool(pool);
		}
	}

	function placeAll(): void {
		placer.placeAll();
		balanceAll();
	}

	function balanceAll(): void {
		if (heartbeats.isConnected()) {
			balancer.balanceAll();
		}
	}

	function placePool(pool: string): void {
		placer.placePool(pool);
		if (heartbeats.isConnected()) {
			balancer.balance(pool);
		}
	}

	function returnTask(task: OpenTask): void {
		queues.returnTask(task);
		placePool(task.job.pool);
	}

	function cancelTasks(job: OpenJob): void {
		queues.removeJob(job.pool, job.key);
		runner.stopJob(job);
		sender.cancelJob(job);
	}

	function handleServerUnused(server: BackendServerRecord, pools: readonly string[]): void {
		ejection.removeBackendServer(server.id);
		setPoolSizes(pools);
	}

	function setPoolSizes(pools: readonly string[]): void {
		for (const pool of pools) {
			ejection.setPoolSize(pool, table.getPoolSize(pool), rules?.findPool(pool)?.largestEjectedShare ?? 0);
		}
	}

	function handleMessage(peerId: string, message: DispatchMessage): void {
		const wasConnected = heartbeats.isConnected();
		heartbeats.recordReceived(peerId);
		if (!wasConnected && heartbeats.isConnected()) {
			managers.restartLeaseWaits();
		}

		partners.recordReceived(peerId);
		if ('loads' in message) {
			partners.updateLoads(peerId, message.loads);
		}

		routeMessage(peerId, message);
		if ('loads' in message) {
			balanceAll();
		}
	}

	function startDraining(): void {
		if (isDraining) {
			return;
		}

		isDraining = true;
		for (const peerId of managers.getPeerIds()) {
			send(peerId, {kind: 'dispatch.draining', senderIncarnation: incarnation});
		}

		managers.markDraining(ownId, incarnation);
		balanceAll();
	}

	function holdsSlots(server: BackendServerRecord): boolean {
		return server.managerId === ownId && server.managedFromMs <= timers.getNowMs() && mayUse(server);
	}

	return {
		setConfiguration(configuration) {
			rules = createPlacementRules(configuration);
			retryBudgets.clear();
			table.setRules(rules);
			setPoolSizes(Object.keys(configuration.objects.pools));
		},
		setMembers(newMembers) {
			members = newMembers;
			heartbeats.setMembers(members);
			partners.setMembers(members);
			receiver.setMembers(members);
			sender.setMembers(members.filter(member => member.id !== ownId));
			directory.setMembers(members);
			managers.setMembers(members);
		},
		setClosedZones: closure.setClosedZones,
		announceBackendServer: directory.announce,
		removeBackendServer: directory.remove,
		drainBackendServer(backendServerId) {
			const server = table.findServer(backendServerId);
			if (server !== undefined) {
				directory.remove(backendServerId, server.announcement.incarnation);
			}

			return server !== undefined;
		},
		submitJob: admission.submitJob,
		explainJob: job => explainJob(job, {
			ownId, nowMs: timers.getNowMs(), rules, table, estimator, ejection, mayUse, isOwnZoneClosed, findRefusal, getLoad, getCapacities: partners.getCapacities,
		}),
		cancelJob(jobId) {
			if (admission.cancelJob(jobId)) {
				return true;
			}

			const job = jobs.findJob(jobId);
			if (job !== undefined) {
				jobs.abort(job, {failure: 'cancelled', refusal: 'cancelled'});
			}

			return job !== undefined;
		},
		handleTaskEvent: runner.handleTaskEvent,
		handlePeerMessage: inbox.handlePeerMessage,
		startDraining,
		getStatus: () => getDispatcherStatus({
			queues, runner, jobs, table, ejection, isDraining, holdsSlots,
		}),
	};
}
