import type {
	EventLog, MetricSink, RandomSource, TimerService, TimerSubscription,
} from '@camphortack/core';
import type {JobOutcome, JobRequest, PlacementMessage} from '@camphortack/placement';
import {openJobsIntervalMs, placerWaitTimeoutMs} from '../cluster-timings.js';
import type {PlacerView} from '../election/placer-view.js';
import type {ShardMap} from '../shards/shard-map.js';

/** A job as the callers' side hands it in. */
export type EntryJob = Omit<JobRequest, 'ageMs'>;

/** A caller that waits for the result of a job. */
export type JobSubscription = {
	/** Says that the caller no longer waits. The last caller's leaving stops the job. */
	unsubscribe(): void;
};

/** The jobs whose callers wait at this daemon. It hands them to the placer, and again to each new placer. */
export type JobSubmitter = {
	submit(job: EntryJob, onResult: (result: JobOutcome) => void): JobSubscription;
	/** Stops a job wherever it is; calls back with whether a placer confirmed it in time. */
	cancel(jobId: string, onEnd: (isConfirmed: boolean) => void): void;
	handleResult(jobId: string, result: JobOutcome): void;
	handleCancelled(jobId: string): void;
	/** Hands jobs in again that the placer does not know. */
	handleUnknownJobs(jobIds: readonly string[]): void;
	/** Hands every open job of a shard to the placer now followed there. */
	handlePlacerChange(): void;
	/** Ends jobs that a placer of the undivided deployment may have begun anywhere. */
	handleDivision(): void;
	getOpenCount(): number;
	/** Gets the jobs of a queue for which no result has come. */
	getOpenCountForQueue(queueName: string): number;
	stop(): void;
};

export type JobSubmitterOptions = {
	timers: TimerService;
	random: RandomSource;
	events: EventLog;
	metrics: MetricSink;
	shards: ShardMap;
	/** Gets the placer of a shard. */
	getPlacerView: (shard: string) => PlacerView;
	/** Sends a message to the placer of a shard, through another daemon if need be. False if there is no way. */
	sendToPlacer: (shard: string, message: PlacementMessage) => boolean;
};

type OpenJob = {
	readonly job: EntryJob;
	submissionId: string;
	/** The shard whose placer has the job, or is to have it. */
	shard: string;
	/** Whether the placer of the own shard refused it and another one was asked. */
	wasForwarded: boolean;
	readonly arrivedAtMs: number;
	readonly callers: Set<(result: JobOutcome) => void>;
	/** The placers that were given the job. */
	submittedTo: PlacerView | undefined;
	generation: number;
	waitTimer: TimerSubscription | undefined;
};

type Cancellation = {
	onEnd: (isConfirmed: boolean) => void;
	subscriptions: TimerSubscription[];
};

const cancelResendMs = 250;
const cancelTimeoutMs = 2500;
const retryAfterMs = 1000;

/**
 * Creates the desk.
 * @param options - The ports and the way to the placer.
 */
