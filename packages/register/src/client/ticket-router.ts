import {maxDeadlineMs, type Member, type TimerService} from '@camphortack/core';
import type {ClientMessage, ClientMessageOf, KeeperMessage} from '../messages/register-messages.js';
import {encodeOutcome, decodeOutcome} from '../outcomes/outcome-codec.js';
import {createOutcomeStore} from '../outcomes/outcome-store.js';
import {findTicketIssuer} from '../tickets/ticket.js';
import type {TicketTable} from '../tickets/ticket-table.js';
import {getDecisionWithoutAnswer, type OpenJob} from './open-job.js';
import {getRemoteDecision, getStoredDecision, type OpenJobs} from './open-jobs.js';
import {createRecentKeys} from './recent-keys.js';
import type {TableHandover} from './table-handover.js';

export type TicketRouterOptions = {
	ownId: string;
	incarnation: string;
	timers: TimerService;
	openJobs: OpenJobs;
	handover: TableHandover;
	members: ReadonlyMap<string, Member>;
	claimTimeoutMs: number;
	maxOutcomeBytes: number;
	findOwnerId: (id: string) => string | undefined;
	getKeeperIds: () => readonly string[];
	send: (peerId: string, message: ClientMessage | KeeperMessage) => void;
};

/** Routes jobs with tickets to the issuer of the ticket or its successor, or looks up their stored outcome. */
export type TicketRouter = {
	route(openJob: OpenJob): void;
	/** Releases the claim of a ticket whose job was not started. */
	release(openJob: OpenJob): void;
	/** Keeps the outcome to answer resubmissions. */
	addOutcome(openJob: OpenJob): void;
	handleForward(fromPeerId: string, message: ClientMessageOf<'register.forward'>): void;
	handleNotHere(fromPeerId: string, openJob: OpenJob, message: ClientMessageOf<'register.not-here'>): void;
	handleAnswer(openJob: OpenJob, message: ClientMessageOf<'register.answer'>): void;
	handleOutcomeFound(message: ClientMessageOf<'register.outcome-found'>): void;
	close(): void;
};

/**
 * Creates the ticket router.
 * @param options - The open jobs, the ticket tables and the ports.
 */
