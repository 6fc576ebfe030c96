import {longestDeadlineMs, type Member, type TimerService} from '@camphortack/core';
import type {ClientMessage, ClientMessageOf, KeeperMessage} from '../messages/register-messages.js';
import {encodeOutcome, findDecodedOutcome} from '../outcomes/outcome-codec.js';
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
	mostOutcomeBytes: number;
	findOwnerId: (id: string) => string | undefined;
	getKeeperIds: () => readonly string[];
	send: (peerId: string, message: ClientMessage | KeeperMessage) => void;
};

/** Takes tickets to their issuer, or to where their outcome is stored. */
export type TicketRouter = {
	route(open: OpenJob): void;
	/** Takes back the claim of a ticket whose job started nothing. */
	release(open: OpenJob): void;
	/** Keeps the outcome for resubmissions. */
	addOutcome(open: OpenJob): void;
	handleForward(fromPeerId: string, message: ClientMessageOf<'register.forward'>): void;
	handleNotHere(fromPeerId: string, open: OpenJob, message: ClientMessageOf<'register.not-here'>): void;
	handleAnswer(open: OpenJob, message: ClientMessageOf<'register.answer'>): void;
	handleOutcomeFound(message: ClientMessageOf<'register.outcome-found'>): void;
	close(): void;
};

/**
 * Creates the router of tickets.
 * @param options - The jobs, the tables and the ports.
 */
