import type {
	Job, JobOutcome, Member, MetricSink, PeerMessage, PeerNetwork, RandomSource, TimerService,
} from '@camphortack/core';
import {
	clientMessageSchema, isClientMessage, type ClientMessage, type ClientMessageOf, type KeeperMessage, type OutcomeItem,
} from '../messages/register-messages.js';
import {getPartition, type RegisterAssignment} from '../partitions/assignment.js';
import {parseTicket} from '../tickets/ticket.js';
import type {TicketTable} from '../tickets/ticket-table.js';
import {createChosenIdClaims} from './chosen-id-claims.js';
import type {ClaimDecision} from './claim-decision.js';
import type {OpenJob} from './open-job.js';
import {createOpenJobs, getRemoteDecision, getStoredDecision} from './open-jobs.js';
import {createOutcomeOutbox} from './outcome-outbox.js';
import {createTableHandover} from './table-handover.js';
import {createTicketRouter} from './ticket-router.js';

export type RegisterClientOptions = {
	ownId: string;
	/** Fresh for each start of the process. */
	incarnation: string;
	timers: TimerService;
	random: RandomSource;
	metrics: MetricSink;
	/** Also delivers messages to this daemon itself, for the keeper's part in the same process. */
	peers: PeerNetwork;
	/** The tickets that this process issues. */
	tickets: TicketTable;
	/** Runs a job that another daemon forwarded because this one issued its ticket; then `addOutcome` is to be called. */
	startForwardedJob: (job: Job) => void;
	/** How long to wait for the owner of an id. */
	claimTimeoutMs?: number;
	/** The most outcomes that may wait for their keeper; beyond it, ids of the callers' choosing are refused. */
	maxUnstoredOutcomes?: number;
	/** The most bytes of outcomes of tickets kept here for resubmissions. */
	maxTicketOutcomeBytes?: number;
};

export type RegisterClientStatus = {
	openJobs: number;
	unstoredOutcomes: number;
	startedTickets: number;
};

/** The entry daemon's part: asks the owner of an id whether a job may start here. */
export type RegisterClient = {
	/**
	 * Claims a job.
	 * @param onDecision - Called with `start`, `outcome` or `refused`, after one `attach` if the copy has to wait.
	 */
	claimJob(job: Job, contentHash: string, onDecision: (decision: ClaimDecision) => void): void;
	/** Says how a job ended that was told to start. A refused one started nothing and may be claimed again. */
	addOutcome(id: string, outcome: JobOutcome): void;
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	setMembers(members: readonly Member[]): void;
	setAssignment(assignment: RegisterAssignment): void;
	/**
	 * Hands the tables of tickets to a neighbour, at a planned stop and once no job runs. `onDone` is not called if the
	 * neighbour falls silent, so bound the wait; the tickets then end with this process.
	 */
	handOverTickets(neighbourId: string, onDone: () => void): void;
	getStatus(): RegisterClientStatus;
	close(): void;
};

const defaultClaimTimeoutMs = 2000;
const defaultMostUnstoredOutcomes = 10_000;
const defaultMostTicketOutcomeBytes = 16_777_216;

/**
 * Creates the entry daemon's part of the job register.
 * @param options - The table of tickets, the ports and the bounds.
 *
 * @example
 * ```ts
 * client.claimJob(job, getContentHash(job), decision => {
 * 	if (decision.kind === 'start') {
 * 		dispatcher.submitJob(job, outcome => {
 * 			client.addOutcome(job.id, outcome);
 * 		});
 * 	}
 * });
 * ```
 */