export function createJobSubmitter(options: JobSubmitterOptions): JobSubmitter {
	const {timers, random, events, metrics, shards, getPlacerView, sendToPlacer} = options;
	const openJobs = new Map<string, OpenJob>();
	const cancellations = new Map<string, Cancellation>();
	const reconciliation = timers.addInterval(openJobsIntervalMs, sendOpenJobs);

	/** Tells the placers which jobs are waited for, so that lost messages are noticed. */
	function sendOpenJobs(): void {
		const jobIds = new Map<string, string[]>([[shards.getOwnShard(), []]]);
		for (const open of openJobs.values()) {
			if (isSameView(open.submittedTo, getPlacerView(open.shard))) {
				jobIds.set(open.shard, [...(jobIds.get(open.shard) ?? []), open.job.jobId]);
			} else {
				sendJob(open);
			}
		}

		for (const [shard, ids] of jobIds) {
			sendToPlacer(shard, {kind: 'placement.open-jobs', jobIds: ids});
		}
	}

	function isSameView(left: PlacerView | undefined, right: PlacerView): boolean {
		return left?.term === right.term && left.placerId === right.placerId;
	}

	function sendJob(open: OpenJob): void {
		const view = getPlacerView(open.shard);
		const generation = open.generation + (open.submittedTo === undefined ? 0 : 1);
		const isSent = view.placerId !== '' && sendToPlacer(open.shard, {
			kind: 'placement.submit',
			request: {...open.job, ageMs: timers.getNowMs() - open.arrivedAtMs},
			submissionId: open.submissionId,
			generation,
			mayHaveStarted: generation > 0,
		});
		if (isSent) {
			open.generation = generation;
			open.submittedTo = view;
			open.waitTimer?.cancel();
		}
	}

	function addJob(job: EntryJob): OpenJob {
		const open: OpenJob = {
			job,
			submissionId: random.getIdentifier(),
			shard: shards.getOwnShard(),
			wasForwarded: false,
			arrivedAtMs: timers.getNowMs(),
			callers: new Set(),
			submittedTo: undefined,
			generation: 0,
			waitTimer: undefined,
		};
		open.waitTimer = timers.addTimer(placerWaitTimeoutMs, () => {
			if (open.submittedTo === undefined) {
				endJob(job.jobId, {outcome: 'refused', reason: 'no-placer', retryAfterMs});
			}
		});
		openJobs.set(job.jobId, open);
		sendJob(open);
		return open;
	}

	function endJob(jobId: string, result: JobOutcome): void {
		const open = openJobs.get(jobId);
		if (open === undefined) {
			metrics.increment('answer-discarded-unknown');
			return;
		}

		openJobs.delete(jobId);
		open.waitTimer?.cancel();
		const reported = getReportableResult(open, result);
		const ageMs = Math.round(timers.getNowMs() - open.arrivedAtMs);
		metrics.addTiming('job-response-time', ageMs);
		metrics.increment(`job-outcome-${reported.outcome}`);
		events.write('job-answered', {
			job: jobId,
			queue: open.job.queueName,
			outcome: reported.outcome,
			reason: 'reason' in reported ? reported.reason : undefined,
			ageMs,
			placer: open.submittedTo?.placerId,
			term: open.submittedTo?.term,
			generation: open.generation,
		});
		for (const onResult of open.callers) {
			onResult(reported);
		}
	}

	/** A job that the own placer has no room for goes to an idle one, once, if it surely has not begun. */
	function findForwardingShard(open: OpenJob, result: JobOutcome): string | undefined {
		const isOverload = result.outcome === 'refused' && result.reason === 'overload';
		return isOverload && !open.wasForwarded && open.generation === 0 ? shards.findIdleShard() : undefined;
	}

	function forward(open: OpenJob, shard: string): void {
		events.write('job-forwarded', {
			job: open.job.jobId, queue: open.job.queueName, shard, ageMs: Math.round(timers.getNowMs() - open.arrivedAtMs),
		});
		open.shard = shard;
		open.wasForwarded = true;
		open.submittedTo = undefined;
		open.submissionId = random.getIdentifier();
		sendJob(open);
	}

	/**
	 * A job that was handed in again can be refused though tasks of it ran: an earlier placer began it, or this one had
	 * given it up while this daemon was not heard. Then nobody may say that it has not run.
	 */
	function getReportableResult(open: OpenJob, result: JobOutcome): JobOutcome {
		return result.outcome === 'refused' && open.generation > 0 ? {outcome: 'unknown'} : result;
	}

	function removeCaller(open: OpenJob, onResult: (result: JobOutcome) => void): void {
		const {jobId, queueName} = open.job;
		open.callers.delete(onResult);
		if (open.callers.size > 0 || openJobs.get(jobId) !== open) {
			return;
		}

		openJobs.delete(jobId);
		open.waitTimer?.cancel();
		metrics.increment('job-abandoned');
		events.write('job-abandoned', {job: jobId, queue: queueName, ageMs: Math.round(timers.getNowMs() - open.arrivedAtMs)});
		sendToPlacer(open.shard, {kind: 'placement.cancel', jobId});
	}

	function endCancellation(jobId: string, isConfirmed: boolean): void {
		const cancellation = cancellations.get(jobId);
		if (cancellation === undefined) {
			return;
		}

		cancellations.delete(jobId);
		for (const subscription of cancellation.subscriptions) {
			subscription.cancel();
		}

		cancellation.onEnd(isConfirmed);
	}

	return {
		submit(job, onResult) {
			const open = openJobs.get(job.jobId) ?? addJob(job);
			open.callers.add(onResult);
			return {
				unsubscribe() {
					removeCaller(open, onResult);
				},
			};
		},
		cancel(jobId, onEnd) {
			const shard = openJobs.get(jobId)?.shard ?? shards.getOwnShard();
			endCancellation(jobId, false);
			cancellations.set(jobId, {
				onEnd,
				subscriptions: [
					timers.addInterval(cancelResendMs, () => {
						sendToPlacer(shard, {kind: 'placement.cancel', jobId});
					}),
					timers.addTimer(cancelTimeoutMs, () => {
						endCancellation(jobId, false);
					}),
				],
			});
			sendToPlacer(shard, {kind: 'placement.cancel', jobId});
		},
		handleResult(jobId, result) {
			const open = openJobs.get(jobId);
			const idleShard = open === undefined ? undefined : findForwardingShard(open, result);
			if (open === undefined || idleShard === undefined) {
				endJob(jobId, result);
			} else {
				forward(open, idleShard);
			}
		},
		handleCancelled(jobId) {
			endCancellation(jobId, true);
		},
		handleUnknownJobs(jobIds) {
			for (const jobId of jobIds) {
				const open = openJobs.get(jobId);
				if (open !== undefined) {
					sendJob(open);
				}
			}
		},
		handlePlacerChange() {
			for (const open of openJobs.values()) {
				if (!isSameView(open.submittedTo, getPlacerView(open.shard))) {
					sendJob(open);
				}
			}
		},
		handleDivision() {
			for (const [jobId, open] of openJobs) {
				open.shard = shards.getOwnShard();
				if (open.submittedTo !== undefined) {
					endJob(jobId, {outcome: 'unknown'});
				}
			}
		},
		getOpenCount: () => openJobs.size,
		getOpenCountForQueue(queueName) {
			let count = 0;
			for (const {job} of openJobs.values()) {
				count += job.queueName === queueName ? 1 : 0;
			}

			return count;
		},
		stop() {
			reconciliation.cancel();
			for (const jobId of cancellations.keys()) {
				endCancellation(jobId, false);
			}
		},
	};
}
