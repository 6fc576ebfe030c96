import type {BackendServerAnnouncement, TaskNeeds} from '@camphortack/core';

/** A backend server as this daemon knows it. */
export type BackendServerRecord = {
	readonly id: string;
	announcement: BackendServerAnnouncement;
	/** The process before this one; what is still said of it is out of date. */
	readonly previousIncarnation: string | undefined;
	/** When a renewal was last passed on to the manager. */
	lastForwardedMs: number;
	lastSeenMs: number;
	/** When the backend server itself was last heard by this daemon, not through another daemon. */
	lastDirectAnnouncementMs: number;
	isLeaving: boolean;
	/** Until when nothing is started after a refused connection or a not-run answer. */
	blockedUntilMs: number;
	consecutiveRefusals: number;
	/** The jobs whose tasks failed here since the last task that ended well. */
	readonly failedJobIds: Set<string>;
	/** The daemon that leases out its slots. */
	managerId: string;
	/** From when this daemon may use the slots if it is the manager. */
	managedFromMs: number;
	busySlots: number;
	/** Slots that tasks of earlier managers still occupy, by daemon. */
	readonly foreignBusySlots: Map<string, number>;
	readonly usedResources: Required<TaskNeeds>;
	/** The pools that it works for. */
	pools: readonly string[];
};

/**
 * Creates the record of a backend server that announced itself.
 * @param announcement - The announcement.
 * @param nowMs - The time.
 * @param previousIncarnation - The process before this one.
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
 * Gets the slots on which nothing runs, or 0 if the backend server is to get no new work.
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
 * Whether a task's needs fit into what the running tasks leave.
 * @param server - The backend server.
 * @param needs - What the task needs.
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
 * Takes what a task needs, or gives it back.
 * @param server - The backend server.
 * @param needs - What the task needs.
 * @param sign - 1 to take, -1 to give back.
 */
export function addUsedResources(server: BackendServerRecord, needs: TaskNeeds | undefined, sign: 1 | -1): void {
	if (needs === undefined) {
		return;
	}

	server.usedResources.processors += sign * (needs.processors ?? 0);
	server.usedResources.memoryMegabytes += sign * (needs.memoryMegabytes ?? 0);
	server.usedResources.accelerators += sign * (needs.accelerators ?? 0);
}
