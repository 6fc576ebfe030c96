import type {
	BackendServerAnnouncement, EventLog, MetricSink, TimerService, TimerSubscription,
} from '@camphortack/core';
import type {PlacementRules} from '../configuration/placement-rules.js';
import {createBackendServerRecord, getFreeSlots, type BackendServerRecord} from './backend-server-record.js';

export type BackendServerTableOptions = {
	ownId: string;
	timers: TimerService;
	metrics: MetricSink;
	events: EventLog;
	/** Called when a backend server that can take work was refreshed. */
	onAvailable: (server: BackendServerRecord) => void;
	/** Called when a backend server was removed. */
	onRemoved: (server: BackendServerRecord) => void;
	/** Called when a backend server that this daemon manages has expired. */
	onExpired: (server: BackendServerRecord) => void;
};

/** The backend servers of the availability zone of this daemon, and which of them can take work now. */
export type BackendServerTable = {
	setRules(rules: PlacementRules): void;
	/** Adds or renews a backend server; returns true if it is new or has a new incarnation or description. */
	announce(announcement: BackendServerAnnouncement, isDirect: boolean): boolean;
	/** Stops new work; returns true if the backend server had this incarnation and was not leaving yet. */
	markLeaving(backendServerId: string, incarnation: string): boolean;
	/** Removes an expired backend server unless this daemon manages it. */
	removeUnmanaged(backendServerId: string, incarnation: string): void;
	findServer(backendServerId: string): BackendServerRecord | undefined;
	getAll(): Iterable<BackendServerRecord>;
	/** Gets the backend servers of a pool on which this daemon can start tasks. */
	getAvailable(pool: string): ReadonlySet<BackendServerRecord>;
	/** Recomputes whether a backend server can take work. Must be called after any change to its record. */
	refresh(server: BackendServerRecord): void;
	/** Moves a backend server to the end of the available ones of its pools. */
	rotate(server: BackendServerRecord): void;
	/** Blocks new work for an exponentially increasing time, after a refused connection or a not-run answer, for example. */
	block(server: BackendServerRecord): void;
	markSeen(server: BackendServerRecord): void;
	/** Records a successful task. */
	recordSuccess(server: BackendServerRecord): void;
	/** Records a failed task; blocks a backend server that failed tasks of several jobs without a success in between. */
	recordFailure(server: BackendServerRecord, jobId: string): void;
	/** Whether a backend server has only failed lately, so that it is probed with one task at a time. */
	isSuspect(server: BackendServerRecord): boolean;
	/** Removes the backend servers whose announcements have expired. */
	removeExpired(): void;
	/** Gets the number of usable slots of a pool that this daemon manages. */
	getSlotCount(pool: string): number;
	getFreeSlotCount(pool: string): number;
	/** Gets the pools that backend servers of this availability zone serve. */
	getPools(): string[];
	/** Gets the number of backend servers that serve a pool. */
	getPoolSize(pool: string): number;
};

const minBlockMs = 50;
const maxBlockMs = 2000;
const maxBlockDoublings = 6;
const minFailedJobs = 3;
const maxSuspectShare = 0.3;

