import type {
	BackendServerAnnouncement, EventLog, MetricSink, TimerService,
} from '@camphortack/core';
import type {PlacementRules} from '../configuration/placement-rules.js';
import {createBackendServerRecord, getFreeSlots, type BackendServerRecord} from './backend-server-record.js';
import {createOtherIncarnations} from './other-incarnations.js';
import {createServerBlocks} from './server-blocks.js';
import {createServerPools} from './server-pools.js';

export type BackendServerTableOptions = {
	ownId: string;
	timers: TimerService;
	metrics: MetricSink;
	events: EventLog;
	/** Called when a backend server that can take work was refreshed. */
	onAvailable: (server: BackendServerRecord) => void;
	/** Called when an incarnation of a backend server is no longer in use, with the pools that it served. */
	onUnused: (server: BackendServerRecord, pools: readonly string[]) => void;
	/** Called when an incarnation of a backend server was removed, so that the tasks there are lost. */
	onRemoved: (server: BackendServerRecord) => void;
	/** Called when another incarnation, which was announced before, is in use from now on. */
	onReplaced: (server: BackendServerRecord) => void;
	/** Called when a backend server that this daemon manages has expired. */
	onExpired: (server: BackendServerRecord) => void;
};

/** The effect of an announcement. */
export type AnnouncedServer = {
	/** The announced incarnation, or the one in use if the announced one has ended. */
	server: BackendServerRecord;
	/** Whether the incarnation or its description is new. */
	isChanged: boolean;
	/** Whether tasks may start on the incarnation, rather than on another one with its id. */
	isInUse: boolean;
};

/**
 * The backend servers of the availability zone of this daemon, and which of them can take work now.
 *
 * An announcement of another incarnation may come from another writer than the backend server. It does not replace the incarnation
 * in use until that one has left, refuses a connection or has expired, or if it is at the same address, where only one can listen.
 */
