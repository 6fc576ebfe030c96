import type {EventLog, MetricSink, TimerService} from '@camphortack/core';
import type {ServerKnowledge} from './server-pool.js';

/** Reports how far a new placer has come, so that operators can see how long a takeover takes and where its time goes. */
export type TakeoverLog = {
	/** Checks how many backend servers are claimed. */
	handleClaim(): void;
	handleStart(): void;
};

export type TakeoverLogOptions = {
	term: number;
	timers: TimerService;
	events: EventLog;
	metrics: MetricSink;
	getKnowledge: () => ServerKnowledge;
};

type Milestone = 'half-claimed' | 'all-claimed' | 'first-start';

/**
 * Creates the log of a term that begins now. Each milestone is reported once.
 * @param options - The term and the ports.
 */
export function createTakeoverLog(options: TakeoverLogOptions): TakeoverLog {
	const {term, timers, events, metrics, getKnowledge} = options;
	const startedAtMs = timers.getNowMs();
	const reached = new Set<Milestone>();

	/** Returns the time since the start of the term if the milestone was not reached before. */
	function reach(milestone: Milestone): number | undefined {
		if (reached.has(milestone)) {
			return undefined;
		}

		reached.add(milestone);
		const afterMs = Math.round(timers.getNowMs() - startedAtMs);
		events.write('placer-progressed', {
			term, milestone, afterMs, ...getKnowledge(),
		});
		return afterMs;
	}

	return {
		handleClaim() {
			if (reached.has('all-claimed')) {
				return;
			}

			const {servers, heldServers} = getKnowledge();
			const halfClaimedMs = heldServers * 2 >= servers ? reach('half-claimed') : undefined;
			if (halfClaimedMs !== undefined) {
				metrics.addTiming('placer-half-claimed-time', halfClaimedMs);
			}

			if (heldServers === servers) {
				reach('all-claimed');
			}
		},
		handleStart() {
			const firstStartMs = reach('first-start');
			if (firstStartMs !== undefined) {
				metrics.addTiming('placer-first-start-time', firstStartMs);
			}
		},
	};
}
