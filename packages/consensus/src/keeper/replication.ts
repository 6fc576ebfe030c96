import type {TimerSubscription} from '@camphortack/core';
import type {Applier} from './applier.js';
import type {KeeperCore} from './keeper-core.js';
import type {KeeperMessageOf} from './keeper-messages.js';
import {getMajorityValue, type KeeperRecord} from './keeper-set.js';
import {
	feedTimeoutMs, learnerBatchMs, learnerHeartbeatMs, resendMs, snapshotPieceBytes,
} from './keeper-timings.js';
import {getEntryBatch} from './get-entry-batch.js';
import type {Command, LogEntry} from './log-entry.js';
import {createProgress, type Progress} from './progress.js';
import {encodeState, type EncodedState} from './snapshot-transfer.js';

/** Log replication at the leader: sends the log to the other keepers and advances the commit index. */
export type Replication = {
	/** Starts leading in the current term. */
	start(): void;
	stop(): void;
	/** Appends an entry in the current term and sends it to the voters. */
	append(command: Command): number;
	/** Whether an entry of the current term is committed. Only then does this keeper know every earlier committed entry. */
	isReady(): boolean;
	/** Whether proposals are accepted: this keeper is ready and is not handing over its leadership. */
	acceptsProposals(): boolean;
	/** Whether this keeper is leaving, and a voter that responds stays, to which leadership can be transferred. */
	isHandingOver(): boolean;
	/** Finds a voter that stays, responds and has the complete log. */
	findSuccessor(): KeeperRecord | undefined;
	findProgress(identity: string): Progress | undefined;
	handleAppendAnswer(message: KeeperMessageOf<'consensus.append-answer'>): void;
	handleSnapshotAnswer(message: KeeperMessageOf<'consensus.snapshot-answer'>): void;
	/** Calls back once a majority has responded to a message sent after this call. Never called if this keeper loses the leader role first. */
	addBarrier(onPassed: () => void): void;
	/** Gets the time since the last contact with a majority. */
	getQuorumAgeMs(): number;
};

export type ReplicationOptions = {
	core: KeeperCore;
	applier: Applier;
	/** Whether a voter is wanted, so that every learner has to respond to each heartbeat. */
	needsVoter: () => boolean;
	/** Whether no learner can take over the votes of keepers that are leaving. */
	areVotesKept: () => boolean;
	/** Called after each response to an append message. */
	onProgress: (progress: Progress) => void;
};

/**
 * Creates the replication component of a keeper.
 * @param options - The keeper's shared state, the applier and a callback.
 */
