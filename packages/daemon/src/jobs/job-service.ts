import type {
	Job, JobOutcome, JobSubmission, MetricSink, RefusedOutcome, TimerService,
} from '@camphortack/core';
import type {Dispatcher} from '@camphortack/dispatch';
import {createRefusal} from '../http/create-refusal.js';
import {createJobTable} from './job-table.js';
import {getContentHash} from './get-content-hash.js';

/** Between the callers' interface and the dispatcher: ids, resubmissions, stored outcomes. */
export type JobService = {
	/** Takes a submission. `onAnswer` is called exactly once. */
	submitJob(submission: JobSubmission, onAnswer: (outcome: JobOutcome) => void): void;
	/** Waits for the outcome of a job, at most as long as asked. */
	waitForOutcome(id: string, waitMs: number): Promise<JobOutcome | 'running'>;
	cancelJob(id: string): boolean;
	createTickets(count: number): string[];
	/** Counts a refusal made before the submission reached this part. */
	countRefusal(refusal: RefusedOutcome): RefusedOutcome;
	/** Refuses new submissions. Jobs that run go on. */
	startDraining(): void;
	getOpenCount(): number;
};

export type JobServiceOptions = {
	ownId: string;
	createIdentifier: () => string;
	timers: TimerService;
	metrics: MetricSink;
	dispatcher: Dispatcher;
	hasConfiguration: () => boolean;
};

const outcomeRetentionMs = 600_000;
const mostEndedJobs = 50_000;
const expiryIntervalMs = 5000;

/**
 * Creates the job service of an entry daemon.
 * @param options - The parts that it uses.
 */
export function createJobService(options: JobServiceOptions): JobService {
	const {timers, metrics, dispatcher} = options;
	const table = createJobTable({retentionMs: outcomeRetentionMs, mostEndedJobs});
	let isDraining = false;
	timers.addInterval(expiryIntervalMs, () => {
		table.dropExpired(timers.getNowMs());
	});

	const countRefusal = (refusal: RefusedOutcome) => {
		metrics.increment(`refused-${refusal.code}`);
		return refusal;
	};

	const findRefusal = (submission: JobSubmission): RefusedOutcome | undefined => {
		const notRun = submission.id === undefined ? 'job' : 'this-copy';
		if (isDraining) {
			return createRefusal('draining', {id: submission.id, notRun});
		}

		if (!options.hasConfiguration()) {
			return createRefusal('no-configuration', {id: submission.id, notRun});
		}

		return undefined;
	};

	const startJob = (job: Job) => {
		dispatcher.submitJob(job, outcome => {
			table.endEntry(job.id, outcome, timers.getNowMs());
		});
	};

	const createTicket = () => `t.${options.ownId}.${options.createIdentifier()}`;

	return {
		submitJob(submission, onAnswer) {
			const refusal = findRefusal(submission);
			if (refusal !== undefined) {
				onAnswer(countRefusal(refusal));
				return;
			}

			const job: Job = {...submission, id: submission.id ?? createTicket()};
			const contentHash = getContentHash(job);
			const known = table.findEntry(job.id);
			if (known === undefined) {
				table.addEntry(job.id, contentHash).waiters.add(onAnswer);
				startJob(job);
				return;
			}

			if (known.contentHash !== contentHash) {
				onAnswer(countRefusal(createRefusal('content-conflict', {id: job.id, notRun: 'this-copy'})));
				return;
			}

			metrics.increment('job-attached');
			if (known.outcome === undefined) {
				known.waiters.add(onAnswer);
			} else {
				onAnswer(known.outcome);
			}
		},
		async waitForOutcome(id, waitMs) {
			const entry = table.findEntry(id);
			if (entry === undefined) {
				return createRefusal('unknown-job', {id, notRun: 'this-copy'});
			}

			if (entry.outcome !== undefined) {
				return entry.outcome;
			}

			return new Promise(resolve => {
				const timer = timers.addTimer(waitMs, () => {
					entry.waiters.delete(answer);
					resolve('running');
				});
				const answer = (outcome: JobOutcome) => {
					timer.cancel();
					resolve(outcome);
				};

				entry.waiters.add(answer);
			});
		},
		cancelJob: id => dispatcher.cancelJob(id),
		createTickets: count => Array.from({length: count}, createTicket),
		countRefusal,
		startDraining() {
			isDraining = true;
		},
		getOpenCount: () => table.getOpenCount(),
	};
}
