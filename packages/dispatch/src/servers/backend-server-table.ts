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
	/** Called when a backend server got or lost free slots, was added or changed. */
	onAvailable: (server: BackendServerRecord) => void;
	/** Called when a backend server is gone. */
	onRemoved: (server: BackendServerRecord) => void;
	/** Called when a backend server that this daemon manages stopped renewing. */
	onExpired: (server: BackendServerRecord) => void;
};

/** The backend servers of this daemon's availability zone and which of them can take work now. */
export type BackendServerTable = {
	setRules(rules: PlacementRules): void;
	/** Adds or renews; true if it is new or has a new incarnation or description. */
	announce(announcement: BackendServerAnnouncement, isDirect: boolean): boolean;
	/** Ends new work; true if it was known under this incarnation and not yet leaving. */
	markLeaving(backendServerId: string, incarnation: string): boolean;
	/** Removes one that another daemon manages and that stopped renewing. */
	removeUnmanaged(backendServerId: string, incarnation: string): void;
	findServer(backendServerId: string): BackendServerRecord | undefined;
	getAll(): Iterable<BackendServerRecord>;
	/** Gets the backend servers of a pool that have free slots for this daemon. */
	getAvailable(pool: string): ReadonlySet<BackendServerRecord>;
	/** Recomputes whether a backend server can take work, after any change to its record. */
	refresh(server: BackendServerRecord): void;
	/** Moves a backend server behind the others of its pools. */
	rotate(server: BackendServerRecord): void;
	/** Blocks new work for a while after a refused connection or a not-run answer. */
	block(server: BackendServerRecord): void;
	markSeen(server: BackendServerRecord): void;
	/** Notes a task that ended well. */
	recordSuccess(server: BackendServerRecord): void;
	/** Notes a task that failed; a backend server that fails several jobs and none ends well is blocked for a while. */
	recordFailure(server: BackendServerRecord, jobId: string): void;
	/** Whether it lately only failed, so that one task at a time is enough to try it. */
	isSuspect(server: BackendServerRecord): boolean;
	/** Removes those that stopped renewing. */
	removeExpired(): void;
	/** Gets the usable slots of a pool that this daemon manages. */
	getSlotCount(pool: string): number;
	getFreeSlotCount(pool: string): number;
	/** Gets the pools for which backend servers of this zone work. */
	getPools(): string[];
	/** Gets how many backend servers work for a pool. */
	getPoolSize(pool: string): number;
};

const shortestBlockMs = 50;
const longestBlockMs = 2000;
const mostDoublings = 6;
const fewestFailedJobs = 3;
const largestSuspectShare = 0.3;

/**
 * Creates the table.
 * @param options - Ports and callbacks.
 */
export function createBackendServerTable(options: BackendServerTableOptions): BackendServerTable {
	const {ownId, timers, metrics, events} = options;
	const servers = new Map<string, BackendServerRecord>();
	const availableByPool = new Map<string, Set<BackendServerRecord>>();
	const unblockTimers = new Map<string, TimerSubscription>();
	/** Those whose manager is this daemon. */
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
		countInPools(server, -1);
		server.pools = rules?.getPoolsFor(services, availabilityZone) ?? [];
		countInPools(server, 1);
	}

	function countInPools(server: BackendServerRecord, sign: 1 | -1): void {
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

		leaveAvailable(server);
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
		countInPools(server, -1);
		leaveAvailable(server);
		unblockTimers.get(server.id)?.cancel();
		unblockTimers.delete(server.id);
		options.onRemoved(server);
	}

	function leaveAvailable(server: BackendServerRecord): void {
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
			leaveAvailable(server);
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
		const durationMs = Math.min(longestBlockMs, shortestBlockMs * (2 ** Math.min(mostDoublings, server.consecutiveRefusals)));
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
		if (server.failedJobIds.size < fewestFailedJobs) {
			server.failedJobIds.add(jobId);
		}

		const mostSuspects = Math.max(1, Math.floor(managed.size * largestSuspectShare));
		if (server.failedJobIds.size >= fewestFailedJobs && (suspects.has(server) || suspects.size < mostSuspects)) {
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
