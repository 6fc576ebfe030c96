import type {TimerSubscription} from '@camphortack/core';
import type {Applier} from './applier.js';
import type {KeeperCore} from './keeper-core.js';
import type {KeeperMessageOf} from './keeper-messages.js';
import {getMajority, getMajorityValue} from './keeper-set.js';
import {
	feedTimeoutMs, learnerBatchMs, learnerHeartbeatMs, resendMs, snapshotPieceBytes,
} from './keeper-timings.js';
import {getEntryBatch} from './get-entry-batch.js';
import type {Command, LogEntry} from './log-entry.js';
import {createProgress, type Progress} from './progress.js';
import {encodeState, type EncodedState} from './snapshot-transfer.js';

/** The leader's work: sends the log to the other keepers and finds out what a majority has. */
export type Replication = {
	/** Starts to lead in the present term. */
	start(): void;
	stop(): void;
	/** Appends an entry in the present term and sends it to the voters. */
	append(command: Command): number;
	/** Whether an entry of the present term is agreed; only then does this keeper know everything agreed before. */
	isReady(): boolean;
	findProgress(identity: string): Progress | undefined;
	handleAppendAnswer(message: KeeperMessageOf<'consensus.append-answer'>): void;
	handleSnapshotAnswer(message: KeeperMessageOf<'consensus.snapshot-answer'>): void;
	/** Calls back once a majority has answered a message sent after this call. Dropped if this keeper stops leading. */
	addBarrier(onPassed: () => void): void;
	/** Gets the time since a majority was heard. */
	getQuorumAgeMs(): number;
};

export type ReplicationOptions = {
	core: KeeperCore;
	applier: Applier;
	/** Called after each answer of another keeper. */
	onProgress: (progress: Progress) => void;
};

/**
 * Creates the replication part of a keeper.
 * @param options - What it works on.
 */
