import type {TimerService} from '@camphortack/core';

/** Estimates which share of the requests to responsive backend servers go unanswered. */
export type LossEstimator = {
	/** Records that a backend server answered a request. */
	addResponse(serverId: string): void;
	/** Records that a request to a backend server went unanswered. */
	addUnanswered(serverId: string): void;
	removeServer(serverId: string): void;
	/** Gets the share of the recent requests that went unanswered; 0 while responses are slow, since those may only be late. */
	getLossShare(): number;
	/** Whether requests to responsive backend servers go unanswered at all. */
	hasLosses(): boolean;
	/** Whether requests to so many backend servers go unanswered that this is not the fault of single ones. */
	isWidespread(): boolean;
};

/** Time constant of the exponential decay of the counts. */
const decayMs = 1000;
/** Answered requests assumed before any was sent, so that a single loss is not taken for a pattern. */
const priorCount = 10;
/** A single loss among many requests is no pattern. */
const minLossShare = 0.02;
/** From this share of the responsive backend servers on, losses are not the fault of single ones. */
const minLossyServerShare = 0.25;
const minLossyServerCount = 3;

/** A backend server's requests without an answer since its last response. */
type OpenLosses = {count: number; lastAtMs: number};

/**
 * Creates the estimator of a placer. Unanswered requests count once the backend server answers a later one: one that answers nothing
 * has crashed or is cut off, which says nothing about the others.
 * @param timers - The clock.
 * @param areResponsesSlow - Whether responses take so long that an unanswered request is more likely late than lost.
 *
 * @example
 * ```ts
 * const lossEstimator = createLossEstimator(timers, () => false);
 * lossEstimator.addUnanswered('server-1');
 * lossEstimator.addResponse('server-1');
 * lossEstimator.getLossShare(); // 1 of 2 requests and of 10 assumed ones: 0.083
 * ```
 */
export function createLossEstimator(timers: TimerService, areResponsesSlow: () => boolean): LossEstimator {
	const openLosses = new Map<string, OpenLosses>();
	const responseTimesMs = new Map<string, number>();
	const lossTimesMs = new Map<string, number>();
	let sentCount = 0;
	let lostCount = 0;
	let updatedAtMs = timers.getNowMs();

	function decay(): void {
		const nowMs = timers.getNowMs();
		const factor = Math.exp((updatedAtMs - nowMs) / decayMs);
		sentCount *= factor;
		lostCount *= factor;
		updatedAtMs = nowMs;
	}

	/** Losses before a long silence belong to that silence. */
	function takeOpenLosses(serverId: string): number {
		const open = openLosses.get(serverId);
		openLosses.delete(serverId);
		return open === undefined || timers.getNowMs() - open.lastAtMs > decayMs ? 0 : open.count;
	}

	function countRecent(timesMs: ReadonlyMap<string, number>): number {
		const oldestMs = timers.getNowMs() - decayMs;
		return [...timesMs.values()].filter(atMs => atMs > oldestMs).length;
	}

	function getLossShare(): number {
		if (areResponsesSlow()) {
			return 0;
		}

		decay();
		return lostCount / (sentCount + priorCount);
	}

	return {
		addResponse(serverId) {
			decay();
			const lost = takeOpenLosses(serverId);
			responseTimesMs.set(serverId, timers.getNowMs());
			if (lost > 0) {
				lossTimesMs.set(serverId, timers.getNowMs());
			}

			lostCount += lost;
			sentCount += lost + 1;
		},
		addUnanswered(serverId) {
			openLosses.set(serverId, {count: (openLosses.get(serverId)?.count ?? 0) + 1, lastAtMs: timers.getNowMs()});
		},
		removeServer(serverId) {
			openLosses.delete(serverId);
			responseTimesMs.delete(serverId);
			lossTimesMs.delete(serverId);
		},
		getLossShare,
		hasLosses: () => getLossShare() >= minLossShare,
		isWidespread() {
			const lossyCount = countRecent(lossTimesMs);
			return lossyCount >= Math.max(minLossyServerCount, minLossyServerShare * countRecent(responseTimesMs));
		},
	};
}
