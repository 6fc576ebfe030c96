import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import type {PlacedJob} from '../jobs/placed-job.js';
import type {JobTable} from '../placer/job-table.js';
import type {PooledServer, ServerPool} from '../placer/server-pool.js';
import type {CrashRegister, SuspectRun} from './crash-register.js';
import {getMostSuspects} from './get-most-suspects.js';

/** Keeps queues whose tasks crash backend servers apart from the others. */
export type QueueQuarantine = {
	/** Decides anew which queues are in quarantine, and on which backend servers. */
	update(): void;
	isQuarantined(queueName: string): boolean;
	/** Whether no task of a queue may start, because too many backend servers are down that its tasks have crashed. */
	isSuspended(queueName: string): boolean;
	/** Whether tasks of a queue may start on a backend server. */
	mayUse(queueName: string, server: PooledServer): boolean;
};

export type QueueQuarantineOptions = {
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	jobTable: JobTable;
	pool: ServerPool;
	crashRegister: CrashRegister;
	/** Gets the backend servers of a service that can start tasks. */
	getUsableServers: (service: string) => readonly PooledServer[];
};

type Quarantine = {
	service: string;
	serverIds: Set<string>;
	isSuspended: boolean;
	/** The number of backend servers that the queue needs, and when it last needed that many. */
	neededServers: number;
	neededAtMs: number;
};

/** A queue is put into quarantine after this many separate crashes within the detection time, or after a share of all backend servers. */
const minSuspects = 3;
const minSuspectShare = 0.05;
const detectionMs = 3000;
/** The quarantine ends when none of the queue's tasks has crashed a backend server for this time. */
const releaseMs = 5000;
/** The share of the backend servers of a service that may be down because of one queue. */
const maxCrashedShare = 0.1;
/** The share of the backend servers of a service that one queue in quarantine may use. */
const maxServerShare = 0.25;
/** Backend servers hold less than their capacity, since tasks do not fill them completely. */
const packingFactor = 1.3;
/** How long backend servers are kept for the next jobs of a queue. */
const neededServersRetentionMs = 1000;

/**
 * Creates the quarantine of a placer, without any queue. Each job of a bad queue may crash a backend server before anything
 * is known of the job, so that limits on single tasks do not protect the other queues. In quarantine, a queue has backend
 * servers of its own, which no other queue uses, and none at all while its tasks keep a tenth of all backend servers down.
 * @param options - The jobs, the backend servers and the known crashes.
 */
