import type {TimerService, TimerSubscription} from '@camphortack/core';
import type {HeldDimension} from './held-dimension.js';
import type {LimitDecision, LimitRequest} from './limiter.js';

/** Jobs that wait a moment for the share that they lack. */
export type WaitingAdmissions = {
	/** Waits for the dimension that is lacking; false if too many wait already. */
	add(request: LimitRequest, lacking: HeldDimension, onDecision: (decision: LimitDecision) => void): boolean;
	/** Tries again those that wait for a dimension. */
	retry(held: HeldDimension): void;
};

export type WaitingAdmissionsOptions = {
	timers: TimerService;
	admitJob: (request: LimitRequest) => LimitDecision;
	findLacking: (request: LimitRequest) => HeldDimension | undefined;
};

type Entry = {
	readonly request: LimitRequest;
	readonly onDecision: (decision: LimitDecision) => void;
	readonly patience: TimerSubscription;
};

const mostWaiting = 1000;
/** Long enough for an answer from the share manager, short beside a task. */
const patienceMs = 50;

/** Creates an empty list. */
export function createWaitingAdmissions({timers, admitJob, findLacking}: WaitingAdmissionsOptions): WaitingAdmissions {
	const entriesByDimension = new Map<HeldDimension, Set<Entry>>();
	let count = 0;

	function add(request: LimitRequest, lacking: HeldDimension, onDecision: (decision: LimitDecision) => void): boolean {
		if (count >= mostWaiting) {
			return false;
		}

		const entry: Entry = {
			request,
			onDecision,
			patience: timers.addTimer(patienceMs, () => {
				decide(entry);
			}),
		};
		place(entry, lacking);
		return true;
	}

	function place(entry: Entry, lacking: HeldDimension): void {
		const entries = entriesByDimension.get(lacking) ?? new Set();
		entries.add(entry);
		entriesByDimension.set(lacking, entries);
		count++;
	}

	function remove(entry: Entry): void {
		for (const [held, entries] of entriesByDimension) {
			if (entries.delete(entry)) {
				count--;
			}

			if (entries.size === 0) {
				entriesByDimension.delete(held);
			}
		}
	}

	function decide(entry: Entry): void {
		entry.patience.cancel();
		remove(entry);
		entry.onDecision(admitJob(entry.request));
	}

	function retry(held: HeldDimension): void {
		for (const entry of entriesByDimension.get(held) ?? []) {
			const lacking = findLacking(entry.request);
			if (lacking === held) {
				return;
			}

			if (lacking === undefined) {
				decide(entry);
			} else {
				remove(entry);
				place(entry, lacking);
			}
		}
	}

	return {add, retry};
}