export type BackendServerTable = {
	setRules(rules: PlacementRules): void;
	/** Adds or renews an incarnation of a backend server. */
	announce(announcement: BackendServerAnnouncement, isDirect: boolean): AnnouncedServer;
	/** Stops new work; returns true if the backend server had this incarnation and was not leaving yet. */
	markLeaving(backendServerId: string, incarnation: string): boolean;
	/** Removes an expired backend server unless this daemon manages it. */
	removeUnmanaged(backendServerId: string, incarnation: string): void;
	/** Finds the incarnation in use. */
	findServer(backendServerId: string): BackendServerRecord | undefined;
	/** Finds an incarnation, in use or not. */
	findIncarnation(backendServerId: string, incarnation: string): BackendServerRecord | undefined;
	/** Gets the announced incarnations that are not in use. */
	getOtherIncarnations(backendServerId: string): readonly BackendServerRecord[];
	/** Gets the incarnations in use. */
	getAll(): Iterable<BackendServerRecord>;
	/** Gets the backend servers of a pool on which this daemon can start tasks. */
	getAvailable(pool: string): ReadonlySet<BackendServerRecord>;
	/** Recomputes whether a backend server can take work. Must be called after any change to its record. */
	refresh(server: BackendServerRecord): void;
	/** Moves a backend server to the end of the available ones of its pools. */
	rotate(server: BackendServerRecord): void;
	/** Uses another incarnation if one was announced, and blocks new work, after a connection was refused. */
	recordRefusal(server: BackendServerRecord): void;
	/** Blocks new work for an exponentially increasing time, after a not-run answer, for example. */
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

export function createBackendServerTable(options: BackendServerTableOptions): BackendServerTable {
	const {ownId, timers, metrics, events} = options;
	/** The incarnations in use. */
	const servers = new Map<string, BackendServerRecord>();
	const others = createOtherIncarnations();
	const pools = createServerPools();
	/** The backend servers that this daemon manages. */
	const managed = new Set<BackendServerRecord>();
	const blocks = createServerBlocks({
		timers, isInUse, refresh, getManagedCount: () => managed.size,
	});
	let rules: PlacementRules | undefined;

	function setRules(newRules: PlacementRules): void {
		rules = newRules;
		for (const server of servers.values()) {
			setPools(server);
			refresh(server);
		}
	}

	function setPools(server: BackendServerRecord): void {
		const {services, availabilityZone} = server.announcement;
		pools.setPools(server, rules?.getPoolsFor(services, availabilityZone) ?? []);
	}

	function findIncarnation(backendServerId: string, incarnation: string): BackendServerRecord | undefined {
		const server = servers.get(backendServerId);
		return server?.announcement.incarnation === incarnation ? server : others.findServer(backendServerId, incarnation);
	}

	function announce(announcement: BackendServerAnnouncement, isDirect: boolean): AnnouncedServer {
		const inUse = servers.get(announcement.id);
		const known = findIncarnation(announcement.id, announcement.incarnation);
		if (known === undefined && inUse?.previousIncarnation === announcement.incarnation) {
			return {server: inUse, isChanged: false, isInUse: true};
		}

		const isReplaced = inUse !== undefined && known !== inUse && hasEnded(inUse, announcement);
		const isDescribedAnew = known === undefined || JSON.stringify(known.announcement) !== JSON.stringify(announcement);
		const server = known ?? createBackendServerRecord(announcement, timers.getNowMs(), isReplaced ? inUse.announcement.incarnation : undefined);
		renew(server, announcement, isDirect);
		if (isReplaced) {
			others.remove(server);
			remove(inUse);
		}

		if (!servers.has(server.id)) {
			use(server);
			return {server, isChanged: true, isInUse: true};
		}

		if (known === undefined) {
			addOther(server);
		}

		return {server, isChanged: isDescribedAnew, isInUse: isInUse(server)};
	}

	function renew(server: BackendServerRecord, announcement: BackendServerAnnouncement, isDirect: boolean): void {
		server.lastSeenMs = timers.getNowMs();
		if (isDirect) {
			server.lastDirectAnnouncementMs = timers.getNowMs();
		}

		server.announcement = announcement;
		if (isInUse(server)) {
			setPools(server);
			refresh(server);
		}
	}

	function isInUse(server: BackendServerRecord): boolean {
		return servers.get(server.id) === server;
	}

	function isSilent({lastSeenMs, announcement}: BackendServerRecord): boolean {
		return timers.getNowMs() - lastSeenMs > announcement.timeToLiveMs;
	}

	/** Whether the announcement of another incarnation shows that the one in use has ended, or will. */
	function hasEnded(server: BackendServerRecord, {host, port}: BackendServerAnnouncement): boolean {
		const isSameAddress = server.announcement.host === host && server.announcement.port === port;
		return isSameAddress || server.isLeaving || isSilent(server);
	}

	function use(server: BackendServerRecord): void {
		servers.set(server.id, server);
		setPools(server);
		metrics.increment('backend-server-announced');
		events.write('backend-server-announced', {backendServer: server.id, incarnation: server.announcement.incarnation});
	}

	function addOther(server: BackendServerRecord): void {
		const {id, announcement: {incarnation, host, port}} = server;
		events.write('backend-server-disputed', {
			backendServer: id, incarnation, host, port, inUse: servers.get(id)!.announcement.incarnation,
		});
		keepAsOther(server);
	}

	function keepAsOther(server: BackendServerRecord): void {
		const dropped = others.add(server);
		if (dropped !== undefined) {
			options.onRemoved(dropped);
		}
	}

	/** Uses the other incarnation that has waited longest, if there is one. Its refusals and those of the one before count together. */
	function useNext(previous: BackendServerRecord): BackendServerRecord | undefined {
		const [next] = others.getServers(previous.id);
		if (next === undefined) {
			return undefined;
		}

		others.remove(next);
		next.managerId = previous.managerId;
		next.managedFromMs = previous.managedFromMs;
		next.consecutiveRefusals = previous.consecutiveRefusals;
		next.blockedUntilMs = Number.NEGATIVE_INFINITY;
		use(next);
		options.onReplaced(next);
		return next;
	}

	/** The tasks on the incarnation that refused a connection go on: it may run, while the other one may not exist. */
	function recordRefusal(server: BackendServerRecord): void {
		if (!isInUse(server)) {
			return;
		}

		if (others.getServers(server.id).length > 0) {
			stopUsing(server);
			useNext(server);
			keepAsOther(server);
		}

		blocks.block(servers.get(server.id)!);
	}

	function markLeaving(backendServerId: string, incarnation: string): boolean {
		const server = findIncarnation(backendServerId, incarnation);
		if (server === undefined || server.isLeaving) {
			return false;
		}

		others.remove(server);
		server.isLeaving = true;
		refresh(server);
		events.write('backend-server-left', {backendServer: backendServerId});
		return true;
	}

	function remove(server: BackendServerRecord): void {
		stopUsing(server);
		options.onRemoved(server);
	}

	/** Removes an incarnation, and uses the next one that was announced under its id. */
	function removeAndUseNext(server: BackendServerRecord): void {
		remove(server);
		const next = useNext(server);
		if (next !== undefined) {
			refresh(next);
		}
	}

	function stopUsing(server: BackendServerRecord): void {
		servers.delete(server.id);
		managed.delete(server);
		blocks.removeServer(server);
		const unservedPools = server.pools;
		pools.setPools(server, []);
		options.onUnused(server, unservedPools);
	}

	function refresh(server: BackendServerRecord): void {
		if (server.managerId === ownId && isInUse(server)) {
			managed.add(server);
		} else {
			managed.delete(server);
		}

		if (!isUsable(server)) {
			pools.removeAvailable(server);
			return;
		}

		pools.addAvailable(server);
		options.onAvailable(server);
	}

	function isManaged(server: BackendServerRecord): boolean {
		return server.managerId === ownId && server.managedFromMs <= timers.getNowMs();
	}

	function isUsable(server: BackendServerRecord): boolean {
		return isInUse(server)
			&& isManaged(server)
			&& getFreeSlots(server) > 0
			&& server.blockedUntilMs <= timers.getNowMs();
	}

	function removeExpired(): void {
		for (const server of servers.values()) {
			if (server.managerId === ownId) {
				removeExpiredOthers(server.id);
			}

			if (isSilent(server) && server.isLeaving && server.busySlots === 0) {
				removeAndUseNext(server);
			} else if (isSilent(server) && !server.isLeaving && server.managerId === ownId) {
				expire(server);
			}
		}
	}

	function removeExpiredOthers(backendServerId: string): void {
		for (const server of others.getServers(backendServerId)) {
			if (isSilent(server)) {
				others.remove(server);
				options.onRemoved(server);
				options.onExpired(server);
			}
		}
	}

	function expire(server: BackendServerRecord): void {
		metrics.increment('backend-server-expired');
		events.write('backend-server-expired', {backendServer: server.id});
		removeAndUseNext(server);
		options.onExpired(server);
	}

	/** Another daemon that manages the backend server has found that the incarnation has expired. */
	function removeUnmanaged(backendServerId: string, incarnation: string): void {
		const server = findIncarnation(backendServerId, incarnation);
		if (server === undefined || servers.get(backendServerId)?.managerId === ownId) {
			return;
		}

		if (others.remove(server)) {
			options.onRemoved(server);
		} else {
			removeAndUseNext(server);
		}
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
		removeUnmanaged,
		findServer: backendServerId => servers.get(backendServerId),
		findIncarnation,
		getOtherIncarnations: others.getServers,
		getAll: () => servers.values(),
		getAvailable: pools.getAvailable,
		refresh,
		rotate: pools.rotate,
		recordRefusal,
		block: blocks.block,
		markSeen(server) {
			server.lastSeenMs = timers.getNowMs();
		},
		recordSuccess: blocks.recordSuccess,
		recordFailure: blocks.recordFailure,
		isSuspect: blocks.isSuspect,
		removeExpired,
		getSlotCount: pool => sumManaged(pool, server => server.isLeaving ? 0 : server.announcement.slots),
		getPools: pools.getPools,
		getPoolSize: pools.getSize,
		getFreeSlotCount: pool => sumManaged(pool, server => getFreeSlots(server)),
	};
}
