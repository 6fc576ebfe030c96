import type {TimerService} from '@camphortack/core';

/** The backend servers that have lately ceased to respond. */
export type SilentServers<Server> = {
	/** Adds a backend server with the jobs that it was running. */
	add(server: Server, jobIds: ReadonlySet<string>): void;
	/** Whether a backend server without a task of a job fell silent at about the same time, as in a partition or a loss of power. */
	isSilenceCommon(server: Server, jobId: string): boolean;
};

type Silence = {
	jobIds: ReadonlySet<string>;
	atMs: number;
};

/** Backend servers that fall silent within this time of each other may have been cut off together. */
const commonSilenceMs = 1000;
/** Longer than the leases of the runs of a silent backend server, after which they are lost. */
const retentionMs = 5000;

/**
 * Creates an empty list.
 * @param timers - The clock.
 *
 * @example
 * ```ts
 * const silentServers = createSilentServers<string>(timers);
 * silentServers.add('server-1', new Set(['job']));
 * silentServers.isSilenceCommon('server-1', 'job'); // false
 * ```
 */
export function createSilentServers<Server>(timers: TimerService): SilentServers<Server> {
	/** The silences, oldest first. */
	const silences = new Map<Server, Silence>();

	function removeExpired(): void {
		const oldestMs = timers.getNowMs() - retentionMs;
		for (const [server, {atMs}] of silences) {
			if (atMs > oldestMs) {
				return;
			}

			silences.delete(server);
		}
	}

	return {
		add(server, jobIds) {
			removeExpired();
			silences.delete(server);
			silences.set(server, {jobIds, atMs: timers.getNowMs()});
		},
		isSilenceCommon(server, jobId) {
			const atMs = silences.get(server)?.atMs ?? timers.getNowMs();
			for (const [other, silence] of silences) {
				if (other !== server && Math.abs(silence.atMs - atMs) <= commonSilenceMs && !silence.jobIds.has(jobId)) {
					return true;
				}
			}

			return false;
		},
	};
}
