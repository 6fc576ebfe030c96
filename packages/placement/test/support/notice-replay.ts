import {replayLoad, type ReplayOptions, type ReplayResult} from './load-replay.js';

/** A replay in which backend servers are taken away together. */
export type NoticeReplayOptions = ReplayOptions & {
	/** The time from the first heartbeat with the state `draining` until the backend servers are gone. */
	noticeMs: number;
	/** Whether the heartbeats state the notice. Without it, they only state that the backend servers are draining. */
	isNoticeStated: boolean;
};

export type NoticeReplayResult = ReplayResult & {
	/** Runs that ended because their backend server was taken away. */
	lostRuns: number;
	movedRuns: number;
};

/** When the backend servers begin to drain, from the start of the load. */
export const drainedAtMs = 1500;
const defaultDurationMs = 5000;
const lostServerShare = 0.15;

/**
 * Replays a load during which 0.15 of the backend servers drain and then end without a further message.
 * @param options - The load and the notice.
 */
export async function replayNotice({noticeMs, isNoticeStated, steps = [], ...options}: NoticeReplayOptions): Promise<NoticeReplayResult> {
	const result = await replayLoad({
		durationMs: defaultDurationMs,
		...options,
		steps: [
			...steps,
			{
				atMs: drainedAtMs,
				apply({fleet, placer}) {
					for (const server of getLeavingServers(fleet.servers)) {
						server.description = {...server.description, state: 'draining', noticeMs: isNoticeStated ? noticeMs : undefined};
					}

					placer.setServers(fleet.getDescriptions(), 0);
				},
			},
			{
				atMs: drainedAtMs + noticeMs,
				apply({fleet}) {
					for (const {description} of getLeavingServers(fleet.servers)) {
						fleet.crash(description.id);
					}
				},
			},
		],
	});
	const {fleet, events} = result.test;
	return {
		...result,
		lostRuns: fleet.records.filter(({endedAtMs, outcome}) => endedAtMs !== undefined && outcome === undefined).length,
		movedRuns: events.events.filter(({name}) => name === 'task-moved').length,
	};
}

/**
 * Gets the backend servers that are taken away, spread evenly over the fleet.
 * @param servers - The backend servers.
 */
export function getLeavingServers<T>(servers: readonly T[]): T[] {
	return servers.filter((_, position) => Math.floor((position + 1) * lostServerShare) > Math.floor(position * lostServerShare));
}
