import type {TimerService, TimerSubscription} from '@camphortack/core';
import type {BackendServerRecord} from './backend-server-record.js';

/** Blocks new work on backend servers that refuse or fail it. */
export type ServerBlocks = {
	/** Blocks new work for an exponentially increasing time, after a not-run answer, for example. */
	block(server: BackendServerRecord): void;
	/** Records a successful task. */
	recordSuccess(server: BackendServerRecord): void;
	/** Records a failed task; blocks a backend server that failed tasks of several jobs without a success in between. */
	recordFailure(server: BackendServerRecord, jobId: string): void;
	/** Whether a backend server has only failed lately, so that it is probed with one task at a time. */
	isSuspect(server: BackendServerRecord): boolean;
	/** Forgets an incarnation that is no longer in use. */
	removeServer(server: BackendServerRecord): void;
};

export type ServerBlocksOptions = {
	timers: TimerService;
	/** Whether an incarnation of a backend server is in use; others are not blocked. */
	isInUse: (server: BackendServerRecord) => boolean;
	/** Called when a block has begun or ended. */
	refresh: (server: BackendServerRecord) => void;
	getManagedCount: () => number;
};

const minBlockMs = 50;
const maxBlockMs = 2000;
const maxBlockDoublings = 6;
const minFailedJobs = 3;
const maxSuspectShare = 0.3;

/**
 * Creates the blocks, initially none.
 * @param options - The clock and the backend servers in use.
 *
 * @example
 * ```ts
 * const blocks = createServerBlocks({timers, isInUse, refresh, getManagedCount});
 * blocks.block(server); // Calls refresh(server) now and when the block is over.
 * ```
 */
export function createServerBlocks({timers, isInUse, refresh, getManagedCount}: ServerBlocksOptions): ServerBlocks {
	const unblockTimers = new Map<string, TimerSubscription>();
	const suspects = new Set<BackendServerRecord>();

	function block(server: BackendServerRecord): void {
		if (!isInUse(server)) {
			return;
		}

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

	return {
		block,
		recordSuccess(server) {
			server.consecutiveRefusals = 0;
			server.failedJobIds.clear();
			suspects.delete(server);
		},
		recordFailure(server, jobId) {
			if (!isInUse(server)) {
				return;
			}

			if (server.failedJobIds.size < minFailedJobs) {
				server.failedJobIds.add(jobId);
			}

			const maxSuspects = Math.max(1, Math.floor(getManagedCount() * maxSuspectShare));
			if (server.failedJobIds.size >= minFailedJobs && (suspects.has(server) || suspects.size < maxSuspects)) {
				suspects.add(server);
				block(server);
			}
		},
		isSuspect: server => suspects.has(server),
		removeServer(server) {
			suspects.delete(server);
			unblockTimers.get(server.id)?.cancel();
			unblockTimers.delete(server.id);
		},
	};
}
