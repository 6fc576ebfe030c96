import type {
	Job, JobOutcome, NotRunScope, RefusalCode, TimerService,
} from '@camphortack/core';
import type {ClientMessage, KeeperMessage} from '../messages/register-messages.js';
import {encodeOutcome, decodeOutcome} from '../outcomes/outcome-codec.js';
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

/** The jobs that this daemon runs or waits for, indexed by id and by claim. */
export type OpenJobs = {
	findById(id: string): OpenJob | undefined;
	findByClaim(claim: number): OpenJob | undefined;
	findByRequest(request: string): OpenJob | undefined;
	add(job: Job, contentHash: string): OpenJob;
	remove(openJob: OpenJob): void;
	/** Adds a copy submitted at this daemon. */
	addLocalCopy(openJob: OpenJob, deadlineMs: number, onDecision: (decision: ClaimDecision) => void): void;
	/** Adds a copy from another daemon, or answers it immediately if the job has ended. */
	addRemoteCopy(openJob: OpenJob, peerId: string, request: string): void;
	/** Starts the job at this daemon. */
	start(openJob: OpenJob): void;
	/** Delivers a final decision to every copy and removes the job. */
	settle(openJob: OpenJob, decision: ClaimDecision): void;
	refuse(openJob: OpenJob, code: RefusalCode, notRun: NotRunScope): void;
	/** Answers every copy but keeps the job until its outcome is stored. */
	end(openJob: OpenJob, outcome: JobOutcome): void;
	/** Repeats a request at a fixed interval and gives up after the timeout. */
	retryUntilTimeout(openJob: OpenJob, timeoutMs: number, sendRequest: () => void): void;
	/** Repeats a request with exponential backoff until the job is settled or its copies' deadlines pass. */
	retryUntilDeadline(openJob: OpenJob, sendRequest: () => void): void;
	getCount(): number;
};

/** Interval at which a request to a keeper is repeated. */
const claimRetryMs = 200;
/** Initial and maximum delay before a request is repeated while another daemon may be running the job. */
const minAnswerRetryMs = 1000;
const maxAnswerRetryMs = 8000;

/**
 * Converts a stored outcome to a decision.
 * @param bytes - The encoded outcome.
 */
export function getStoredDecision(bytes: Uint8Array): ClaimDecision {
	const outcome = decodeOutcome(bytes);
	return outcome === undefined ? {kind: 'refused', code: 'outcome-expired', notRun: 'this-copy'} : {kind: 'outcome', outcome};
}

/**
 * Converts an outcome received from another daemon to a decision. Another copy may have started while the message was
 * in transit, so the scope of a refusal is narrowed to this copy.
 * @param bytes - The encoded outcome.
 */
export function getRemoteDecision(bytes: Uint8Array): ClaimDecision {
	const decision = getStoredDecision(bytes);
	return decision.kind === 'outcome' && decision.outcome.outcome === 'refused'
		? {kind: 'outcome', outcome: {...decision.outcome, notRun: 'this-copy'}}
		: decision;
}

/**
 * Creates an empty collection of open jobs.
 * @param options - The ports.
 */
export function createOpenJobs(options: OpenJobsOptions): OpenJobs {
	const {incarnation, timers, send, startForwardedJob} = options;
	const getRequest = (claim: number) => `${incarnation}.${claim}`;
	const openJobs = new Map<string, OpenJob>();
	const openJobsByRequest = new Map<string, OpenJob>();
	let claimCount = 0;

	function remove(openJob: OpenJob): void {
		openJob.retry?.cancel();
		openJobs.delete(openJob.job.id);
		openJobsByRequest.delete(openJob.request);
	}

	function settle(openJob: OpenJob, decision: ClaimDecision): void {
		remove(openJob);
		decideCopies(openJob, decision);
		answerRemoteCopies(openJob, encodeOutcome(getOutcome(openJob, decision)));
	}

	function answerRemoteCopies(openJob: OpenJob, outcome: Uint8Array): void {
		for (const [request, peerId] of openJob.remoteCopies) {
			send(peerId, {kind: 'register.answer', request, outcome});
		}

		openJob.remoteCopies.clear();
	}

	function retry(openJob: OpenJob, firstDelayMs: number, getNextDelayMs: (delayMs: number) => number, sendRequest: () => void): void {
		openJob.retry?.cancel();
		openJob.retry = timers.addTimer(firstDelayMs, () => {
			retry(openJob, getNextDelayMs(firstDelayMs), getNextDelayMs, sendRequest);
			sendRequest();
		});
	}

	return {
		findById: id => openJobs.get(id),
		findByClaim: claim => openJobsByRequest.get(getRequest(claim)),
		findByRequest: request => openJobsByRequest.get(request),
		add(job, contentHash) {
			claimCount++;
			const openJob = createOpenJob({
				job,
				contentHash,
				ticket: parseTicket(job.id),
				claim: claimCount,
				request: getRequest(claimCount),
			});
			openJobs.set(job.id, openJob);
			openJobsByRequest.set(openJob.request, openJob);
			return openJob;
		},
		remove,
		addLocalCopy(openJob, deadlineMs, onDecision) {
			addCopy({
				openJob,
				timers,
				deadlineMs,
				onDecision,
				onAbandoned() {
					if (openJob.state !== 'running' && openJob.remoteCopies.size === 0) {
						remove(openJob);
					}
				},
			});
		},
		addRemoteCopy(openJob, peerId, request) {
			if (openJob.outcome === undefined) {
				openJob.remoteCopies.set(request, peerId);
			} else {
				send(peerId, {kind: 'register.answer', request, outcome: openJob.outcome});
			}
		},
		start(openJob) {
			openJob.state = 'running';
			openJob.retry?.cancel();
			const onDecision = takeFirstCopy(openJob);
			if (onDecision === undefined) {
				startForwardedJob(openJob.job);
			} else {
				onDecision({kind: 'start'});
			}
		},
		settle,
		refuse(openJob, code, notRun) {
			settle(openJob, {kind: 'refused', code, notRun});
		},
		end(openJob, outcome) {
			openJob.state = 'ended';
			openJob.outcome = encodeOutcome(outcome);
			decideCopies(openJob, {kind: 'outcome', outcome});
			answerRemoteCopies(openJob, openJob.outcome);
		},
		retryUntilTimeout(openJob, timeoutMs, sendRequest) {
			const startedAtMs = timers.getNowMs();
			retry(openJob, claimRetryMs, delayMs => delayMs, () => {
				if (timers.getNowMs() - startedAtMs < timeoutMs) {
					sendRequest();
				} else {
					settle(openJob, getDecisionWithoutAnswer(openJob, 'register-unreachable'));
				}
			});
		},
		retryUntilDeadline(openJob, sendRequest) {
			retry(openJob, minAnswerRetryMs, delayMs => Math.min(2 * delayMs, maxAnswerRetryMs), sendRequest);
		},
		getCount: () => openJobs.size,
	};
}

function getOutcome(openJob: OpenJob, decision: ClaimDecision): JobOutcome {
	if (decision.kind === 'outcome') {
		return decision.outcome;
	}

	return {
		outcome: 'refused',
		id: openJob.job.id,
		code: decision.kind === 'refused' ? decision.code : 'register-unreachable',
		notRun: decision.kind === 'refused' ? decision.notRun : 'this-copy',
		message: 'refused by the daemon that was asked',
	};
}
