import type {TimerService} from '@camphortack/core';
import type {BackendServerRecord} from '../servers/backend-server-record.js';

/** A backend server that was lost while it ran tasks. */
export type ServerLoss = {
	readonly serverId: string;
	readonly incarnation: string;
	readonly atMs: number;
	/** Whether the backend server had announced that it leaves. */
	readonly wasLeaving: boolean;
	/** The jobs whose tasks it ran. */
	readonly jobIds: Set<string>;
};

/** The backend servers that were lost lately, as evidence for or against the tasks that they ran. */
export type ServerLosses = {
	/** Records that an attempt of a job was lost with its backend server. */
	addLoss(server: BackendServerRecord, jobId: string): ServerLoss;
	/** Whether a task of a job may have caused a loss, as far as this is known now. */
	mayHaveCaused(jobId: string, loss: ServerLoss): boolean;
};

export type ServerLossesOptions = {
	timers: TimerService;
	findServer: (backendServerId: string) => BackendServerRecord | undefined;
};

/** Backend servers that are lost within this time of each other have a common cause. */
const commonCauseMs = 50;
/** What a backend server had sent before it crashed may arrive this much later. */
const maxDelayMs = 100;
const retentionMs = 60_000;
const maxLosses = 1000;

/**
 * Creates an empty list. A lost connection alone does not tell what caused it. It does not count against a task if its backend server is
 * heard again as the same incarnation, was leaving, or was lost together with one that ran no task of the same job.
 * @param options - The clock and the known backend servers.
 *
 * @example
 * ```ts
 * const losses = createServerLosses({timers, findServer: table.findServer});
 * const loss = losses.addLoss(server, 'job');
 * losses.mayHaveCaused('job', loss); // true
 * ```
 */
export function createServerLosses({timers, findServer}: ServerLossesOptions): ServerLosses {
	/** The losses, oldest first. */
	let losses: ServerLoss[] = [];

	function isHeardAgain({serverId, incarnation, atMs}: ServerLoss): boolean {
		const server = findServer(serverId);
		return server?.announcement.incarnation === incarnation && server.lastSeenMs > atMs + maxDelayMs;
	}

	function hasCommonCause(jobId: string, loss: ServerLoss): boolean {
		return losses.some(other => other.serverId !== loss.serverId
			&& Math.abs(other.atMs - loss.atMs) <= commonCauseMs
			&& !other.jobIds.has(jobId));
	}

	return {
		addLoss(server, jobId) {
			const atMs = timers.getNowMs();
			const {id: serverId, announcement: {incarnation}, isLeaving} = server;
			const known = losses.find(other => other.serverId === serverId && other.incarnation === incarnation && atMs - other.atMs <= commonCauseMs);
			const loss = known ?? {
				serverId, incarnation, atMs, wasLeaving: isLeaving, jobIds: new Set<string>(),
			};
			loss.jobIds.add(jobId);
			if (known === undefined) {
				losses = [...losses.filter(other => atMs - other.atMs < retentionMs), loss].slice(-maxLosses);
			}

			return loss;
		},
		mayHaveCaused: (jobId, loss) => !loss.wasLeaving && !isHeardAgain(loss) && !hasCommonCause(jobId, loss),
	};
}
