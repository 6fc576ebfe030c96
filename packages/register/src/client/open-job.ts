import type {
	Job, JobOutcome, TimerService, TimerSubscription,
} from '@camphortack/core';
import type {Ticket} from '../tickets/ticket.js';
import type {ClaimDecision} from './claim-decision.js';

/** A copy of a job that waits at this daemon. */
type Copy = {
	onDecision: (decision: ClaimDecision) => void;
	deadline: TimerSubscription;
};

/**
 * What this daemon waits for. `claiming`: the owner of the id. `attached`: the daemon that runs the job.
 * `forwarded`: the issuer of the ticket. `finding`: the stored outcome of a ticket.
 */
export type OpenJobState = 'claiming' | 'attached' | 'forwarded' | 'finding' | 'running' | 'ended';

/** A job that has at least one copy at this daemon, or an outcome that is not stored yet. */
export type OpenJob = {
	readonly job: Job;
	readonly contentHash: string;
	readonly ticket: Ticket | undefined;
	/** The number of the claim, and of the requests to other daemons. */
	readonly claim: number;
	/** Names this job in requests to other daemons, unlike that of any other process. */
	readonly request: string;
	state: OpenJobState;
	outcome: Uint8Array | undefined;
	/** Whether the copies were told that another copy runs. */
	isAttachNotified: boolean;
	/** Whether another daemon was sent this copy and may have started it. */
	mayHaveStarted: boolean;
	/** The daemon that the job was last forwarded to. */
	forwardedToId: string | undefined;
	retry: TimerSubscription | undefined;
	/** The copies at this daemon that wait for an answer. */
	readonly copies: Set<Copy>;
	/** The forwarded requests of other daemons that this job stands for. */
	readonly forwardedRequests: Set<string>;
	/** The requests of other daemons that wait for an answer, each with its sender. */
	readonly remoteCopies: Map<string, string>;
};

/** How much longer than its deadline a copy waits for another daemon, which refuses or fails it at the deadline. */
const deadlineGraceMs = 500;

/**
 * Creates a job without copies.
 * @param identity - The job and what names it.
 */
export function createOpenJob(identity: Pick<OpenJob, 'job' | 'contentHash' | 'ticket' | 'claim' | 'request'>): OpenJob {
	return {
		...identity,
		state: 'claiming',
		outcome: undefined,
		isAttachNotified: false,
		mayHaveStarted: false,
		forwardedToId: undefined,
		retry: undefined,
		copies: new Set(),
		forwardedRequests: new Set(),
		remoteCopies: new Map(),
	};
}

export type AddCopyOptions = {
	openJob: OpenJob;
	timers: TimerService;
	deadlineMs: number;
	onDecision: (decision: ClaimDecision) => void;
	/** Called once the last copy has stopped waiting. */
	onAbandoned: () => void;
};

/**
 * Adds a copy that waits at this daemon, at most until its deadline.
 * @param options - The job and the copy.
 */
export function addCopy(options: AddCopyOptions): void {
	const {
		openJob, timers, deadlineMs, onDecision, onAbandoned,
	} = options;
	const copy = {
		onDecision,
		deadline: timers.addTimer(deadlineMs + deadlineGraceMs, () => {
			openJob.copies.delete(copy);
			onDecision(getDecisionWithoutAnswer(openJob, 'deadline-unreachable'));
			if (openJob.copies.size === 0) {
				onAbandoned();
			}
		}),
	};
	openJob.copies.add(copy);
}

/**
 * Takes the copy that has waited longest.
 * @param openJob - The job.
 * @returns Its callback, or undefined if none waits.
 */
export function takeFirstCopy(openJob: OpenJob): ((decision: ClaimDecision) => void) | undefined {
	const [copy] = openJob.copies;
	if (copy === undefined) {
		return undefined;
	}

	openJob.copies.delete(copy);
	copy.deadline.cancel();
	return copy.onDecision;
}

/**
 * Gives every copy at this daemon its last decision.
 * @param openJob - The job.
 * @param decision - The decision.
 */
export function decideCopies(openJob: OpenJob, decision: ClaimDecision): void {
	let onDecision = takeFirstCopy(openJob);
	while (onDecision !== undefined) {
		onDecision(decision);
		onDecision = takeFirstCopy(openJob);
	}
}

/**
 * Gets what is true when no answer came: a copy that was sent on may have run there.
 * @param openJob - The job.
 * @param code - Why there is no answer.
 */
export function getDecisionWithoutAnswer(
	openJob: OpenJob,
	code: 'deadline-unreachable' | 'register-unreachable' | 'ticket-owner-gone' | 'outcome-expired' | 'draining',
): ClaimDecision {
	return openJob.mayHaveStarted ? {kind: 'outcome', outcome: createLostOutcome(openJob.job)} : {kind: 'refused', code, notRun: 'this-copy'};
}

function createLostOutcome(job: Job): JobOutcome {
	return {
		outcome: 'failed',
		id: job.id,
		reason: 'daemon-lost',
		tasks: job.tasks.map((_, index) => ({index, state: 'may-have-run' as const})),
	};
}
