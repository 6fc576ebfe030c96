import type {
	Job, JobOutcome, NotRunScope, RefusalCode, TimerService,
} from '@camphortack/core';
import type {ClientMessage, KeeperMessage} from '../messages/register-messages.js';
import {encodeOutcome, findDecodedOutcome} from '../outcomes/outcome-codec.js';
import {parseTicket} from '../tickets/ticket.js';
import type {ClaimDecision} from './claim-decision.js';
import {
	addCopy, createOpenJob, decideCopies, getDecisionWithoutAnswer, takeFirstCopy, type OpenJob,
} from './open-job.js';

export type OpenJobsOptions = {
	incarnation: string;
	timers: TimerService;
	send: (peerId: string, message: ClientMessage | KeeperMessage) => void;
	startForwardedJob: (job: Job) => void;
};

/** The jobs that this daemon runs or waits for, by id and by the number of their claim. */
export type OpenJobs = {
	findById(id: string): OpenJob | undefined;
	findByClaim(claim: number): OpenJob | undefined;
	findByRequest(request: string): OpenJob | undefined;
	add(job: Job, contentHash: string): OpenJob;
	remove(open: OpenJob): void;
	/** Adds a copy of this daemon's own. */
	addLocalCopy(open: OpenJob, deadlineMs: number, onDecision: (decision: ClaimDecision) => void): void;
	/** Adds a copy of another daemon, or answers it. */
	addRemoteCopy(open: OpenJob, peerId: string, request: string): void;
	/** Lets the job run here. */
	start(open: OpenJob): void;
	/** Gives every copy its last decision and removes the job. */
	settle(open: OpenJob, decision: ClaimDecision): void;
	refuse(open: OpenJob, code: RefusalCode, notRun: NotRunScope): void;
	/** Answers every copy and keeps the job until its outcome is stored. */
	end(open: OpenJob, outcome: JobOutcome): void;
	/** Asks at a steady pace and gives up after the time-out. */
	retryUntilTimeout(open: OpenJob, timeoutMs: number, ask: () => void): void;
	/** Asks ever more rarely until the copies' deadlines pass. */
	retryUntilDeadline(open: OpenJob, ask: () => void): void;
	getCount(): number;
};

/** The pace at which the owner of an id is asked again. */
const claimRetryMs = 200;
/** The pace at which a daemon that runs a job is asked again. */
const shortestAnswerRetryMs = 1000;
const longestAnswerRetryMs = 8000;

/**
 * Gets the decision that a stored outcome stands for.
 * @param bytes - The encoded outcome.
 */
export function getStoredDecision(bytes: Uint8Array): ClaimDecision {
	const outcome = findDecodedOutcome(bytes);
	return outcome === undefined ? {kind: 'refused', code: 'outcome-expired', notRun: 'this-copy'} : {kind: 'outcome', outcome};
}

/**
 * Gets the decision that an outcome stands for which came from another daemon. While it was on its way, another copy
 * may have started, so a refusal speaks for this copy only.
 * @param bytes - The encoded outcome.
 */
export function getRemoteDecision(bytes: Uint8Array): ClaimDecision {
	const decision = getStoredDecision(bytes);
	return decision.kind === 'outcome' && decision.outcome.outcome === 'refused'
		? {kind: 'outcome', outcome: {...decision.outcome, notRun: 'this-copy'}}
		: decision;
}

/**
 * Creates an empty set of jobs.
 * @param options - The ports.
 */
export function createOpenJobs(options: OpenJobsOptions): OpenJobs {
	const {incarnation, timers, send, startForwardedJob} = options;
	const getRequest = (claim: number) => `${incarnation}.${claim}`;
	const openJobs = new Map<string, OpenJob>();
	const openJobsByRequest = new Map<string, OpenJob>();
	let claimCount = 0;

	function remove(open: OpenJob): void {
		open.retry?.cancel();
		openJobs.delete(open.job.id);
		openJobsByRequest.delete(open.request);
	}

	function settle(open: OpenJob, decision: ClaimDecision): void {
		remove(open);
		decideCopies(open, decision);
		answerRemoteCopies(open, encodeOutcome(getOutcome(open, decision)));
	}

	function answerRemoteCopies(open: OpenJob, outcome: Uint8Array): void {
		for (const [request, peerId] of open.remoteCopies) {
			send(peerId, {kind: 'register.answer', request, outcome});
		}

		open.remoteCopies.clear();
	}

	function retry(open: OpenJob, firstDelayMs: number, getNextDelayMs: (delayMs: number) => number, ask: () => void): void {
		open.retry?.cancel();
		open.retry = timers.addTimer(firstDelayMs, () => {
			retry(open, getNextDelayMs(firstDelayMs), getNextDelayMs, ask);
			ask();
		});
	}

	return {
		findById: id => openJobs.get(id),
		findByClaim: claim => openJobsByRequest.get(getRequest(claim)),
		findByRequest: request => openJobsByRequest.get(request),
		add(job, contentHash) {
			claimCount++;
			const open = createOpenJob({
				job,
				contentHash,
				ticket: parseTicket(job.id),
				claim: claimCount,
				request: getRequest(claimCount),
			});
			openJobs.set(job.id, open);
			openJobsByRequest.set(open.request, open);
			return open;
		},
		remove,
		addLocalCopy(open, deadlineMs, onDecision) {
			addCopy({
				open,
				timers,
				deadlineMs,
				onDecision,
				onAbandoned() {
					if (open.state !== 'running' && open.remoteCopies.size === 0) {
						remove(open);
					}
				},
			});
		},
		addRemoteCopy(open, peerId, request) {
			if (open.outcome === undefined) {
				open.remoteCopies.set(request, peerId);
			} else {
				send(peerId, {kind: 'register.answer', request, outcome: open.outcome});
			}
		},
		start(open) {
			open.state = 'running';
			open.retry?.cancel();
			const onDecision = takeFirstCopy(open);
			if (onDecision === undefined) {
				startForwardedJob(open.job);
			} else {
				onDecision({kind: 'start'});
			}
		},
		settle,
		refuse(open, code, notRun) {
			settle(open, {kind: 'refused', code, notRun});
		},
		end(open, outcome) {
			open.state = 'ended';
			open.outcome = encodeOutcome(outcome);
			decideCopies(open, {kind: 'outcome', outcome});
			answerRemoteCopies(open, open.outcome);
		},
		retryUntilTimeout(open, timeoutMs, ask) {
			const startedAtMs = timers.getNowMs();
			retry(open, claimRetryMs, delayMs => delayMs, () => {
				if (timers.getNowMs() - startedAtMs < timeoutMs) {
					ask();
				} else {
					settle(open, getDecisionWithoutAnswer(open, 'register-unreachable'));
				}
			});
		},
		retryUntilDeadline(open, ask) {
			retry(open, shortestAnswerRetryMs, delayMs => Math.min(2 * delayMs, longestAnswerRetryMs), ask);
		},
		getCount: () => openJobs.size,
	};
}

function getOutcome(open: OpenJob, decision: ClaimDecision): JobOutcome {
	if (decision.kind === 'outcome') {
		return decision.outcome;
	}

	return {
		outcome: 'refused',
		id: open.job.id,
		code: decision.kind === 'refused' ? decision.code : 'register-unreachable',
		notRun: decision.kind === 'refused' ? decision.notRun : 'this-copy',
		message: 'refused by the daemon that was asked',
	};
}
