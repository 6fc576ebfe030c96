import type {
	EventLog, MetricSink, RandomSource, TimerService,
} from '@camphortack/core';
import type {JobOutcome, PlacementMessage} from '@camphortack/placement';
import {evacuationSettleMs, openJobsIntervalMs, placerWaitTimeoutMs} from '../cluster-timings.js';
import {isNewerView, isSameView, type PlacerView} from '../election/placer-view.js';
import type {ServerRecords} from '../records/server-records.js';
import type {ShardMap} from '../shards/shard-map.js';
import {createJobCancellations} from './job-cancellations.js';
import {createJobForwarding} from './job-forwarding.js';
import {createJobHandovers} from './job-handovers.js';
import {createJobSubmissions, type SubmittedPlacers} from './job-submissions.js';
import {createLeftJobs} from './left-jobs.js';
import {createOpenJobLists} from './open-job-lists.js';
import type {EntryJob, OpenJob} from './open-job.js';

/** A caller's subscription to the result of a job. */
export type JobSubscription = {
	/** Ends the subscription. When the last caller unsubscribes, the job is stopped, unless callers of other daemons wait for it. */
	unsubscribe(): void;
};

/** Submits the jobs whose callers wait at this daemon to the placer, and resubmits them to each new placer. */
export type JobSubmitter = {
	submit(job: EntryJob, onResult: (result: JobOutcome) => void): JobSubscription;
	/** Cancels a job, whether or not its callers wait here; calls back with whether a placer confirmed it in time. */
	cancel(jobId: string, onEnd: (isConfirmed: boolean) => void): void;
	handleResult(jobId: string, result: JobOutcome, placerId: string): void;
	handleCancelled(jobId: string): void;
	/** Resubmits jobs that an incarnation of the placer of a term does not know; it is empty if the placer does not state it. */
	handleUnknownJobs(jobIds: readonly string[], source: {view: PlacerView; incarnation: string}): void;
	/** Handles the word of the placer of a term that it has started none of some jobs. */
	handleNotBegun(view: PlacerView, jobIds: readonly string[]): void;
	/** Resubmits every open job whose shard has a new placer. */
	handlePlacerChange(): void;
	/** Submits the jobs that were held because the placer was overdue. */
	handlePlacerHeard(): void;
	/** Ends jobs that the placer of the undivided deployment may have started on any backend server. */
	handleDivision(): void;
	getOpenCount(): number;
	/** Gets the number of jobs of a queue that have no result yet. */
	getOpenCountForQueue(queueName: string): number;
	/** Tells the placers for how long callers still get answers, if that is limited, so that jobs which cannot start in time are refused. */
	startLeaving(remainingMs: number | undefined): void;
	/** Answers all callers: jobs that no placer was sent are refused, the others end as unknown. */
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
	/** Whether heartbeats of the placer of this daemon's shard are overdue, so that it may be gone. */
	isPlacerOverdue: () => boolean;
	/** The start of this process. */
	ownIncarnation: string;
	/** The backend servers on which placers may have started the tasks of the jobs. */
	records: ServerRecords;
	/** Gets the incarnation of a daemon that this one hears; empty if it was never heard. */
	getIncarnation: (daemonId: string) => string;
	/** Whether a placer on a daemon starts tasks only on backend servers that the entry daemons of their jobs have recorded. */
	usesRecords: (daemonId: string) => boolean;
	/** Gets the time since a daemon was last heard; infinite if it never was. */
	getSilenceMs: (daemonId: string) => number;
	/** Gets the digest of the own registry of backend servers. */
	getRegistryDigest: () => string;
	/** Gets for how long the availability zone of this daemon, if it has a placer of its own, is known to be evacuated; undefined if it is not. */
	findEvacuatedMs: () => number | undefined;
	/** Sends a message to the placer of a shard, relayed if necessary. Returns false if there is no route. */
	sendToPlacer: (shard: string, message: PlacementMessage) => boolean;
};

/** Less than the time for which a placer keeps results. */
const maxRepetitionAgeMs = 10_000;
const noPlacers: SubmittedPlacers = {placers: [], recorded: []};
const retryAfterMs = 1000;
const retryAfterJitterMs = 2000;

/**
 * Creates the submitter.
 * @param options - The dependencies and the connection to the placers.
 */