export function createQueueQuarantine(options: QueueQuarantineOptions): QueueQuarantine {
	const {timers, events, metrics, jobTable, pool, crashRegister, getUsableServers} = options;
	const quarantines = new Map<string, Quarantine>();

	function getJobs(queueName: string): PlacedJob[] {
		return [...jobTable.getJobs()].filter(({request}) => request.queueName === queueName);
	}

	function isDue(queueName: string, suspects: readonly SuspectRun[], serverCount: number): boolean {
		const lastAtMs = suspects.at(-1)?.atMs ?? Number.NEGATIVE_INFINITY;
		if (timers.getNowMs() - lastAtMs >= releaseMs) {
			return false;
		}

		// A new placer continues a quarantine, in which crashes are too rare to begin one.
		return quarantines.has(queueName) || getMostSuspects(suspects, detectionMs) >= Math.max(minSuspects, serverCount * minSuspectShare);
	}

	function countServers(service: string): number {
		return [...pool.getServers()].filter(({session}) => session.getDescription().service === service && session.getState() !== 'closed').length;
	}

	/** Counts the backend servers that the tasks of a queue have crashed and that are not back. */
	function countCrashedServers(suspects: readonly SuspectRun[]): number {
		return suspects.filter(({serverId, bornMs}) => {
			const session = pool.findServer(serverId)?.session;
			return session?.getDescription().bornMs === bornMs && (session.getState() === 'claiming' || session.getState() === 'silent');
		}).length;
	}

	function countOtherRuns(queueName: string, {session}: PooledServer): number {
		return [...session.getRuns().keys()].filter(taskName => jobTable.findTask(taskName)?.job.request.queueName !== queueName).length;
	}

	function isInOtherQuarantine(queueName: string, serverId: string): boolean {
		return [...quarantines].some(([name, {serverIds}]) => name !== queueName && serverIds.has(serverId));
	}

	/** Gets how many backend servers the open tasks of a queue need. */
	function getNeededServers(jobs: readonly PlacedJob[], usable: readonly PooledServer[]): number {
		const usableMillicores = usable.reduce((sum, {session}) => sum + session.getDescription().cpuMillicores, 0);
		return usableMillicores === 0 ? 0 : Math.ceil(getMillicores(jobs) * packingFactor * usable.length / usableMillicores);
	}

	/** Keeps the backend servers that the queue has, and adds or removes those that cost the other queues least. */
	function chooseServers(queueName: string, {serverIds}: Quarantine, usable: readonly PooledServer[], count: number): Set<string> {
		const byCost = usable
			.map(server => ({id: server.session.getDescription().id, otherRuns: countOtherRuns(queueName, server)}))
			.toSorted((left, right) => Number(serverIds.has(right.id)) - Number(serverIds.has(left.id)) || left.otherRuns - right.otherRuns);
		return new Set(byCost.slice(0, count).map(({id}) => id));
	}

	function createQuarantine(queueName: string, service: string, suspects: readonly SuspectRun[]): Quarantine {
		metrics.increment('queue-quarantined');
		events.write('queue-quarantined', {
			queue: queueName, crashes: suspects.length, down: countCrashedServers(suspects), servers: countServers(service),
		});
		return {
			service, serverIds: new Set(), isSuspended: false, neededServers: 0, neededAtMs: timers.getNowMs(),
		};
	}

	function updateServers(queueName: string, quarantine: Quarantine, jobs: readonly PlacedJob[]): void {
		const serverCount = countServers(quarantine.service);
		const usable = getUsableServers(quarantine.service).filter(({session}) => !isInOtherQuarantine(queueName, session.getDescription().id));
		const neededServers = getNeededServers(jobs, usable);
		const nowMs = timers.getNowMs();
		if (neededServers >= quarantine.neededServers || nowMs - quarantine.neededAtMs >= neededServersRetentionMs) {
			quarantine.neededServers = neededServers;
			quarantine.neededAtMs = nowMs;
		}

		const maxServers = Math.floor(serverCount * maxServerShare);
		quarantine.isSuspended = countCrashedServers(crashRegister.getSuspects(queueName)) >= Math.max(1, Math.floor(serverCount * maxCrashedShare));
		quarantine.serverIds = chooseServers(queueName, quarantine, usable, Math.max(1, Math.min(maxServers, quarantine.neededServers)));
	}

	function updateQueue(queueName: string): void {
		const suspects = crashRegister.getSuspects(queueName);
		const jobs = getJobs(queueName);
		const known = quarantines.get(queueName);
		const service = known?.service ?? jobs[0]?.request.service;
		if (service === undefined || !isDue(queueName, suspects, countServers(service))) {
			release(queueName);
			return;
		}

		const quarantine = known ?? createQuarantine(queueName, service, suspects);
		quarantines.set(queueName, quarantine);
		updateServers(queueName, quarantine, jobs);
	}

	function release(queueName: string): void {
		if (quarantines.delete(queueName)) {
			events.write('queue-released', {queue: queueName});
		}
	}

	return {
		update() {
			for (const queueName of new Set([...quarantines.keys(), ...crashRegister.getSuspectQueues()])) {
				updateQueue(queueName);
			}
		},
		isQuarantined: queueName => quarantines.has(queueName),
		isSuspended: queueName => quarantines.get(queueName)?.isSuspended ?? false,
		mayUse(queueName, server) {
			const {id} = server.session.getDescription();
			const own = quarantines.get(queueName);
			return own === undefined ? !isInOtherQuarantine(queueName, id) : !own.isSuspended && own.serverIds.has(id) && countOtherRuns(queueName, server) === 0;
		},
	};
}

/** Gets the CPU that the open tasks of jobs need. */
function getMillicores(jobs: readonly PlacedJob[]): number {
	let millicores = 0;
	for (const {tasks} of jobs) {
		for (const {state, needs} of tasks) {
			millicores += state === 'done' ? 0 : needs.cpuMillicores;
		}
	}

	return millicores;
}
