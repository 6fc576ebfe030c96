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
	/** Unique for each start of the process. */
	incarnation: string;
	timers: TimerService;
	random: RandomSource;
	metrics: MetricSink;
	/** Must also deliver messages to this daemon itself, for the keeper side in the same process. */
	peers: PeerNetwork;
	/** The table of the tickets issued by this process. */
	tickets: TicketTable;
	/** Runs a job forwarded by another daemon because this one issued or took over its ticket. `addOutcome` must be called when it ends. */
	startForwardedJob: (job: Job) => void;
	/** Maximum time to wait for the owner of an id. */
	claimTimeoutMs?: number;
	/** Maximum number of outcomes that are not stored yet. Beyond it, caller-chosen ids are refused and the oldest unsent outcomes of tickets are dropped. */
	maxUnstoredOutcomes?: number;
	/** Maximum size of the outcomes of tickets that are kept locally to answer resubmissions. */
	maxTicketOutcomeBytes?: number;
};

export type RegisterClientStatus = {
	openJobs: number;
	unstoredOutcomes: number;
	startedTickets: number;
};

/** The client side of the job register in an entry daemon: determines whether a submitted job may start at this daemon. */
export type RegisterClient = {
	/**
	 * Claims a job.
	 * @param onDecision - Called with `start`, `outcome` or `refused`, preceded by one `attach` if the copy has to wait for another.
	 */
	claimJob(job: Job, contentHash: string, onDecision: (decision: ClaimDecision) => void): void;
	/** Records the outcome of a job that got the decision `start`. A refused job ran nothing and may be claimed again. */
	addOutcome(id: string, outcome: JobOutcome): void;
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	setMembers(members: readonly Member[]): void;
	setAssignment(assignment: RegisterAssignment): void;
	/**
	 * Transfers the ticket tables to a successor. Call it at a planned stop, when no job is running. `onDone` is not
	 * called if the successor stops responding, so the caller must limit the wait; the tickets are then lost with this
	 * process.
	 */
	handOverTickets(successorId: string, onDone: () => void): void;
	getStatus(): RegisterClientStatus;
	close(): void;
};

const defaultClaimTimeoutMs = 2000;
const defaultMaxUnstoredOutcomes = 10_000;
const defaultMaxTicketOutcomeBytes = 16_777_216;

/**
 * Creates the client side of the job register.
 * @param options - The ticket table, the ports and the limits.
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
		maxUnstoredOutcomes = defaultMaxUnstoredOutcomes,
		maxTicketOutcomeBytes = defaultMaxTicketOutcomeBytes,
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
		onStored: removeStoredJob,
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
	const chosenIdClaims = createChosenIdClaims({
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
		maxOutcomeBytes: maxTicketOutcomeBytes,
		findOwnerId,
		getKeeperIds,
		send,
	});

	function removeStoredJob(item: OutcomeItem): void {
		const openJob = openJobs.findById(item.id);
		if (openJob?.claim === item.claim && openJob.state === 'ended') {
			openJobs.remove(openJob);
		}
	}

	function claimJob(job: Job, contentHash: string, onDecision: (decision: ClaimDecision) => void): void {
		const openJob = openJobs.findById(job.id);
		if (openJob === undefined) {
			claimUnknownJob(job, contentHash, onDecision);
		} else if (openJob.contentHash !== contentHash) {
			onDecision({kind: 'refused', code: 'content-conflict', notRun: 'this-copy'});
		} else if (openJob.outcome === undefined) {
			onDecision({kind: 'attach'});
			openJobs.addLocalCopy(openJob, job.deadlineMs, onDecision);
		} else {
			onDecision(getStoredDecision(openJob.outcome));
		}
	}

	function claimUnknownJob(job: Job, contentHash: string, onDecision: (decision: ClaimDecision) => void): void {
		const isTicket = parseTicket(job.id) !== undefined;
		if (!isTicket && outbox.getCount() >= maxUnstoredOutcomes) {
			onDecision({kind: 'refused', code: 'register-unreachable', notRun: 'this-copy'});
			return;
		}

		const openJob = openJobs.add(job, contentHash);
		openJobs.addLocalCopy(openJob, job.deadlineMs, onDecision);
		if (isTicket) {
			router.route(openJob);
		} else {
			chosenIdClaims.claim(openJob);
		}
	}

	function addOutcome(id: string, outcome: JobOutcome): void {
		const openJob = openJobs.findById(id);
		if (openJob?.state !== 'running') {
			return;
		}

		if (outcome.outcome === 'refused') {
			(openJob.ticket === undefined ? chosenIdClaims : router).release(openJob);
			openJobs.settle(openJob, {kind: 'outcome', outcome});
			return;
		}

		openJobs.end(openJob, outcome);
		storeOutcome(openJob);
	}

	function storeOutcome(openJob: OpenJob): void {
		outbox.add({
			id: openJob.job.id,
			contentHash: openJob.contentHash,
			incarnation,
			claim: openJob.claim,
			...(openJob.outcome !== undefined && {outcome: openJob.outcome}),
		});
		if (openJob.ticket !== undefined) {
			router.addOutcome(openJob);
			openJobs.remove(openJob);
			outbox.dropOldest(maxUnstoredOutcomes, item => parseTicket(item.id) !== undefined);
		}
	}

	function handleAnswer(message: ClientMessageOf<'register.answer'>): void {
		const openJob = openJobs.findByRequest(message.request);
		if (openJob?.state === 'attached') {
			openJobs.settle(openJob, getRemoteDecision(message.outcome));
		} else if (openJob?.state === 'forwarded' || openJob?.state === 'finding') {
			router.handleAnswer(openJob, message);
		}
	}

	function handleNotHere(fromPeerId: string, message: ClientMessageOf<'register.not-here'>): void {
		const openJob = openJobs.findByRequest(message.request);
		if (openJob?.state === 'attached') {
			chosenIdClaims.handleNotHere(openJob);
		} else if (openJob?.state === 'forwarded') {
			router.handleNotHere(fromPeerId, openJob, message);
		}
	}

	function handleMessage(fromPeerId: string, message: ClientMessage): void {
		switch (message.kind) {
			case 'register.claim-answer': {
				chosenIdClaims.handleClaimAnswer(fromPeerId, message);
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
				chosenIdClaims.handleAttach(fromPeerId, message);
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
		handOverTickets(successorId, onDone) {
			handover.start(successorId, onDone);
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