export function createJobSubmitter(options: JobSubmitterOptions): JobSubmitter {
	const {timers, random, events, metrics, shards, records, ownIncarnation, getPlacerView, isPlacerOverdue, findEvacuatedMs, sendToPlacer} = options;
	const openJobs = new Map<string, OpenJob>();
	const leftJobs = createLeftJobs(timers);
	const cancellations = createJobCancellations(timers);
	const forwarding = createJobForwarding({...options, sendJob});
	const handovers = createJobHandovers(options);
	/** The number of the last submission or list of open jobs. */
	let sequence = 0;
	/** When the callers get no more answers; undefined unless this daemon is being stopped and the time is limited. */
	let endsAtMs: number | undefined;
	const reconciliation = timers.addInterval(openJobsIntervalMs, sendOpenJobs);

	/**
	 * Sends the placers the ids of the open jobs, so that lost messages are detected; resubmits jobs whose placer has changed,
	 * and ends those forwarded to a shard that is cut off. The placers also learn of the jobs that earlier ones may have started and that are
	 * not handed over to them.
	 */
	function sendOpenJobs(): void {
		records.removeUnused(isRecordInUse);
		const lists = createOpenJobLists(shards.getOwnShard());
		for (const open of openJobs.values()) {
			if (isCutOff(open)) {
				endJob(open.job.jobId, {outcome: 'unknown'});
			} else if (isSubmitted(open)) {
				lists.add(open.shard, 'jobIds', [open.job.jobId]);
			} else {
				sendJob(open);
				lists.add(open.shard, 'otherJobIds', [open.job.jobId]);
				if (!isSubmitted(open) && open.submissions.hasAny()) {
					lists.add(open.shard, 'leftJobIds', [open.job.jobId]);
				}
			}
		}

		for (const [shard, jobIds] of leftJobs.getByShard()) {
			lists.add(shard, 'leftJobIds', jobIds);
		}

		sequence++;
		for (const [shard, list] of lists.getLists()) {
			sendToPlacer(shard, {
				kind: 'placement.open-jobs', ...list, incarnation: ownIncarnation, sequence, term: getPlacerView(shard).term, remainingMs: findRemainingMs(),
			});
		}
	}

	function findRemainingMs(): number | undefined {
		return endsAtMs === undefined ? undefined : Math.max(0, Math.round(endsAtMs - timers.getNowMs()));
	}

	/** A record of the placer in use is kept even if no job needs it: the placer does not send again what was recorded. */
	function isRecordInUse(shard: string, view: PlacerView): boolean {
		return !isNewerView(getPlacerView(shard), view) || [...openJobs.values()].some(open => open.shard === shard && open.submissions.hasView(view));
	}

	/** Whether a job was submitted to the current placer of its shard. */
	function isSubmitted({submittedTo, shard}: OpenJob): boolean {
		return submittedTo !== undefined && isSameView(submittedTo, getPlacerView(shard));
	}

	/** Whether a job was last submitted to a placer. The word of another one crossed a forwarding, and says nothing about the job there. */
	function isOfCurrentPlacer({submittedTo}: OpenJob, placerId: string): boolean {
		return submittedTo?.placerId === placerId;
	}

	/** Whether a forwarded job can no longer be asked about: the shard that may have started it is not heard. */
	function isCutOff({wasForwarded, shard}: OpenJob): boolean {
		return wasForwarded && !shards.isHeard(shard);
	}

	/**
	 * Submits a job, unless the placer of its shard is overdue. A job that was never submitted certainly has not started, so the
	 * next placer can start it without looking for its runs.
	 */
	function sendJob(open: OpenJob): void {
		if (!open.wasForwarded && isPlacerOverdue()) {
			return;
		}

		const view = getPlacerView(open.shard);
		const generation = open.generation + (open.submittedTo === undefined ? 0 : 1);
		if (sendSubmission(open, view, generation, open.submissions.getPlacers())) {
			open.submissions.add(view, {incarnation: options.getIncarnation(view.placerId), usesRecords: options.usesRecords(view.placerId)});
			open.generation = generation;
			open.submittedTo = view;
			open.waitTimer?.cancel();
		}
	}

	function sendSubmission(open: OpenJob, view: PlacerView, generation: number, earlier: SubmittedPlacers): boolean {
		const mayHaveStarted = earlier.placers.length > 0;
		sequence++;
		return view.placerId !== '' && sendToPlacer(open.shard, {
			kind: 'placement.submit',
			request: {...open.job, ageMs: timers.getNowMs() - open.arrivedAtMs},
			submissionId: open.submissionId,
			incarnation: ownIncarnation,
			sequence,
			term: view.term,
			generation,
			mayHaveStarted,
			handover: mayHaveStarted ? handovers.getHandover(open.shard, earlier) : undefined,
		});
	}

	/** Tells the current placer, which looks for runs of earlier ones, if it turns out that none of these has started the job. */
	function handleNotBegun(open: OpenJob, view: PlacerView): void {
		if (open.submissions.removeNotBegun(view) && isSubmitted(open) && open.submissions.isOnly(open.submittedTo!)) {
			sendSubmission(open, open.submittedTo!, open.generation, noPlacers);
			open.submissions.repeatLast();
		}
	}

	/**
	 * Submits a job again that its placer does not know. If the placer is still the one that the submission was sent to, it has not
	 * begun the job, and knows the submission and its result if it arrives after all: the same submission is repeated.
	 */
	function resubmit(open: OpenJob, {view, incarnation}: {view: PlacerView; incarnation: string}): void {
		const isRecent = timers.getNowMs() - open.arrivedAtMs < maxRepetitionAgeMs;
		if (!isRecent || !isSubmitted(open) || !open.submissions.isLast(view, incarnation)) {
			sendJob(open);
		} else if (sendSubmission(open, view, open.generation, open.submissions.getEarlierPlacers())) {
			open.submissions.repeatLast();
		}
	}

	function sendUnsubmittedJobs(): void {
		for (const open of openJobs.values()) {
			if (!isSubmitted(open)) {
				sendJob(open);
			}
		}
	}

	function createOpenJob(job: EntryJob): OpenJob {
		const open: OpenJob = {
			job,
			submissionId: random.getIdentifier(),
			shard: shards.getOwnShard(),
			wasForwarded: false,
			divertedTo: new Set(),
			arrivedAtMs: timers.getNowMs(),
			callers: new Set(),
			submittedTo: undefined,
			submissions: createJobSubmissions(),
			generation: 0,
			waitTimer: undefined,
		};
		open.waitTimer = timers.addTimer(placerWaitTimeoutMs, () => {
			if (open.submittedTo === undefined) {
				endJob(job.jobId, {outcome: 'refused', reason: 'no-placer', retryAfterMs});
			}
		});
		openJobs.set(job.jobId, open);
		return open;
	}

	function startJob(open: OpenJob): void {
		if ((findEvacuatedMs() ?? 0) < evacuationSettleMs) {
			sendJob(open);
			if (open.submittedTo === undefined) {
				forwarding.forwardIfPossible(open, 'placer-overdue');
			}
		} else if (!forwarding.divert(open)) {
			endJob(open.job.jobId, {outcome: 'refused', reason: 'evacuated', retryAfterMs: Math.round(retryAfterMs + (random.getFraction() * retryAfterJitterMs))});
		}
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
		if (reported.outcome === 'unknown') {
			leftJobs.add(jobId, open.shard);
		}

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

	/**
	 * A resubmitted job can be refused although some of its tasks ran: an earlier placer started it, or the current one
	 * stopped it when it no longer heard this daemon. Such a refusal must not be reported as proof that the job has not run.
	 */
	function getReportableResult(open: OpenJob, result: JobOutcome): JobOutcome {
		return result.outcome === 'refused' && open.submissions.hasEarlier() ? {outcome: 'unknown'} : result;
	}

	function removeCaller(open: OpenJob, onResult: (result: JobOutcome) => void): void {
		const {jobId, queueName} = open.job;
		open.callers.delete(onResult);
		if (open.callers.size > 0 || openJobs.get(jobId) !== open) {
			return;
		}

		openJobs.delete(jobId);
		open.waitTimer?.cancel();
		if (open.submissions.hasAny()) {
			leftJobs.add(jobId, open.shard);
		}

		metrics.increment('job-abandoned');
		events.write('job-abandoned', {job: jobId, queue: queueName, ageMs: Math.round(timers.getNowMs() - open.arrivedAtMs)});
		sendToPlacer(open.shard, {kind: 'placement.cancel', jobId, submissionId: open.submissionId});
	}

	return {
		submit(job, onResult) {
			const known = openJobs.get(job.jobId);
			const open = known ?? createOpenJob(job);
			open.callers.add(onResult);
			if (known === undefined) {
				startJob(open);
			}

			return {
				unsubscribe() {
					removeCaller(open, onResult);
				},
			};
		},
		cancel(jobId, onEnd) {
			const shard = openJobs.get(jobId)?.shard ?? shards.getOwnShard();
			cancellations.cancelJob(jobId, () => {
				sendToPlacer(shard, {kind: 'placement.cancel', jobId, isForAll: true});
			}, onEnd);
		},
		handleResult(jobId, result, placerId) {
			const open = openJobs.get(jobId);
			if (open !== undefined && result.outcome === 'refused' && !isOfCurrentPlacer(open, placerId)) {
				return;
			}

			if (open === undefined || !forwarding.forwardRefused(open, result)) {
				endJob(jobId, result);
			}
		},
		handleCancelled(jobId) {
			cancellations.endCancellation(jobId, true);
		},
		handleUnknownJobs(jobIds, source) {
			for (const jobId of jobIds) {
				const open = openJobs.get(jobId);
				if (open !== undefined && isOfCurrentPlacer(open, source.view.placerId)) {
					resubmit(open, source);
				}
			}
		},
		handleNotBegun(view, jobIds) {
			for (const jobId of jobIds) {
				const open = openJobs.get(jobId);
				if (open !== undefined) {
					handleNotBegun(open, view);
				}
			}
		},
		handlePlacerChange: sendOpenJobs,
		handlePlacerHeard: sendUnsubmittedJobs,
		handleDivision() {
			for (const [jobId, open] of openJobs) {
				open.shard = shards.getOwnShard();
				if (open.submissions.hasAny()) {
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
		startLeaving(remainingMs) {
			endsAtMs = remainingMs === undefined ? undefined : timers.getNowMs() + remainingMs;
			sendOpenJobs();
		},
		stop() {
			reconciliation.cancel();
			cancellations.endAll();
			for (const {job: {jobId}, submissions} of openJobs.values()) {
				endJob(jobId, submissions.hasAny() ? {outcome: 'unknown'} : {outcome: 'refused', reason: 'stopping', retryAfterMs});
			}
		},
	};
}
