import type {TaskNeeds} from '@camphortack/core';
import type {EjectionTracker} from '@camphortack/policy';
import {fitsInto} from '../configuration/placement-rules.js';
import {getFreeSlots, hasRoomFor, type BackendServerRecord} from '../servers/backend-server-record.js';
import type {BackendServerTable} from '../servers/backend-server-table.js';

/** Why a backend server takes no task now. The last three pass as tasks end. */
export type ServerExclusion
	= | 'other-pool'
		| 'other-service'
		| 'evacuated'
		| 'leaving'
		| 'too-small'
		| 'other-daemon'
		| 'not-managed-yet'
		| 'lease-expired'
		| 'ejected'
		| 'blocked'
		| 'on-trial'
		| 'no-free-slot'
		| 'no-free-resources';

/** The task to place. */
export type ExplainedTask = {
	pool: string;
	service: string;
	needs: TaskNeeds | undefined;
};

/** The state of the daemon that decides where tasks start. */
export type ServerChecks = {
	ownId: string;
	nowMs: number;
	table: Pick<BackendServerTable, 'isSuspect'>;
	ejection: Pick<EjectionTracker, 'isEjected'>;
	/** Whether the leases of this daemon are valid for a backend server. */
	mayUse: (server: BackendServerRecord) => boolean;
	/** Whether the availability zone of this daemon and its backend servers is evacuated. */
	isOwnZoneClosed: () => boolean;
};

/**
 * Finds the first reason for which a backend server takes no task now; undefined if it takes it.
 * @param server - The backend server.
 * @param task - The task.
 * @param checks - The state of the daemon.
 */
export function findServerExclusion(server: BackendServerRecord, task: ExplainedTask, checks: ServerChecks): ServerExclusion | undefined {
	return findLastingExclusion(server, task, checks) ?? findHealthExclusion(server, checks) ?? findCapacityExclusion(server, task);
}

function findLastingExclusion(server: BackendServerRecord, {pool, service, needs}: ExplainedTask, {ownId, nowMs, mayUse, isOwnZoneClosed}: ServerChecks): ServerExclusion | undefined {
	if (!server.pools.includes(pool)) {
		return 'other-pool';
	}

	if (!server.announcement.services.includes(service)) {
		return 'other-service';
	}

	if (isOwnZoneClosed()) {
		return 'evacuated';
	}

	if (server.isLeaving) {
		return 'leaving';
	}

	if (needs !== undefined && !fitsInto(needs, server.announcement)) {
		return 'too-small';
	}

	if (server.managerId !== ownId) {
		return 'other-daemon';
	}

	if (server.managedFromMs > nowMs) {
		return 'not-managed-yet';
	}

	return mayUse(server) ? undefined : 'lease-expired';
}

function findHealthExclusion(server: BackendServerRecord, {nowMs, table, ejection}: ServerChecks): ServerExclusion | undefined {
	// Whether an ejected backend server may run a trial task is not asked, since the answer would count as the trial.
	if (ejection.isEjected(server.id)) {
		return 'ejected';
	}

	if (server.blockedUntilMs > nowMs) {
		return 'blocked';
	}

	return table.isSuspect(server) && server.busySlots > 0 ? 'on-trial' : undefined;
}

function findCapacityExclusion(server: BackendServerRecord, {needs}: ExplainedTask): ServerExclusion | undefined {
	if (getFreeSlots(server) === 0) {
		return 'no-free-slot';
	}

	return hasRoomFor(server, needs) ? undefined : 'no-free-resources';
}