export function createRegisterClient(options: RegisterClientOptions): RegisterClient {
	const {
		ownId, incarnation, timers, random, metrics, peers, tickets, startForwardedJob,
		claimTimeoutMs = defaultClaimTimeoutMs,
		maxUnstoredOutcomes = defaultMostUnstoredOutcomes,
		maxTicketOutcomeBytes = defaultMostTicketOutcomeBytes,
	} = options;
	const members = new Map<string, Member>();
	let assignment: RegisterAssignment | undefined;
	const send = (peerId: string, message: ClientMessage | KeeperMessage) => {
		peers.send(peerId, message);
	};

	const findOwnerId = (id: string) => assignment?.partitions[getPartition(id)]?.ownerId;
	const getKeeperIds = () => [...new Set(assignment?.partitions.map(partition => partition.ownerId))];
	const openJobs = createOpenJobs({
		incarnation,
		timers,
		send,
		startForwardedJob,
	});
	const outbox = createOutcomeOutbox({
		incarnation,
		timers,
		findOwnerId,
		send,
		onStored: removeStored,
	});
	const handover = createTableHandover({
		ownId,
		incarnation,
		timers,
		random,
		tickets,
		getKeeperIds,
		findIncarnation: daemonId => members.get(daemonId)?.incarnation,
		send,
	});
	const chosenIds = createChosenIdClaims({
		incarnation,
		openJobs,
		claimTimeoutMs,
		findOwnerId,
		send,
	});
	const router = createTicketRouter({
		ownId,
		incarnation,
		timers,
		openJobs,
		handover,
		members,
		claimTimeoutMs,
		mostOutcomeBytes: maxTicketOutcomeBytes,
		findOwnerId,
		getKeeperIds,
		send,
	});

	function removeStored(item: OutcomeItem): void {
		const open = openJobs.findById(item.id);
		if (open?.claim === item.claim && open.state === 'ended') {
			openJobs.remove(open);
		}
	}

	function claimJob(job: Job, contentHash: string, onDecision: (decision: ClaimDecision) => void): void {
		const open = openJobs.findById(job.id);
		if (open === undefined) {
			claimUnknownJob(job, contentHash, onDecision);
		} else if (open.contentHash !== contentHash) {
			onDecision({kind: 'refused', code: 'content-conflict', notRun: 'this-copy'});
		} else if (open.outcome === undefined) {
			onDecision({kind: 'attach'});
			openJobs.addLocalCopy(open, job.deadlineMs, onDecision);
		} else {
			onDecision(getStoredDecision(open.outcome));
		}
	}

	function claimUnknownJob(job: Job, contentHash: string, onDecision: (decision: ClaimDecision) => void): void {
		const isTicket = parseTicket(job.id) !== undefined;
		if (!isTicket && outbox.getCount() >= maxUnstoredOutcomes) {
			onDecision({kind: 'refused', code: 'register-unreachable', notRun: 'this-copy'});
			return;
		}

		const open = openJobs.add(job, contentHash);
		openJobs.addLocalCopy(open, job.deadlineMs, onDecision);
		if (isTicket) {
			router.route(open);
		} else {
			chosenIds.claim(open);
		}
	}

	function addOutcome(id: string, outcome: JobOutcome): void {
		const open = openJobs.findById(id);
		if (open?.state !== 'running') {
			return;
		}

		if (outcome.outcome === 'refused') {
			(open.ticket === undefined ? chosenIds : router).release(open);
			openJobs.settle(open, {kind: 'outcome', outcome});
			return;
		}

		openJobs.end(open, outcome);
		storeOutcome(open);
	}

	function storeOutcome(open: OpenJob): void {
		outbox.add({
			id: open.job.id,
			contentHash: open.contentHash,
			incarnation,
			claim: open.claim,
			...(open.outcome !== undefined && {outcome: open.outcome}),
		});
		if (open.ticket !== undefined) {
			router.addOutcome(open);
			openJobs.remove(open);
			outbox.dropOldest(maxUnstoredOutcomes, item => parseTicket(item.id) !== undefined);
		}
	}

	function handleAnswer(message: ClientMessageOf<'register.answer'>): void {
		const open = openJobs.findByRequest(message.request);
		if (open?.state === 'attached') {
			openJobs.settle(open, getRemoteDecision(message.outcome));
		} else if (open?.state === 'forwarded' || open?.state === 'finding') {
			router.handleAnswer(open, message);
		}
	}

	function handleNotHere(fromPeerId: string, message: ClientMessageOf<'register.not-here'>): void {
		const open = openJobs.findByRequest(message.request);
		if (open?.state === 'attached') {
			chosenIds.handleNotHere(open);
		} else if (open?.state === 'forwarded') {
			router.handleNotHere(fromPeerId, open, message);
		}
	}

	function handleMessage(fromPeerId: string, message: ClientMessage): void {
		switch (message.kind) {
			case 'register.claim-answer': {
				chosenIds.handleClaimAnswer(fromPeerId, message);
				break;
			}

			case 'register.outcomes-added': {
				outbox.handleAdded(message.batch);
				break;
			}

			case 'register.outcome-found': {
				router.handleOutcomeFound(message);
				break;
			}

			case 'register.heir-added': {
				handover.handleHeirAdded(fromPeerId, message);
				break;
			}

			case 'register.attach': {
				chosenIds.handleAttach(fromPeerId, message);
				break;
			}

			case 'register.not-here': {
				handleNotHere(fromPeerId, message);
				break;
			}

			case 'register.answer': {
				handleAnswer(message);
				break;
			}

			case 'register.forward': {
				router.handleForward(fromPeerId, message);
				break;
			}

			case 'register.table-part': {
				handover.handlePart(fromPeerId, message);
				break;
			}

			case 'register.table-part-taken': {
				handover.handlePartTaken(fromPeerId, message);
				break;
			}
		}
	}

	return {
		claimJob,
		addOutcome,
		handlePeerMessage(fromPeerId, message) {
			if (!isClientMessage(message)) {
				return;
			}

			const parsed = clientMessageSchema.safeParse(message);
			if (parsed.success) {
				handleMessage(fromPeerId, parsed.data);
			} else {
				metrics.increment('register-malformed');
			}
		},
		setMembers(next) {
			members.clear();
			for (const member of next) {
				members.set(member.id, member);
			}
		},
		setAssignment(next) {
			if (assignment === undefined || next.version > assignment.version) {
				assignment = next;
			}
		},
		handOverTickets(neighbourId, onDone) {
			handover.start(neighbourId, onDone);
		},
		getStatus: () => ({
			openJobs: openJobs.getCount(),
			unstoredOutcomes: outbox.getCount(),
			startedTickets: tickets.getStartedCount(),
		}),
		close() {
			outbox.close();
			handover.close();
			router.close();
		},
	};
}
