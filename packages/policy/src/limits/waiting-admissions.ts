import type {TimerService, TimerSubscription} from '@camphortack/core';
import type {HeldDimension} from './held-dimension.js';
import type {LimitDecision, LimitRequest} from './limiter.js';

/** Jobs that wait for a sufficient share, with a short timeout. */
export type WaitingAdmissions = {
	/** Adds a job that waits for a share of a dimension; false if too many jobs are waiting. */
	add(request: LimitRequest, lacking: HeldDimension, onDecision: (decision: LimitDecision) => void): boolean;
	/** Retries the jobs that wait for a dimension, in order of arrival, until one still lacks its share. */
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
	readonly timeout: TimerSubscription;
};

const maxWaiting = 1000;
/** Long enough for an answer from the share manager, and short compared to a task. */
const waitTimeoutMs = 50;

export function createWaitingAdmissions({timers, admitJob, findLacking}: WaitingAdmissionsOptions): WaitingAdmissions {
	const entriesByDimension = new Map<HeldDimension, Set<Entry>>();
	let count = 0;

	function add(request: LimitRequest, lacking: HeldDimension, onDecision: (decision: LimitDecision) => void): boolean {
		if (count >= maxWaiting) {
			return false;
		}

		const entry: Entry = {
			request,
			onDecision,
			timeout: timers.addTimer(waitTimeoutMs, () => {
				decide(entry);
			}),
		};
		addEntry(entry, lacking);
		return true;
	}

	function addEntry(entry: Entry, lacking: HeldDimension): void {
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
		entry.timeout.cancel();
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
				addEntry(entry, lacking);
			}
		}
	}

	return {add, retry};
}
