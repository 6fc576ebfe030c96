import type {
	EventLog, MetricSink, RandomSource, TimerService,
} from '@camphortack/core';
import type {JobOutcome} from '@camphortack/placement';
import type {ShardMap} from '../shards/shard-map.js';
import type {OpenJob} from './open-job.js';

/** Forwards jobs that the placer of their own shard cannot place to the placers of other shards. */
export type JobForwarding = {
	/** Forwards a job that was refused for a reason that does not hold elsewhere. Returns false if no shard may take it. */
	forwardRefused(open: OpenJob, result: JobOutcome): boolean;
	/**
	 * Forwards a job to an idle shard, once, and only if it cannot have started: its own placer has refused it for overload, or
	 * is overdue and was never sent the job. Returns false if there is no such shard, or no route to it.
	 */
	forwardIfPossible(open: OpenJob, reason: ForwardReason): boolean;
	/**
	 * Forwards a job that cannot be placed because its availability zone is evacuated, to one shard after the other until one
	 * takes it. It cannot have started: each placer before has refused it, or was never sent it.
	 */
	divert(open: OpenJob): boolean;
};

export type JobForwardingOptions = {
	timers: TimerService;
	random: RandomSource;
	events: EventLog;
	metrics: MetricSink;
	shards: ShardMap;
	/** Gets for how long the availability zone of this daemon, if it has a placer of its own, is known to be evacuated; undefined if it is not. */
	findEvacuatedMs: () => number | undefined;
	/** Submits a job to the placer of its shard, if there is a route. */
	sendJob: (open: OpenJob) => void;
};

/** Why a job is forwarded to another shard. */
export type ForwardReason = 'overload' | 'placer-overdue' | 'evacuated';

/**
 * Creates the forwarding.
 * @param options - The shards and the function that submits a job.
 *
 * @example
 * ```ts
 * const forwarding = createJobForwarding(options);
 * forwarding.forwardRefused(open, {outcome: 'refused', reason: 'overload', retryAfterMs: 500}); // true if an idle shard takes it
 * ```
 */
export function createJobForwarding({timers, random, events, metrics, shards, findEvacuatedMs, sendJob}: JobForwardingOptions): JobForwarding {
	function forwardIfPossible(open: OpenJob, reason: ForwardReason): boolean {
		if (findEvacuatedMs() !== undefined) {
			return divert(open);
		}

		const shard = open.wasForwarded || open.submissions.hasEarlier() ? undefined : shards.findIdleShard();
		return shard !== undefined && forward(open, shard, reason);
	}

	function divert(open: OpenJob): boolean {
		const shard = open.submissions.hasEarlier() ? undefined : shards.findOpenShard(open.job.jobId, open.divertedTo);
		if (shard === undefined) {
			return false;
		}

		if (open.divertedTo.size === 0) {
			metrics.increment('job-diverted');
		}

		open.divertedTo.add(shard);
		return forward(open, shard, 'evacuated') || divert(open);
	}

	function forward(open: OpenJob, shard: string, reason: ForwardReason): boolean {
		const {shard: previousShard, wasForwarded: wasForwardedBefore} = open;
		open.shard = shard;
		open.wasForwarded = true;
		open.submittedTo = undefined;
		open.submissions.clear();
		open.submissionId = random.getIdentifier();
		sendJob(open);
		if (open.submittedTo === undefined) {
			open.shard = previousShard;
			open.wasForwarded = wasForwardedBefore;
			return false;
		}

		events.write('job-forwarded', {
			job: open.job.jobId, queue: open.job.queueName, shard, reason, ageMs: Math.round(timers.getNowMs() - open.arrivedAtMs),
		});
		return true;
	}

	return {
		forwardRefused(open, result) {
			const reason = result.outcome === 'refused' ? result.reason : undefined;
			if (reason === 'evacuated' || (reason === 'overload' && open.divertedTo.size > 0)) {
				return divert(open);
			}

			return reason === 'overload' && forwardIfPossible(open, 'overload');
		},
		forwardIfPossible,
		divert,
	};
}
