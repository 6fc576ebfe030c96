import type {BackendServerAnnouncement, TaskNeeds} from '@camphortack/core';

/** The state of a backend server as known to this daemon. */
export type BackendServerRecord = {
	readonly id: string;
	announcement: BackendServerAnnouncement;
	/** The incarnation before this one; announcements of it are outdated. */
	readonly previousIncarnation: string | undefined;
	/** When a renewal was last forwarded to the manager. */
	lastForwardedMs: number;
	lastSeenMs: number;
	/** When the backend server last announced itself to this daemon directly, not through another daemon. */
	lastDirectAnnouncementMs: number;
	isLeaving: boolean;
	/** No task is started before this time, after a refused connection, a not-run answer or repeated failures. */
	blockedUntilMs: number;
	consecutiveRefusals: number;
	/** The jobs whose tasks failed on this backend server since the last successful task. */
	readonly failedJobIds: Set<string>;
	/** The daemon that manages its slots. */
	managerId: string;
	/** The time from which this daemon may use the slots if it is the manager. */
	managedFromMs: number;
	busySlots: number;
	/** The number of slots still occupied by tasks of previous managers, by daemon. */
	readonly foreignBusySlots: Map<string, number>;
	readonly usedResources: Required<TaskNeeds>;
	/** The pools that it serves. */
	pools: readonly string[];
};

/**
 * Creates the record of an announced backend server.
 * @param announcement - The announcement.
 * @param nowMs - The current time.
 * @param previousIncarnation - The incarnation before this one.
 */
export function createBackendServerRecord(
	announcement: BackendServerAnnouncement,
	nowMs: number,
	previousIncarnation?: string,
): BackendServerRecord {
	return {
		id: announcement.id,
		announcement,
		previousIncarnation,
		lastForwardedMs: Number.NEGATIVE_INFINITY,
		lastSeenMs: nowMs,
		lastDirectAnnouncementMs: Number.NEGATIVE_INFINITY,
		isLeaving: false,
		blockedUntilMs: Number.NEGATIVE_INFINITY,
		consecutiveRefusals: 0,
		failedJobIds: new Set(),
		managerId: '',
		managedFromMs: Infinity,
		busySlots: 0,
		foreignBusySlots: new Map(),
		usedResources: {processors: 0, memoryMegabytes: 0, accelerators: 0},
		pools: [],
	};
}

/**
 * Gets the number of free slots, or 0 if the backend server is leaving.
 * @param server - The backend server.
 */
export function getFreeSlots(server: BackendServerRecord): number {
	const usableSlots = Math.min(server.announcement.slots, server.announcement.connectionLimit);
	let freeSlots = usableSlots - server.busySlots;
	for (const busySlots of server.foreignBusySlots.values()) {
		freeSlots -= busySlots;
	}

	return server.isLeaving ? 0 : Math.max(0, freeSlots);
}

/**
 * Whether the needs of a task fit into the resources that the running tasks leave free.
 * @param server - The backend server.
 * @param needs - The needs of the task.
 */
export function hasRoomFor(server: BackendServerRecord, needs: TaskNeeds | undefined): boolean {
	if (needs === undefined) {
		return true;
	}

	const {announcement, usedResources} = server;
	return (needs.processors ?? 0) <= announcement.processors - usedResources.processors
		&& (needs.memoryMegabytes ?? 0) <= announcement.memoryMegabytes - usedResources.memoryMegabytes
		&& (needs.accelerators ?? 0) <= announcement.accelerators - usedResources.accelerators;
}

/**
 * Reserves or frees the resources that a task needs.
 * @param server - The backend server.
 * @param needs - The needs of the task.
 * @param sign - 1 to reserve, -1 to free.
 */
export function addUsedResources(server: BackendServerRecord, needs: TaskNeeds | undefined, sign: 1 | -1): void {
	if (needs === undefined) {
		return;
	}

	server.usedResources.processors += sign * (needs.processors ?? 0);
	server.usedResources.memoryMegabytes += sign * (needs.memoryMegabytes ?? 0);
	server.usedResources.accelerators += sign * (needs.accelerators ?? 0);
}
