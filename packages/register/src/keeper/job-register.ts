import {
	maxTasksPerJob, type EventLog, type Member, type MetricSink, type PeerMessage, type PeerNetwork, type RandomSource, type TimerService,
} from '@camphortack/core';
import type {RecordLog} from '@camphortack/storage';
import {
	isKeeperMessage, isPartitionMessage, keeperMessageSchema, type ClaimAnswer, type ClientMessage, type KeeperMessage, type KeeperMessageOf, type PartitionMessage,
} from '../messages/register-messages.js';
import {encodeOutcome} from '../outcomes/outcome-codec.js';
import type {RegisterAssignment} from '../partitions/assignment.js';
import type {JobRecord} from './job-records.js';
import {createPartitionOwnership} from './partition-ownership.js';
import {createRegisterJournal} from './register-journal.js';
import {createRegisterState} from './register-state.js';

export type JobRegisterOptions = {
	ownId: string;
	/** The log that persists the register. */
	log: RecordLog;
	timers: TimerService;
	random: RandomSource;
	metrics: MetricSink;
	events: EventLog;
	peers: PeerNetwork;
	/** Whether this is the first start of the cluster. Only then does an empty log prove that no job has been claimed. */
	isFirstStart: boolean;
	/** Minimum time for which a record is kept. Must be at least twice the longest deadline. */
	retentionMs?: number;
	/** Maximum number of records; claims of unknown ids are refused once it is reached. */
	maxRecords?: number;
	/** Maximum size of the stored outcomes; older outcomes are dropped in bulk beyond it. */
	maxOutcomeBytes?: number;
	/** Claims of unknown ids are refused if the assignment has not been confirmed for this long. */
	authorityLeaseMs?: number;
	recordsPerSnapshot?: number;
};

export type JobRegisterStatus = {
	epoch: string;
	recordCount: number;
	outcomeBytes: number;
	ownedPartitions: number;
	quarantinedPartitions: number;
};

/** The keeper side of the job register: decides which daemon may start a job with a caller-chosen id, and stores outcomes. */
export type JobRegister = {
	/** Handles a peer message of kind `register.*`; ignores messages meant for the client side. */
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	/** Sets the assignment from the active configuration. Must be called before the first message is handled. */
	setAssignment(assignment: RegisterAssignment): void;
	/** Records that a majority of the keepers has just confirmed the assignment as the latest. */
	confirmAssignment(): void;
	/** Sets the live daemons. An incarnation that was replaced by another of the same daemon is marked as gone. */
	setMembers(members: readonly Member[]): void;
	/** Marks a process as gone, so that its running jobs count as failed. */
	markIncarnationGone(daemonId: string, incarnation: string): void;
	/** Writes a snapshot immediately instead of waiting for the log to grow. */
	writeSnapshot(): void;
	getStatus(): JobRegisterStatus;
	/** Stops the timers. The log must be closed by whoever opened it. */
	close(): void;
};

/** Default minimum time for which a record is kept. */
export const defaultRetentionMs = 3_600_000;
const defaultMaxRecords = 200_000;
const defaultMaxOutcomeBytes = 33_554_432;
const defaultRecordsPerSnapshot = 50_000;
const ticksPerRetention = 60;

/**
 * Creates the keeper side of the job register from its log.
 * @param options - The log, the ports and the limits.
 *
 * @example
 * ```ts
 * const register = createJobRegister({ownId, log, timers, random, metrics, events, peers, isFirstStart});
 * register.setAssignment(createAssignment(['keeper-1']));
 * register.handlePeerMessage('entry-1', message);
 * ```
 */