export function createTicketRouter(options: TicketRouterOptions): TicketRouter {
	const {
		ownId, incarnation, timers, openJobs, handover, members, claimTimeoutMs, maxOutcomeBytes, findOwnerId, getKeeperIds, send,
	} = options;
	const outcomes = createOutcomeStore(maxOutcomeBytes);
	/** Forward requests that were refused. A delayed duplicate of such a request must not start the job. */
	const refusedForwards = createRecentKeys(timers, maxDeadlineMs);

	function route(openJob: OpenJob): void {
		const ticket = openJob.ticket!;
		const table = handover.findTable(ticket.incarnation);
		const issuer = findTicketIssuer(ticket, members);
		if (table !== undefined) {
			claimTicket(openJob, table);
		} else if (issuer === undefined) {
			startOutcomeLookup(openJob);
		} else {
			forward(openJob, issuer.id);
		}
	}

	function claimTicket(openJob: OpenJob, table: TicketTable): void {
		switch (table.claimTicket(openJob.ticket!, openJob.contentHash)) {
			case 'start': {
				openJobs.start(openJob);
				break;
			}

			case 'started': {
				findStoredOutcome(openJob);
				break;
			}

			case 'conflict': {
				openJobs.refuse(openJob, 'content-conflict', 'this-copy');
				break;
			}

			case 'forged': {
				openJobs.refuse(openJob, 'unknown-job', 'job');
				break;
			}

			case 'expired': {
				openJobs.refuse(openJob, 'ticket-expired', 'this-copy');
				break;
			}

			case 'fenced': {
				redirectToSuccessor(openJob);
				break;
			}
		}
	}

	function findStoredOutcome(openJob: OpenJob): void {
		const outcome = outcomes.findOutcome(openJob.job.id);
		if (outcome === undefined) {
			startOutcomeLookup(openJob);
		} else {
			openJobs.settle(openJob, getStoredDecision(outcome));
		}
	}

	function redirectToSuccessor(openJob: OpenJob): void {
		const heirId = handover.findSuccessorId();
		for (const [request, peerId] of openJob.remoteCopies) {
			send(peerId, {
				kind: 'register.not-here',
				request,
				incarnation: openJob.ticket!.incarnation,
				heirId,
			});
		}

		openJob.remoteCopies.clear();
		if (heirId !== undefined && openJob.copies.size > 0) {
			forward(openJob, heirId);
		} else {
			openJobs.refuse(openJob, 'draining', 'this-copy');
		}
	}

	function forward(openJob: OpenJob, daemonId: string): void {
		openJob.state = 'forwarded';
		openJob.forwardedToId = daemonId;
		openJob.mayHaveStarted = true;
		sendForward(openJob, daemonId);
		openJobs.retryUntilDeadline(openJob, () => {
			if (members.has(daemonId)) {
				sendForward(openJob, daemonId);
			} else {
				startOutcomeLookup(openJob);
			}
		});
	}

	function sendForward(openJob: OpenJob, daemonId: string): void {
		send(daemonId, {
			kind: 'register.forward',
			request: openJob.request,
			incarnation: openJob.ticket!.incarnation,
			contentHash: openJob.contentHash,
			job: openJob.job,
		});
	}

	function startOutcomeLookup(openJob: OpenJob): void {
		openJob.state = 'finding';
		const ownerId = findOwnerId(openJob.job.id);
		if (ownerId !== undefined) {
			sendFindOutcome(openJob, ownerId);
		}

		// Only the owner of the id stores the outcome, but every keeper knows the successor that adopted a ticket table.
		let requestCount = 0;
		openJobs.retryUntilTimeout(openJob, claimTimeoutMs, () => {
			const keeperIds = getKeeperIds();
			const keeperId = keeperIds[requestCount++ % keeperIds.length];
			if (keeperId !== undefined) {
				sendFindOutcome(openJob, keeperId);
			}
		});
	}

	function sendFindOutcome(openJob: OpenJob, keeperId: string): void {
		send(keeperId, {
			kind: 'register.find-outcome',
			request: openJob.request,
			id: openJob.job.id,
			contentHash: openJob.contentHash,
			incarnation: openJob.ticket!.incarnation,
		});
	}

	return {
		route,
		release(openJob) {
			handover.findTable(openJob.ticket!.incarnation)?.releaseTicket(openJob.ticket!);
			for (const request of openJob.forwardedRequests) {
				refusedForwards.add(request);
			}
		},
		addOutcome(openJob) {
			outcomes.setOutcome(openJob.job.id, openJob.outcome);
		},
		handleForward(fromPeerId, message) {
			const {request, job, contentHash} = message;
			const table = handover.findTable(message.incarnation);
			if (table === undefined) {
				send(fromPeerId, {kind: 'register.not-here', request, incarnation});
				return;
			}

			if (refusedForwards.has(request)) {
				return;
			}

			const known = openJobs.findById(job.id);
			if (known !== undefined && known.contentHash !== contentHash) {
				send(fromPeerId, {kind: 'register.answer', request, outcome: createConflictOutcome(job.id)});
				return;
			}

			const openJob = known ?? openJobs.add(job, contentHash);
			openJob.forwardedRequests.add(request);
			openJobs.addRemoteCopy(openJob, fromPeerId, request);
			if (known === undefined) {
				claimTicket(openJob, table);
			}
		},
		handleNotHere(fromPeerId, openJob, message) {
			if (fromPeerId !== openJob.forwardedToId || openJob.state !== 'forwarded') {
				return;
			}

			if (message.incarnation !== openJob.ticket!.incarnation) {
				// The daemon has restarted; its previous process may have started the job.
				startOutcomeLookup(openJob);
				return;
			}

			openJob.mayHaveStarted = false;
			if (message.heirId !== undefined && members.has(message.heirId)) {
				forward(openJob, message.heirId);
			} else {
				openJobs.refuse(openJob, 'draining', 'this-copy');
			}
		},
		handleAnswer(openJob, message) {
			const decision = getRemoteDecision(message.outcome);
			const outcome = decodeOutcome(message.outcome);
			const isUncertain = outcome?.outcome === 'refused' && outcome.notRun === 'this-copy' && outcome.code !== 'content-conflict';
			// An earlier transmission of the forward request may nevertheless have started the job there.
			openJobs.settle(openJob, isUncertain ? getDecisionWithoutAnswer(openJob, 'register-unreachable') : decision);
		},
		handleOutcomeFound(message) {
			const openJob = openJobs.findByRequest(message.request);
			if (openJob?.state !== 'finding') {
				return;
			}

			const {outcome, heirId, isConflict, isOwner} = message;
			const isSuccessorLive = heirId !== undefined && heirId !== ownId && members.has(heirId);
			if (isConflict) {
				openJobs.refuse(openJob, 'content-conflict', 'this-copy');
			} else if (outcome !== undefined) {
				openJobs.settle(openJob, getStoredDecision(outcome));
			} else if (isSuccessorLive && heirId !== openJob.forwardedToId && handover.findTable(openJob.ticket!.incarnation) === undefined) {
				forward(openJob, heirId);
			} else if (isOwner && handover.findTable(openJob.ticket!.incarnation) !== undefined) {
				openJobs.settle(openJob, getDecisionWithoutAnswer(openJob, 'outcome-expired'));
			} else if (isOwner) {
				openJobs.settle(openJob, getDecisionWithoutAnswer(openJob, 'ticket-owner-gone'));
			}
		},
		close() {
			refusedForwards.close();
		},
	};
}

function createConflictOutcome(id: string): Uint8Array {
	return encodeOutcome({
		outcome: 'refused',
		id,
		code: 'content-conflict',
		notRun: 'this-copy',
		message: 'the ticket was used for a job with other content',
	});
}
