import type {
	Job, JobOutcome, TimerService, TimerSubscription,
} from '@camphortack/core';
import type {Ticket} from '../tickets/ticket.js';
import type {ClaimDecision} from './claim-decision.js';

/** A copy of a job submitted at this daemon that waits for a decision. */
type Copy = {
	onDecision: (decision: ClaimDecision) => void;
	deadline: TimerSubscription;
};

/**
 * The state of an open job.
 * - `claiming`: waiting for the owner of the id.
 * - `attached`: waiting for the daemon that runs the job.
 * - `forwarded`: waiting for the issuer of the ticket or its successor.
 * - `finding`: looking up the stored outcome of a ticket.
 * - `running`: running at this daemon.
 * - `ended`: its outcome is known but may not be stored yet.
 */
export type OpenJobState = 'claiming' | 'attached' | 'forwarded' | 'finding' | 'running' | 'ended';

/** A job that runs at this daemon, has copies waiting here, or has an outcome that is not stored yet. */
export type OpenJob = {
	readonly job: Job;
	readonly contentHash: string;
	readonly ticket: Ticket | undefined;
	/** The number of the claim, which is also part of `request`. */
	readonly claim: number;
	/** Identifies this job in requests to other daemons; unique across processes. */
	readonly request: string;
	state: OpenJobState;
	outcome: Uint8Array | undefined;
	/** Whether the first copy has been notified that another copy is running. */
	isAttachNotified: boolean;
	/** Whether this copy was forwarded to another daemon that may have started it. */
	mayHaveStarted: boolean;
	/** The daemon to which the job was last forwarded. */
	forwardedToId: string | undefined;
	retry: TimerSubscription | undefined;
	/** Copies submitted at this daemon that wait for an answer, oldest first. */
	readonly copies: Set<Copy>;
	/** Forward requests from other daemons that this job serves. */
	readonly forwardedRequests: Set<string>;
	/** Requests from other daemons that wait for an answer, with the sender of each. */
	readonly remoteCopies: Map<string, string>;
};

/** Additional wait after the deadline of a copy, so that the answer of another daemon that refuses or fails it at the deadline can arrive. */
const deadlineGraceMs = 500;

/**
 * Creates an open job without copies.
 * @param identity - The job and its identifiers.
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
	/** Called when the last copy has timed out. */
	onAbandoned: () => void;
};

/**
 * Adds a copy that waits at this daemon until shortly after its deadline.
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
 * Removes the copy that has waited longest.
 * @param openJob - The job.
 * @returns The callback of the copy, or undefined if no copy is waiting.
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
 * Delivers a final decision to every copy that waits at this daemon.
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
 * Gets the decision for a job that got no answer. A forwarded copy may have run at the other daemon, so it counts as failed instead of refused.
 * @param openJob - The job.
 * @param code - The refusal code for a job that cannot have started elsewhere.
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