export function createTicketRouter(options: TicketRouterOptions): TicketRouter {
	const {
		ownId, incarnation, timers, openJobs, handover, members, claimTimeoutMs, mostOutcomeBytes, findOwnerId, getKeeperIds, send,
	} = options;
	const outcomes = createOutcomeStore(mostOutcomeBytes);
	/** Forwarded requests that were refused: a late copy of one must not start the job after all. */
	const refusedForwards = createRecentKeys(timers, longestDeadlineMs);

	function route(open: OpenJob): void {
		const ticket = open.ticket!;
		const table = handover.findTable(ticket.incarnation);
		const owner = findTicketIssuer(ticket, members);
		if (table !== undefined) {
			claimTicket(open, table);
		} else if (owner === undefined) {
			startFinding(open);
		} else {
			forward(open, owner.id);
		}
	}

	function claimTicket(open: OpenJob, table: TicketTable): void {
		switch (table.claimTicket(open.ticket!, open.contentHash)) {
			case 'start': {
				openJobs.start(open);
				break;
			}

			case 'started': {
				findStoredOutcome(open);
				break;
			}

			case 'conflict': {
				openJobs.refuse(open, 'content-conflict', 'this-copy');
				break;
			}

			case 'forged': {
				openJobs.refuse(open, 'unknown-job', 'job');
				break;
			}

			case 'expired': {
				openJobs.refuse(open, 'ticket-expired', 'this-copy');
				break;
			}

			case 'fenced': {
				leaveToHeir(open);
				break;
			}
		}
	}

	function findStoredOutcome(open: OpenJob): void {
		const outcome = outcomes.findOutcome(open.job.id);
		if (outcome === undefined) {
			startFinding(open);
		} else {
			openJobs.settle(open, getStoredDecision(outcome));
		}
	}

	function leaveToHeir(open: OpenJob): void {
		const heirId = handover.findHeirId();
		for (const [request, peerId] of open.remoteCopies) {
			send(peerId, {
				kind: 'register.not-here',
				request,
				incarnation: open.ticket!.incarnation,
				heirId,
			});
		}

		open.remoteCopies.clear();
		if (heirId !== undefined && open.copies.size > 0) {
			forward(open, heirId);
		} else {
			openJobs.refuse(open, 'draining', 'this-copy');
		}
	}

	function forward(open: OpenJob, ownerId: string): void {
		open.state = 'forwarded';
		open.forwardedToId = ownerId;
		open.mayHaveStarted = true;
		sendForward(open, ownerId);
		openJobs.retryUntilDeadline(open, () => {
			if (members.has(ownerId)) {
				sendForward(open, ownerId);
			} else {
				startFinding(open);
			}
		});
	}

	function sendForward(open: OpenJob, ownerId: string): void {
		send(ownerId, {
			kind: 'register.forward',
			request: open.request,
			incarnation: open.ticket!.incarnation,
			contentHash: open.contentHash,
			job: open.job,
		});
	}

	function startFinding(open: OpenJob): void {
		open.state = 'finding';
		const ownerId = findOwnerId(open.job.id);
		if (ownerId !== undefined) {
			sendFind(open, ownerId);
		}

		// The outcome is at the owner of the id alone, but every keeper knows who took over a table of tickets.
		let asked = 0;
		openJobs.retryUntilTimeout(open, claimTimeoutMs, () => {
			const keeperIds = getKeeperIds();
			const keeperId = keeperIds[asked++ % keeperIds.length];
			if (keeperId !== undefined) {
				sendFind(open, keeperId);
			}
		});
	}

	function sendFind(open: OpenJob, keeperId: string): void {
		send(keeperId, {
			kind: 'register.find-outcome',
			request: open.request,
			id: open.job.id,
			contentHash: open.contentHash,
			incarnation: open.ticket!.incarnation,
		});
	}

	return {
		route,
		release(open) {
			handover.findTable(open.ticket!.incarnation)?.releaseTicket(open.ticket!);
			for (const request of open.forwardedRequests) {
				refusedForwards.add(request);
			}
		},
		addOutcome(open) {
			outcomes.setOutcome(open.job.id, open.outcome);
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
				send(fromPeerId, {kind: 'register.answer', request, outcome: createConflict(job.id)});
				return;
			}

			const open = known ?? openJobs.add(job, contentHash);
			open.forwardedRequests.add(request);
			openJobs.addRemoteCopy(open, fromPeerId, request);
			if (known === undefined) {
				claimTicket(open, table);
			}
		},
		handleNotHere(fromPeerId, open, message) {
			if (fromPeerId !== open.forwardedToId || open.state !== 'forwarded') {
				return;
			}

			if (message.incarnation !== open.ticket!.incarnation) {
				// Another process speaks there now; the one that was asked may have started the job.
				startFinding(open);
				return;
			}

			open.mayHaveStarted = false;
			if (message.heirId !== undefined && members.has(message.heirId)) {
				forward(open, message.heirId);
			} else {
				openJobs.refuse(open, 'draining', 'this-copy');
			}
		},
		handleAnswer(open, message) {
			const decision = getRemoteDecision(message.outcome);
			const outcome = findDecodedOutcome(message.outcome);
			const isUncertain = outcome?.outcome === 'refused' && outcome.notRun === 'this-copy' && outcome.code !== 'content-conflict';
			// An earlier copy of the forwarded request may have run there all the same.
			openJobs.settle(open, isUncertain ? getDecisionWithoutAnswer(open, 'register-unreachable') : decision);
		},
		handleOutcomeFound(message) {
			const open = openJobs.findByRequest(message.request);
			if (open?.state !== 'finding') {
				return;
			}

			const {outcome, heirId, isConflict, isOwner} = message;
			const isHeirLive = heirId !== undefined && heirId !== ownId && members.has(heirId);
			if (isConflict) {
				openJobs.refuse(open, 'content-conflict', 'this-copy');
			} else if (outcome !== undefined) {
				openJobs.settle(open, getStoredDecision(outcome));
			} else if (isHeirLive && heirId !== open.forwardedToId && handover.findTable(open.ticket!.incarnation) === undefined) {
				forward(open, heirId);
			} else if (isOwner && handover.findTable(open.ticket!.incarnation) !== undefined) {
				openJobs.settle(open, getDecisionWithoutAnswer(open, 'outcome-expired'));
			} else if (isOwner) {
				openJobs.settle(open, getDecisionWithoutAnswer(open, 'ticket-owner-gone'));
			}
		},
		close() {
			refusedForwards.close();
		},
	};
}

function createConflict(id: string): Uint8Array {
	return encodeOutcome({
		outcome: 'refused',
		id,
		code: 'content-conflict',
		notRun: 'this-copy',
		message: 'the ticket was used for a job with other content',
	});
}