export function createReplication(options: ReplicationOptions): Replication {
	const {core, applier, onProgress} = options;
	const {store, timings} = core;
	const {timers, events} = core.options;
	let progresses = new Map<string, Progress>();
	let barriers: Array<{round: number; onPassed: () => void}> = [];
	let round = 0;
	let firstIndexOfTerm = 0;
	let encodedState: EncodedState | undefined;
	let heartbeat: TimerSubscription | undefined;
	let learnerBatch: TimerSubscription | undefined;
	let startedAtMs = 0;

	function updateProgresses(): void {
		const updated = new Map<string, Progress>();
		for (const record of core.getOthers()) {
			const known = progresses.get(record.identity) ?? createProgress(record, store.getLastIndex(), timers.getNowMs());
			known.record = record;
			updated.set(record.identity, known);
		}

		progresses = updated;
	}

	function append(command: Command): number {
		const entry: LogEntry = {index: store.getLastIndex() + 1, term: store.getTerm(), command};
		const {term} = entry;
		store.appendEntries([entry], () => {
			if (!core.isStopped && core.role === 'leader' && store.getTerm() === term) {
				commitByMajority();
			}
		});
		if (command.type === 'set-keepers') {
			updateProgresses();
		}

		sendToVoters();
		return entry.index;
	}

	function sendToVoters(): void {
		for (const progress of progresses.values()) {
			if (progress.record.role === 'voter') {
				send(progress);
			}
		}
	}

	function sendToLearners(): void {
		for (const progress of progresses.values()) {
			if (progress.record.role === 'learner' && progress.nextIndex <= store.getCommitIndex()) {
				send(progress);
			}
		}
	}

	function send(progress: Progress): void {
		progress.sentAtMs = timers.getNowMs();
		if (progress.nextIndex <= store.getBase().index || progress.transfer !== undefined) {
			sendPiece(progress);
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
			...core.getAddress(record.identity),
			...(progress.matchIndex === 0 && {clusterId: store.getBinding()!.clusterId}),
			previousIndex: nextIndex - 1,
			previousTerm: store.findTermAt(nextIndex - 1)!,
			entries,
			commitIndex: store.getCommitIndex(),
			round,
		});
	}

	function sendPiece(progress: Progress): void {
		progress.transfer ??= {state: getEncodedState(), offset: 0};
		const {state, offset} = progress.transfer;
		const end = Math.min(state.bytes.length, offset + snapshotPieceBytes);
		core.send(progress.record.keeperId, {
			kind: 'consensus.snapshot-piece',
			...core.getAddress(progress.record.identity),
			clusterId: store.getBinding()!.clusterId,
			lastIndex: state.lastIndex,
			lastTerm: state.lastTerm,
			offset,
			isLast: end === state.bytes.length,
			bytes: state.bytes.slice(offset, end),
		});
	}

	/** Encodes the state anew only if the log no longer reaches back to the last encoding. */
	function getEncodedState(): EncodedState {
		if (encodedState === undefined || encodedState.lastIndex < store.getBase().index) {
			encodedState = encodeState(core, applier.getAppliedIndex());
		}

		return encodedState;
	}

	function commitByMajority(): void {
		const reached = core.getVoters().map(voter => (voter.identity === store.getIdentity() ? store.getSyncedIndex() : progresses.get(voter.identity)?.matchIndex ?? 0));
		const index = getMajorityValue(reached);
		if (index <= store.getCommitIndex() || store.findTermAt(index) !== store.getTerm()) {
			return;
		}

		applier.commit(index);
		noteLearnersBehind();
		if (core.getVoters().length > 1) {
			return;
		}

		learnerBatch ??= timers.addTimer(learnerBatchMs, () => {
			learnerBatch = undefined;
			sendToLearners();
		});
	}

	/** Other voters pass new entries on to the learners; one that stays behind is helped after a while. */
	function noteLearnersBehind(): void {
		for (const progress of progresses.values()) {
			progress.behindSinceMs ??= timers.getNowMs();
		}
	}

	function beat(): void {
		if (getQuorumAgeMs() > timings.quorumTimeoutMs) {
			core.becomeFollower(store.getTerm());
			return;
		}

		round++;
		const nowMs = timers.getNowMs();
		for (const progress of progresses.values()) {
			if (nowMs - progress.sentAtMs >= getIntervalMs(progress)) {
				send(progress);
			}
		}
	}

	function getIntervalMs(progress: Progress): number {
		if (progress.transfer !== undefined) {
			return resendMs;
		}

		if (progress.record.role === 'voter') {
			return 0;
		}

		const behindMs = progress.behindSinceMs === undefined ? 0 : timers.getNowMs() - progress.behindSinceMs;
		return behindMs > feedTimeoutMs ? resendMs : learnerHeartbeatMs;
	}

	function getQuorumAgeMs(): number {
		const nowMs = timers.getNowMs();
		const heardAtMs = core.getVoters().map(voter => (voter.identity === store.getIdentity() ? nowMs : progresses.get(voter.identity)?.answeredAtMs ?? startedAtMs));
		return nowMs - getMajorityValue(heardAtMs);
	}

	function passBarriers(): void {
		const answered = core.getVoters().map(voter => (voter.identity === store.getIdentity() ? round : progresses.get(voter.identity)?.answeredRound ?? 0));
		const passedRound = getMajorityValue(answered);
		const passed = barriers.filter(barrier => barrier.round <= passedRound);
		barriers = barriers.filter(barrier => barrier.round > passedRound);
		for (const barrier of passed) {
			barrier.onPassed();
		}
	}

	function findCurrent(message: KeeperMessageOf<'consensus.append-answer' | 'consensus.snapshot-answer'>): Progress | undefined {
		if (message.term > store.getTerm()) {
			core.becomeFollower(message.term);
		}

		const isCurrent = core.role === 'leader' && message.term === store.getTerm();
		return isCurrent ? progresses.get(message.fromIdentity) : undefined;
	}

	function addMatch(progress: Progress, index: number): void {
		progress.matchIndex = Math.max(progress.matchIndex, index);
		progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
		if (progress.matchIndex >= store.getCommitIndex()) {
			progress.behindSinceMs = undefined;
		}

		if (progress.transfer !== undefined && progress.matchIndex >= progress.transfer.state.lastIndex) {
			progress.transfer = undefined;
		}

		commitByMajority();
		if (core.role === 'leader' && progress.transfer === undefined && hasMore(progress)) {
			send(progress);
		}
	}

	/** Whether the next entries should go out at once; those for learners may be gathered first. */
	function hasMore(progress: Progress): boolean {
		if (progress.record.role === 'voter') {
			return progress.nextIndex <= store.getLastIndex();
		}

		const isFed = progress.behindSinceMs === undefined || timers.getNowMs() - progress.behindSinceMs <= feedTimeoutMs;
		return learnerBatch === undefined && !isFed && progress.nextIndex <= store.getCommitIndex();
	}

	function handleMismatch(progress: Progress, hintIndex: number): void {
		const nextIndex = Math.max(progress.matchIndex + 1, Math.min(progress.nextIndex, hintIndex + 1));
		if (nextIndex !== progress.nextIndex) {
			progress.nextIndex = nextIndex;
			send(progress);
		}
	}

	return {
		start() {
			startedAtMs = timers.getNowMs();
			progresses = new Map();
			barriers = [];
			encodedState = undefined;
			core.leaderId = core.options.ownId;
			core.leaderIdentity = store.getIdentity();
			updateProgresses();
			events.write('leader-elected', {term: store.getTerm()});
			heartbeat = timers.addInterval(timings.heartbeatMs, beat);
			firstIndexOfTerm = store.getLastIndex() + 1;
			append({type: 'no-operation'});
			for (const progress of progresses.values()) {
				if (progress.record.role === 'learner') {
					send(progress);
				}
			}
		},
		stop() {
			heartbeat?.cancel();
			learnerBatch?.cancel();
			learnerBatch = undefined;
			encodedState = undefined;
			barriers = [];
		},
		append,
		isReady: () => core.role === 'leader' && store.getCommitIndex() >= firstIndexOfTerm,
		findProgress: identity => progresses.get(identity),
		handleAppendAnswer(message) {
			const progress = findCurrent(message);
			if (progress === undefined) {
				return;
			}

			progress.answeredAtMs = timers.getNowMs();
			progress.answeredRound = Math.max(progress.answeredRound, message.round);
			if (message.isMatched) {
				addMatch(progress, message.index);
			} else {
				handleMismatch(progress, message.index);
			}

			passBarriers();
			onProgress(progress);
		},
		handleSnapshotAnswer(message) {
			const progress = findCurrent(message);
			if (progress === undefined) {
				return;
			}

			progress.answeredAtMs = timers.getNowMs();
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