export function createBackendServerTable(options: BackendServerTableOptions): BackendServerTable {
	const {ownId, timers, metrics, events} = options;
	const servers = new Map<string, BackendServerRecord>();
	const availableByPool = new Map<string, Set<BackendServerRecord>>();
	const unblockTimers = new Map<string, TimerSubscription>();
	/** The backend servers that this daemon manages. */
	const managed = new Set<BackendServerRecord>();
	const suspects = new Set<BackendServerRecord>();
	const poolSizes = new Map<string, number>();
	const noServers: ReadonlySet<BackendServerRecord> = new Set();
	let rules: PlacementRules | undefined;

	function setRules(newRules: PlacementRules): void {
		rules = newRules;
		availableByPool.clear();
		for (const server of servers.values()) {
			setPools(server);
			refresh(server);
		}
	}

	function setPools(server: BackendServerRecord): void {
		const {services, availabilityZone} = server.announcement;
		updatePoolSizes(server, -1);
		server.pools = rules?.getPoolsFor(services, availabilityZone) ?? [];
		updatePoolSizes(server, 1);
	}

	function updatePoolSizes(server: BackendServerRecord, sign: 1 | -1): void {
		for (const pool of server.pools) {
			poolSizes.set(pool, (poolSizes.get(pool) ?? 0) + sign);
		}
	}

	function announce(announcement: BackendServerAnnouncement, isDirect: boolean): boolean {
		const nowMs = timers.getNowMs();
		const known = servers.get(announcement.id);
		if (known?.announcement.incarnation === announcement.incarnation) {
			const isChanged = JSON.stringify(known.announcement) !== JSON.stringify(announcement);
			renew(known, announcement, nowMs, isDirect);
			return isChanged;
		}

		if (known?.previousIncarnation === announcement.incarnation) {
			return false;
		}

		if (known !== undefined) {
			remove(known);
		}

		const server = createBackendServerRecord(announcement, nowMs, known?.announcement.incarnation);
		server.lastDirectAnnouncementMs = isDirect ? nowMs : Number.NEGATIVE_INFINITY;
		servers.set(server.id, server);
		setPools(server);
		metrics.increment('backend-server-announced');
		events.write('backend-server-announced', {backendServer: server.id, incarnation: announcement.incarnation});
		return true;
	}

	function renew(server: BackendServerRecord, announcement: BackendServerAnnouncement, nowMs: number, isDirect: boolean): void {
		server.lastSeenMs = nowMs;
		if (isDirect) {
			server.lastDirectAnnouncementMs = nowMs;
		}

		removeFromAvailable(server);
		server.announcement = announcement;
		setPools(server);
		refresh(server);
	}

	function markLeaving(backendServerId: string, incarnation: string): boolean {
		const server = servers.get(backendServerId);
		if (server === undefined || server.isLeaving || server.announcement.incarnation !== incarnation) {
			return false;
		}

		server.isLeaving = true;
		refresh(server);
		events.write('backend-server-left', {backendServer: backendServerId});
		return true;
	}

	function remove(server: BackendServerRecord): void {
		servers.delete(server.id);
		managed.delete(server);
		suspects.delete(server);
		updatePoolSizes(server, -1);
		removeFromAvailable(server);
		unblockTimers.get(server.id)?.cancel();
		unblockTimers.delete(server.id);
		options.onRemoved(server);
	}

	function removeFromAvailable(server: BackendServerRecord): void {
		for (const pool of server.pools) {
			availableByPool.get(pool)?.delete(server);
		}
	}

	function refresh(server: BackendServerRecord): void {
		if (server.managerId === ownId && servers.get(server.id) === server) {
			managed.add(server);
		} else {
			managed.delete(server);
		}

		if (!isUsable(server)) {
			removeFromAvailable(server);
			return;
		}

		for (const pool of server.pools) {
			let available = availableByPool.get(pool);
			if (available === undefined) {
				available = new Set();
				availableByPool.set(pool, available);
			}

			available.add(server);
		}

		options.onAvailable(server);
	}

	function isManaged(server: BackendServerRecord): boolean {
		return server.managerId === ownId && server.managedFromMs <= timers.getNowMs();
	}

	function isUsable(server: BackendServerRecord): boolean {
		return servers.get(server.id) === server
			&& isManaged(server)
			&& getFreeSlots(server) > 0
			&& server.blockedUntilMs <= timers.getNowMs();
	}

	function rotate(server: BackendServerRecord): void {
		for (const pool of server.pools) {
			const available = availableByPool.get(pool);
			if (available?.delete(server)) {
				available.add(server);
			}
		}
	}

	function block(server: BackendServerRecord): void {
		const durationMs = Math.min(maxBlockMs, minBlockMs * (2 ** Math.min(maxBlockDoublings, server.consecutiveRefusals)));
		server.consecutiveRefusals++;
		server.blockedUntilMs = timers.getNowMs() + durationMs;
		refresh(server);
		unblockTimers.get(server.id)?.cancel();
		unblockTimers.set(server.id, timers.addTimer(durationMs, () => {
			unblockTimers.delete(server.id);
			refresh(server);
		}));
	}

	function recordFailure(server: BackendServerRecord, jobId: string): void {
		if (server.failedJobIds.size < minFailedJobs) {
			server.failedJobIds.add(jobId);
		}

		const maxSuspects = Math.max(1, Math.floor(managed.size * maxSuspectShare));
		if (server.failedJobIds.size >= minFailedJobs && (suspects.has(server) || suspects.size < maxSuspects)) {
			suspects.add(server);
			block(server);
		}
	}

	function removeExpired(): void {
		const nowMs = timers.getNowMs();
		for (const server of servers.values()) {
			const isSilent = nowMs - server.lastSeenMs > server.announcement.timeToLiveMs;
			if (isSilent && server.isLeaving && server.busySlots === 0) {
				remove(server);
			} else if (isSilent && !server.isLeaving && server.managerId === ownId) {
				expire(server);
			}
		}
	}

	function expire(server: BackendServerRecord): void {
		remove(server);
		metrics.increment('backend-server-expired');
		events.write('backend-server-expired', {backendServer: server.id});
		options.onExpired(server);
	}

	function sumManaged(pool: string, getSlots: (server: BackendServerRecord) => number): number {
		let slots = 0;
		for (const server of managed) {
			if (isManaged(server) && server.pools.includes(pool)) {
				slots += getSlots(server);
			}
		}

		return slots;
	}

	return {
		setRules,
		announce,
		markLeaving,
		removeUnmanaged(backendServerId, incarnation) {
			const server = servers.get(backendServerId);
			if (server?.announcement.incarnation === incarnation && server.managerId !== ownId) {
				remove(server);
			}
		},
		findServer: backendServerId => servers.get(backendServerId),
		getAll: () => servers.values(),
		getAvailable: pool => availableByPool.get(pool) ?? noServers,
		refresh,
		rotate,
		block,
		markSeen(server) {
			server.lastSeenMs = timers.getNowMs();
		},
		recordSuccess(server) {
			server.consecutiveRefusals = 0;
			server.failedJobIds.clear();
			suspects.delete(server);
		},
		recordFailure,
		isSuspect: server => suspects.has(server),
		removeExpired,
		getSlotCount: pool => sumManaged(pool, server => server.isLeaving ? 0 : server.announcement.slots),
		getPools: () => [...poolSizes].filter(([, size]) => size > 0).map(([pool]) => pool),
		getPoolSize: pool => poolSizes.get(pool) ?? 0,
		getFreeSlotCount: pool => sumManaged(pool, server => getFreeSlots(server)),
	};
}