export function createReplication(options: ReplicationOptions): Replication {
	const {core, applier, needsVoter, areVotesKept, onProgress} = options;
	const {store, timings} = core;
	const {timers, events} = core.options;
	let progressByIdentity = new Map<string, Progress>();
	let barriers: Array<{round: number; onPassed: () => void}> = [];
	let round = 0;
	let firstIndexOfTerm = 0;
	let encodedState: EncodedState | undefined;
	let heartbeatTimer: TimerSubscription | undefined;
	let learnerBatchTimer: TimerSubscription | undefined;
	let leaderSinceMs = 0;

	function updateProgressMap(): void {
		const updated = new Map<string, Progress>();
		for (const record of core.getOtherKeepers()) {
			const progress = progressByIdentity.get(record.identity) ?? createProgress(record, store.getLastIndex(), timers.getNowMs());
			progress.record = record;
			updated.set(record.identity, progress);
		}

		progressByIdentity = updated;
	}

	function append(command: Command): number {
		const entry: LogEntry = {index: store.getLastIndex() + 1, term: store.getTerm(), command};
		const {term} = entry;
		store.appendEntries([entry], () => {
			if (!core.isStopped && core.role === 'leader' && store.getTerm() === term) {
				advanceCommitIndex();
			}
		});
		if (command.type === 'set-keepers') {
			updateProgressMap();
		}

		sendToVoters();
		return entry.index;
	}

	function sendToVoters(): void {
		for (const progress of progressByIdentity.values()) {
			if (progress.record.role === 'voter') {
				send(progress);
			}
		}
	}

	function sendToLearners(): void {
		for (const progress of progressByIdentity.values()) {
			if (progress.record.role === 'learner' && progress.nextIndex <= store.getCommitIndex()) {
				send(progress);
			}
		}
	}

	function send(progress: Progress): void {
		progress.lastSentMs = timers.getNowMs();
		if (progress.nextIndex <= store.getBase().index || progress.transfer !== undefined) {
			sendSnapshotPiece(progress);
		} else {
			sendEntries(progress);
		}
	}

	function sendEntries(progress: Progress): void {
		const {record, nextIndex} = progress;
		const entries = getEntryBatch(store, nextIndex, record.role === 'learner' ? store.getCommitIndex() : store.getLastIndex());
		progress.nextIndex += entries.length;
		core.send(record.keeperId, {
			kind: 'consensus.append',
			...core.getMessageHeader(record.identity),
			...(progress.matchIndex === 0 && {clusterId: store.getBinding()!.clusterId}),
			previousIndex: nextIndex - 1,
			previousTerm: store.findTermAt(nextIndex - 1)!,
			entries,
			commitIndex: store.getCommitIndex(),
			round,
			...(progress.isLeaving && areVotesKept() && {isVoteKept: true}),
		});
	}

	function sendSnapshotPiece(progress: Progress): void {
		progress.transfer ??= {state: getEncodedState(), offset: 0};
		const {state, offset} = progress.transfer;
		const end = Math.min(state.bytes.length, offset + snapshotPieceBytes);
		core.send(progress.record.keeperId, {
			kind: 'consensus.snapshot-piece',
			...core.getMessageHeader(progress.record.identity),
			clusterId: store.getBinding()!.clusterId,
			lastIndex: state.lastIndex,
			lastTerm: state.lastTerm,
			offset,
			isLast: end === state.bytes.length,
			bytes: state.bytes.slice(offset, end),
		});
	}

	/** Reuses the encoded state while the log still reaches back to its index. */
	function getEncodedState(): EncodedState {
		if (encodedState === undefined || encodedState.lastIndex < store.getBase().index) {
			encodedState = encodeState(core, applier.getAppliedIndex());
		}

		return encodedState;
	}

	function advanceCommitIndex(): void {
		const matchIndexes = core.getVoters().map(voter => (voter.identity === store.getIdentity() ? store.getSyncedIndex() : progressByIdentity.get(voter.identity)?.matchIndex ?? 0));
		const index = getMajorityValue(matchIndexes);
		if (index <= store.getCommitIndex() || store.findTermAt(index) !== store.getTerm()) {
			return;
		}

		applier.commit(index);
		markAllBehind();
		if (core.getVoters().length > 1) {
			return;
		}

		learnerBatchTimer ??= timers.addTimer(learnerBatchMs, () => {
			learnerBatchTimer = undefined;
			sendToLearners();
		});
	}

	/** Records since when each keeper lags. The other voters send new entries to the learners; the leader takes over for a learner that lags for too long. */
	function markAllBehind(): void {
		for (const progress of progressByIdentity.values()) {
			progress.behindSinceMs ??= timers.getNowMs();
		}
	}

	function sendHeartbeats(): void {
		if (getQuorumAgeMs() > timings.quorumTimeoutMs) {
			core.becomeFollower(store.getTerm());
			return;
		}

		round++;
		const nowMs = timers.getNowMs();
		for (const progress of progressByIdentity.values()) {
			if (nowMs - progress.lastSentMs >= getIntervalMs(progress)) {
				send(progress);
			}
		}
	}

	/** Whether a keeper is leaving and has not ended yet: it repeats that it is leaving with each heartbeat. */
	function isLeavingNow({isLeaving, lastResponseMs}: Progress): boolean {
		return isLeaving && timers.getNowMs() - lastResponseMs < timings.quorumTimeoutMs;
	}

	function getIntervalMs(progress: Progress): number {
		if (progress.transfer !== undefined) {
			return resendMs;
		}

		if (progress.record.role === 'voter' || isLeavingNow(progress) || needsVoter()) {
			return 0;
		}

		const behindMs = progress.behindSinceMs === undefined ? 0 : timers.getNowMs() - progress.behindSinceMs;
		return behindMs > feedTimeoutMs ? resendMs : learnerHeartbeatMs;
	}

	function getQuorumAgeMs(): number {
		const nowMs = timers.getNowMs();
		const contactTimesMs = core.getVoters().map(voter => (voter.identity === store.getIdentity() ? nowMs : progressByIdentity.get(voter.identity)?.lastResponseMs ?? leaderSinceMs));
		return nowMs - getMajorityValue(contactTimesMs);
	}

	function passBarriers(): void {
		const acknowledgedRounds = core.getVoters().map(voter => (voter.identity === store.getIdentity() ? round : progressByIdentity.get(voter.identity)?.acknowledgedRound ?? 0));
		const passedRound = getMajorityValue(acknowledgedRounds);
		const passed = barriers.filter(barrier => barrier.round <= passedRound);
		barriers = barriers.filter(barrier => barrier.round > passedRound);
		for (const barrier of passed) {
			barrier.onPassed();
		}
	}

	function findCurrentProgress(message: KeeperMessageOf<'consensus.append-answer' | 'consensus.snapshot-answer'>): Progress | undefined {
		if (message.term > store.getTerm()) {
			core.becomeFollower(message.term);
		}

		const isCurrent = core.role === 'leader' && message.term === store.getTerm();
		return isCurrent ? progressByIdentity.get(message.fromIdentity) : undefined;
	}

	function handleMatch(progress: Progress, index: number): void {
		progress.matchIndex = Math.max(progress.matchIndex, index);
		progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
		if (progress.matchIndex >= store.getCommitIndex()) {
			progress.behindSinceMs = undefined;
		}

		if (progress.transfer !== undefined && progress.matchIndex >= progress.transfer.state.lastIndex) {
			progress.transfer = undefined;
		}

		advanceCommitIndex();
		if (core.role === 'leader' && progress.transfer === undefined && shouldSendNow(progress)) {
			send(progress);
		}
	}

	/** Whether the next entries should be sent immediately. Entries for learners may be batched first. */
	function shouldSendNow(progress: Progress): boolean {
		if (progress.record.role === 'voter') {
			return progress.nextIndex <= store.getLastIndex();
		}

		const isWithinFeedTimeout = progress.behindSinceMs === undefined || timers.getNowMs() - progress.behindSinceMs <= feedTimeoutMs;
		return learnerBatchTimer === undefined && !isWithinFeedTimeout && progress.nextIndex <= store.getCommitIndex();
	}

	function handleMismatch(progress: Progress, hintIndex: number): void {
		const nextIndex = Math.max(progress.matchIndex + 1, Math.min(progress.nextIndex, hintIndex + 1));
		if (nextIndex !== progress.nextIndex) {
			progress.nextIndex = nextIndex;
			send(progress);
		}
	}

	function isReady(): boolean {
		return core.role === 'leader' && store.getCommitIndex() >= firstIndexOfTerm;
	}

	function getStayingVoters(): Progress[] {
		const oldestMs = timers.getNowMs() - timings.quorumTimeoutMs;
		return [...progressByIdentity.values()].filter(({record, isLeaving, lastResponseMs}) => record.role === 'voter' && !isLeaving && lastResponseMs > oldestMs);
	}

	function isHandingOver(): boolean {
		return core.isLeaving && getStayingVoters().length > 0;
	}

	return {
		start() {
			leaderSinceMs = timers.getNowMs();
			progressByIdentity = new Map();
			barriers = [];
			encodedState = undefined;
			core.leaderId = core.options.ownId;
			core.leaderIdentity = store.getIdentity();
			updateProgressMap();
			events.write('leader-elected', {term: store.getTerm()});
			heartbeatTimer = timers.addInterval(timings.heartbeatMs, sendHeartbeats);
			firstIndexOfTerm = store.getLastIndex() + 1;
			append({type: 'no-operation'});
			for (const progress of progressByIdentity.values()) {
				if (progress.record.role === 'learner') {
					send(progress);
				}
			}
		},
		stop() {
			heartbeatTimer?.cancel();
			learnerBatchTimer?.cancel();
			learnerBatchTimer = undefined;
			encodedState = undefined;
			barriers = [];
		},
		append,
		isReady,
		acceptsProposals: () => isReady() && !isHandingOver(),
		isHandingOver,
		findSuccessor: () => getStayingVoters().find(({matchIndex}) => matchIndex >= store.getLastIndex())?.record,
		findProgress: identity => progressByIdentity.get(identity),
		handleAppendAnswer(message) {
			const progress = findCurrentProgress(message);
			if (progress === undefined) {
				return;
			}

			progress.lastResponseMs = timers.getNowMs();
			progress.isLeaving = message.isLeaving ?? false;
			progress.acknowledgedRound = Math.max(progress.acknowledgedRound, message.round);
			if (message.isMatched) {
				handleMatch(progress, message.index);
			} else {
				handleMismatch(progress, message.index);
			}

			passBarriers();
			onProgress(progress);
		},
		handleSnapshotAnswer(message) {
			const progress = findCurrentProgress(message);
			if (progress === undefined) {
				return;
			}

			progress.lastResponseMs = timers.getNowMs();
			const {transfer} = progress;
			if (transfer?.state.lastIndex === message.lastIndex && transfer.offset !== message.nextOffset) {
				transfer.offset = Math.min(message.nextOffset, transfer.state.bytes.length);
				send(progress);
			}
		},
		addBarrier(onPassed) {
			round++;
			barriers.push({round, onPassed});
			sendToVoters();
			passBarriers();
		},
		getQuorumAgeMs,
	};
}
