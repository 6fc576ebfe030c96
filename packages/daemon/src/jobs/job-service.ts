import type {
	Job, JobOutcome, JobSubmission, MetricSink, RefusedOutcome, TimerService,
} from '@camphortack/core';
import type {Dispatcher} from '@camphortack/dispatch';
import {
	getContentHash, type ClaimDecision, type RegisterClient, type TicketTable,
} from '@camphortack/register';
import {createRefusal} from '../http/create-refusal.js';
import {createJobTable} from './job-table.js';

/** Between the callers' interface and the dispatcher: ids, resubmissions, answers. */
export type JobService = {
	/** Takes a submission. `onAnswer` is called exactly once. */
	submitJob(submission: JobSubmission, onAnswer: (outcome: JobOutcome) => void): void;
	/** Runs a job that another daemon forwarded because this one issued its ticket. */
	startForwardedJob(job: Job): void;
	/** Waits for the outcome of a job that came through this daemon, at most as long as asked. */
	waitForOutcome(id: string, waitMs: number): Promise<JobOutcome | 'running'>;
	cancelJob(id: string): boolean;
	/** Finds who submitted a job that came through this daemon. */
	findCustomer(id: string): string | undefined;
	createTickets(count: number): string[];
	/** Counts a refusal made before the submission reached this part. */
	countRefusal(refusal: RefusedOutcome): RefusedOutcome;
	/** Refuses new submissions. Jobs that run go on. */
	startDraining(): void;
	getOpenCount(): number;
};

export type JobServiceOptions = {
	timers: TimerService;
	metrics: MetricSink;
	dispatcher: Dispatcher;
	register: RegisterClient;
	tickets: TicketTable;
	hasConfiguration: () => boolean;
};

const outcomeRetentionMs = 600_000;
const mostOutcomeBytes = 16_777_216;
const expiryIntervalMs = 5000;

/**
 * Creates the job service of an entry daemon.
 * @param options - The parts that it uses.
 */
export function createJobService(options: JobServiceOptions): JobService {
	const {timers, metrics, dispatcher, register, tickets} = options;
	const table = createJobTable({retentionMs: outcomeRetentionMs, mostOutcomeBytes});
	let isDraining = false;
	timers.addInterval(expiryIntervalMs, () => {
		table.dropExpired(timers.getNowMs());
	});

	const countRefusal = (refusal: RefusedOutcome) => {
		metrics.increment(`refused-${refusal.code}`);
		return refusal;
	};

	const findRefusal = ({id}: JobSubmission): RefusedOutcome | undefined => {
		const notRun = id === undefined ? 'job' : 'this-copy';
		if (isDraining) {
			return createRefusal('draining', {id, notRun});
		}

		return options.hasConfiguration() ? undefined : createRefusal('no-configuration', {id, notRun});
	};

	const runJob = (job: Job) => {
		table.getOpenEntry(job.id, job.customer);
		dispatcher.submitJob(job, outcome => {
			register.addOutcome(job.id, outcome);
			table.endEntry(job.id, outcome, timers.getNowMs());
		});
	};

	const handleDecision = (job: Job, decision: ClaimDecision, onAnswer: (outcome: JobOutcome) => void) => {
		switch (decision.kind) {
			case 'start': {
				table.getOpenEntry(job.id, job.customer).waiters.add(onAnswer);
				runJob(job);
				break;
			}

			case 'attach': {
				metrics.increment('job-attached');
				break;
			}

			case 'outcome': {
				onAnswer(decision.outcome);
				break;
			}

			case 'refused': {
				onAnswer(countRefusal(createRefusal(decision.code, {id: job.id, notRun: decision.notRun})));
				break;
			}
		}
	};

	const submitJob = (submission: JobSubmission, onAnswer: (outcome: JobOutcome) => void) => {
		const refusal = findRefusal(submission);
		if (refusal !== undefined) {
			onAnswer(countRefusal(refusal));
			return;
		}

		const job: Job = {...submission, id: submission.id ?? tickets.issueTickets(1)[0]!};
		register.claimJob(job, getContentHash(job), decision => {
			handleDecision(job, decision, onAnswer);
		});
	};

	return {
		submitJob,
		startForwardedJob: runJob,
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
		findCustomer: id => table.findEntry(id)?.customer,
		createTickets: count => tickets.issueTickets(count),
		countRefusal,
		startDraining() {
			isDraining = true;
		},
		getOpenCount: () => table.getOpenCount(),
	};
}
