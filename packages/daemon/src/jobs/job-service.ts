import type {
	Job, JobOutcome, JobSubmission, MetricSink, RefusedOutcome, TimerService,
} from '@camphortack/core';
import type {Dispatcher} from '@camphortack/dispatch';
import {
	getContentHash, type ClaimDecision, type RegisterClient, type TicketTable,
} from '@camphortack/register';
import {createRefusal} from '../http/create-refusal.js';
import {createJobTable} from './job-table.js';

/** Connects the callers' HTTP interface to the dispatcher: assigns job ids, detects resubmissions and returns outcomes. */
export type JobService = {
	/** Submits a job. Calls `onOutcome` exactly once, with the outcome or a refusal. */
	submitJob(submission: JobSubmission, onOutcome: (outcome: JobOutcome) => void): void;
	/** Runs a job that another daemon forwarded to this one, which issued its ticket. */
	startForwardedJob(job: Job): void;
	/** Waits up to `waitMs` for the outcome of a job that was submitted through this daemon. */
	waitForOutcome(id: string, waitMs: number): Promise<JobOutcome | 'running'>;
	cancelJob(id: string): boolean;
	/** Finds the customer of a job that was submitted through this daemon. */
	findCustomer(id: string): string | undefined;
	createTickets(count: number): string[];
	/** Counts a refusal that was created before the submission reached the job service. */
	countRefusal(refusal: RefusedOutcome): RefusedOutcome;
	/** Refuses new submissions from now on. Running jobs continue. */
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
const maxOutcomeBytes = 16_777_216;
const expiryIntervalMs = 5000;

/**
 * Creates the job service of a daemon that accepts submissions.
 * @param options - The components that it depends on.
 */
export function createJobService(options: JobServiceOptions): JobService {
	const {timers, metrics, dispatcher, register, tickets} = options;
	const table = createJobTable({retentionMs: outcomeRetentionMs, maxOutcomeBytes});
	let isDraining = false;
	timers.addInterval(expiryIntervalMs, () => {
		table.removeExpiredOutcomes(timers.getNowMs());
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
			table.completeEntry(job.id, outcome, timers.getNowMs());
		});
	};

	const handleClaimDecision = (job: Job, decision: ClaimDecision, onOutcome: (outcome: JobOutcome) => void) => {
		switch (decision.kind) {
			case 'start': {
				table.getOpenEntry(job.id, job.customer).waiters.add(onOutcome);
				runJob(job);
				break;
			}

			case 'attach': {
				metrics.increment('job-attached');
				break;
			}

			case 'outcome': {
				onOutcome(decision.outcome);
				break;
			}

			case 'refused': {
				onOutcome(countRefusal(createRefusal(decision.code, {id: job.id, notRun: decision.notRun})));
				break;
			}
		}
	};

	const submitJob = (submission: JobSubmission, onOutcome: (outcome: JobOutcome) => void) => {
		const refusal = findRefusal(submission);
		if (refusal !== undefined) {
			onOutcome(countRefusal(refusal));
			return;
		}

		const job: Job = {...submission, id: submission.id ?? tickets.issueTickets(1)[0]!};
		register.claimJob(job, getContentHash(job), decision => {
			handleClaimDecision(job, decision, onOutcome);
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