export function createJobRegister(options: JobRegisterOptions): JobRegister {
	const {
		ownId, log, timers, random, metrics, events, peers, isFirstStart,
		retentionMs = defaultRetentionMs,
		maxRecords = defaultMaxRecords,
		maxOutcomeBytes = defaultMaxOutcomeBytes,
		authorityLeaseMs = retentionMs / 2,
		recordsPerSnapshot = defaultRecordsPerSnapshot,
	} = options;
	const state = createRegisterState({retentionMs, maxOutcomeBytes});
	const journal = createRegisterJournal({
		log,
		state,
		timers,
		recordsPerSnapshot,
	});
	const unsyncedClaims = new Map<string, number>();
	const epoch = state.findEpoch() ?? startEpoch();
	const ownership = createPartitionOwnership({
		ownId,
		state,
		journal,
		timers,
		sendToKeeper,
		isFirstEpoch: epoch.isFirstStart,
		retentionMs,
		lostOwnerQuarantineMs: retentionMs + authorityLeaseMs,
	});
	let confirmedAtMs = timers.getNowMs();
	const tickInterval = timers.addInterval(retentionMs / ticksPerRetention, () => {
		state.records.dropExpired(journal.getNowMs());
		journal.write({kind: 'tick', atMs: journal.getNowMs()});
	});

	function startEpoch() {
		const started = {
			kind: 'epoch' as const,
			atMs: journal.getNowMs(),
			epoch: random.getIdentifier(),
			isFirstStart,
		};
		journal.write(started);
		if (!isFirstStart) {
			events.write('register-epoch-started', {epoch: started.epoch, retentionMs});
		}

		return started;
	}

	function sendToKeeper(peerId: string, message: KeeperMessage): void {
		peers.send(peerId, message);
	}

	function sendToClient(peerId: string, message: ClientMessage): void {
		peers.send(peerId, message);
	}

	function handleClaim(fromPeerId: string, message: KeeperMessageOf<'register.claim'>): void {
		const {id, claim, incarnation} = message;
		if (!ownership.isOwned(id)) {
			return;
		}

		markIncarnationAlive(fromPeerId, incarnation);
		const record = state.records.findRecord(id);
		const answer = record === undefined ? decideUnknownId(fromPeerId, message) : decideKnownId(record, message);
		if (answer !== undefined) {
			sendAnswer(fromPeerId, message, answer);
		} else if (record !== undefined && unsyncedClaims.get(id) !== claim) {
			sendAnswer(fromPeerId, message, {kind: 'start'});
		}
	}

	/** Decides a claim of an unknown id. Returns undefined if the claim is granted; the answer is then sent after the log is synced. */
	function decideUnknownId(fromPeerId: string, message: KeeperMessageOf<'register.claim'>): ClaimAnswer | undefined {
		const {
			id, contentHash, taskCount, incarnation, claim,
		} = message;
		if (ownership.isQuarantined(id)) {
			return {kind: 'refused', code: 'register-epoch', notRun: 'this-copy'};
		}

		if (timers.getNowMs() - confirmedAtMs > authorityLeaseMs) {
			return {kind: 'refused', code: 'register-unreachable', notRun: 'this-copy'};
		}

		if (state.records.getCount() >= maxRecords) {
			return {kind: 'refused', code: 'register-full', notRun: 'this-copy'};
		}

		unsyncedClaims.set(id, claim);
		journal.write({
			kind: 'claim',
			atMs: journal.getNowMs(),
			id,
			contentHash,
			daemonId: fromPeerId,
			incarnation,
			claim,
			taskCount,
		}, () => {
			unsyncedClaims.delete(id);
			sendAnswer(fromPeerId, message, {kind: 'start'});
		});
		return undefined;
	}

	/** Decides a claim of a known id. Returns undefined if this claim already holds the right to start the job. */
	function decideKnownId(record: JobRecord, message: KeeperMessageOf<'register.claim'>): ClaimAnswer | undefined {
		const {id, contentHash, incarnation, claim} = message;
		if (record.contentHash !== contentHash) {
			return {kind: 'refused', code: 'content-conflict', notRun: 'this-copy'};
		}

		if (record.isEnded) {
			const outcome = state.outcomes.findOutcome(id);
			return outcome === undefined ? {kind: 'refused', code: 'outcome-expired', notRun: 'this-copy'} : {kind: 'outcome', outcome};
		}

		if (record.claimant.incarnation === incarnation && record.claim === claim) {
			return undefined;
		}

		if (record.claimant.isGone) {
			return {kind: 'outcome', outcome: createLostOutcome(id, record.taskCount)};
		}

		return {
			kind: 'attach',
			daemonId: record.claimant.daemonId,
			incarnation: record.claimant.incarnation,
			claim: record.claim,
		};
	}

	function sendAnswer(peerId: string, message: KeeperMessageOf<'register.claim'>, answer: ClaimAnswer): void {
		const {id, claim, incarnation} = message;
		sendToClient(peerId, {
			kind: 'register.claim-answer',
			id,
			claim,
			incarnation,
			answer,
		});
	}

	function handleRelease(message: KeeperMessageOf<'register.release'>): void {
		const {id, incarnation, claim} = message;
		const record = state.records.findRecord(id);
		const isCurrentClaim = record !== undefined && !record.isEnded && record.claim === claim && record.claimant.incarnation === incarnation;
		if (isCurrentClaim && ownership.isOwned(id)) {
			journal.write({kind: 'release', id});
		}
	}

	function handleAddOutcomes(fromPeerId: string, message: KeeperMessageOf<'register.add-outcomes'>): void {
		const {batch, items} = message;
		if (items.some(item => !ownership.isOwned(item.id))) {
			return;
		}

		for (const item of items) {
			const record = state.records.findRecord(item.id);
			const isExpected = record === undefined || (!record.isEnded && record.claim === item.claim && record.claimant.incarnation === item.incarnation);
			if (isExpected) {
				journal.write({
					kind: 'outcome', atMs: journal.getNowMs(), daemonId: fromPeerId, ...item,
				});
			}
		}

		journal.flush(() => {
			sendToClient(fromPeerId, {kind: 'register.outcomes-added', batch});
		});
	}

	function handleFindOutcome(fromPeerId: string, message: KeeperMessageOf<'register.find-outcome'>): void {
		const {request, id, contentHash, incarnation} = message;
		const isOwner = ownership.isOwned(id);
		const heirId = state.successors.get(incarnation);
		if (!isOwner && heirId === undefined) {
			return;
		}

		const record = isOwner ? state.records.findRecord(id) : undefined;
		const isConflict = record !== undefined && record.contentHash !== contentHash;
		const outcome = record === undefined || isConflict ? undefined : state.outcomes.findOutcome(id);
		sendToClient(fromPeerId, {
			kind: 'register.outcome-found',
			request,
			isConflict,
			isOwner,
			...(outcome !== undefined && {outcome}),
			...(heirId !== undefined && {heirId}),
		});
	}

	function handleAddHeir(fromPeerId: string, message: KeeperMessageOf<'register.add-heir'>): void {
		const {incarnation, heirId} = message;
		journal.write({kind: 'heir', incarnation, heirId}, () => {
			sendToClient(fromPeerId, {kind: 'register.heir-added', incarnation});
		});
	}

	/** Reverts a mistaken `isGone` mark once a message from the process arrives. */
	function markIncarnationAlive(daemonId: string, incarnation: string): void {
		if (state.records.getClaimant(daemonId, incarnation).isGone) {
			journal.write({
				kind: 'process',
				daemonId,
				incarnation,
				isGone: false,
			});
		}
	}

	function markIncarnationGone(daemonId: string, incarnation: string): void {
		if (!state.records.getClaimant(daemonId, incarnation).isGone) {
			journal.write({
				kind: 'process',
				daemonId,
				incarnation,
				isGone: true,
			});
		}
	}

	function handleMessage(fromPeerId: string, message: Exclude<KeeperMessage, PartitionMessage>): void {
		switch (message.kind) {
			case 'register.claim': {
				handleClaim(fromPeerId, message);
				break;
			}

			case 'register.release': {
				handleRelease(message);
				break;
			}

			case 'register.add-outcomes': {
				handleAddOutcomes(fromPeerId, message);
				break;
			}

			case 'register.find-outcome': {
				handleFindOutcome(fromPeerId, message);
				break;
			}

			case 'register.add-heir': {
				handleAddHeir(fromPeerId, message);
				break;
			}
		}
	}

	return {
		handlePeerMessage(fromPeerId, message) {
			if (!isKeeperMessage(message)) {
				return;
			}

			const parsed = keeperMessageSchema.safeParse(message);
			if (!parsed.success) {
				metrics.increment('register-malformed');
			} else if (isPartitionMessage(parsed.data)) {
				ownership.handleMessage(fromPeerId, parsed.data);
			} else {
				handleMessage(fromPeerId, parsed.data);
			}
		},
		setAssignment(assignment) {
			ownership.setAssignment(assignment);
		},
		confirmAssignment() {
			confirmedAtMs = timers.getNowMs();
		},
		setMembers(members) {
			const incarnations = new Map(members.map(member => [member.id, member.incarnation]));
			for (const {daemonId, incarnation} of state.records.getClaimants()) {
				const current = incarnations.get(daemonId);
				if (current !== undefined && current !== incarnation) {
					markIncarnationGone(daemonId, incarnation);
				}
			}
		},
		markIncarnationGone,
		writeSnapshot: journal.writeSnapshot,
		getStatus: () => ({
			epoch: epoch.epoch,
			recordCount: state.records.getCount(),
			outcomeBytes: state.outcomes.getByteCount(),
			...ownership.getCounts(),
		}),
		close() {
			tickInterval.cancel();
			ownership.close();
		},
	};
}

function createLostOutcome(id: string, taskCount: number): Uint8Array {
	const tasks = Array.from({length: Math.min(taskCount, maxTasksPerJob)}, (_, index) => ({index, state: 'may-have-run' as const}));
	return encodeOutcome({
		outcome: 'failed',
		id,
		reason: 'daemon-lost',
		tasks,
	});
}
