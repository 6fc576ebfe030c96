import type {
	Member, MetricSink, TimerService, TimerSubscription,
} from '@camphortack/core';
import type {OpenJob, OpenTask} from '../jobs/open-job.js';
import type {OutcomeMessage, PoolLoad, SendDispatchMessage} from '../messages/dispatch-messages.js';
import {applyPartOutcome, type PartResult} from './apply-part-outcome.js';

export type PartSenderOptions = {
	incarnation: string;
	timers: TimerService;
	metrics: MetricSink;
	send: SendDispatchMessage;
	getLoads: (pool: string) => PoolLoad[];
	/** Gets the number of backend servers that a task may have crashed. */
	getLostServerCount: (task: OpenTask) => number;
	/** Called when a part ends, after its tasks have been updated. */
	onPartEnd: (part: HandedOverPart, result: PartResult) => void;
};

/** Tasks of one job that were handed over to another daemon. */
export type HandedOverPart = {
	readonly peerId: string;
	readonly sequence: number;
	readonly job: OpenJob;
	readonly tasks: readonly OpenTask[];
	readonly sentMs: number;
};

/** Hands tasks over to other daemons and handles their outcomes. */
export type PartSender = {
	setMembers(members: readonly Member[]): void;
	/** Hands over tasks of one job; returns false if the daemon is not a member or the deadline is too close. */
	sendPart(peerId: string, job: OpenJob, tasks: readonly OpenTask[]): boolean;
	handleOutcome(peerId: string, message: OutcomeMessage): void;
	/** Cancels the parts of an aborted job at the daemons that run them. */
	cancelJob(job: OpenJob): void;
	/** Finds when the oldest part without an outcome was sent to a daemon. */
	findOldestOpenSentMs(peerId: string): number | undefined;
	getOpenCount(): number;
};

type Peer = {
	member: Member;
	nextSequence: number;
	readonly open: Map<number, HandedOverPart>;
	queryTimer: TimerSubscription | undefined;
	queryDelayMs: number;
};

const initialQueryDelayMs = 3000;
const maxQueryDelayMs = 30_000;
/** Subtracted from the deadline of a part, so that its outcome arrives before the deadline of the job. */
const deadlineMarginMs = 10;

export function createPartSender(options: PartSenderOptions): PartSender {
	const {incarnation, timers, metrics, send} = options;
	const peers = new Map<string, Peer>();

	function setMembers(members: readonly Member[]): void {
		const incarnations = new Map(members.map(member => [member.id, member.incarnation]));
		for (const [peerId, peer] of peers) {
			if (incarnations.get(peerId) !== peer.member.incarnation) {
				removePeer(peerId, peer);
			}
		}

		for (const member of members) {
			if (!peers.has(member.id)) {
				peers.set(member.id, {
					member,
					nextSequence: 0,
					open: new Map(),
					queryTimer: undefined,
					queryDelayMs: initialQueryDelayMs,
				});
			}
		}
	}

	function removePeer(peerId: string, peer: Peer): void {
		peers.delete(peerId);
		peer.queryTimer?.cancel();
		for (const part of peer.open.values()) {
			options.onPartEnd(part, {kind: 'lost'});
		}
	}

	function sendPart(peerId: string, job: OpenJob, tasks: readonly OpenTask[]): boolean {
		const peer = peers.get(peerId);
		const deadlineMs = job.deadlineAtMs - timers.getNowMs() - deadlineMarginMs;
		if (peer === undefined || deadlineMs <= 0) {
			return false;
		}

		const sequence = peer.nextSequence++;
		peer.open.set(sequence, {
			peerId, sequence, job, tasks, sentMs: timers.getNowMs(),
		});
		for (const task of tasks) {
			task.state = 'handed-over';
		}

		job.hasStarted = true;
		metrics.increment('part-sent');
		send(peerId, {
			kind: 'dispatch.job',
			receiverIncarnation: peer.member.incarnation,
			senderIncarnation: incarnation,
			sequence,
			settledBelow: getSettledBelow(peer),
			handovers: job.handovers + 1,
			id: job.id,
			customer: job.customer,
			service: job.service,
			deadlineMs,
			idempotent: job.idempotent,
			indexes: tasks.map(task => task.index),
			lostServers: tasks.map(task => options.getLostServerCount(task)),
			tasks: tasks.map(task => ({payload: task.payload, declaredRunTimeMs: task.declaredRunTimeMs, needs: task.needs})),
			loads: options.getLoads(job.pool),
		});
		scheduleQuery(peer);
		return true;
	}

	function getSettledBelow(peer: Peer): number {
		const [oldest] = peer.open.keys();
		return oldest ?? peer.nextSequence;
	}

	/** Schedules a query for parts whose outcome is overdue, because a message may have been lost. */
	function scheduleQuery(peer: Peer): void {
		if (peer.queryTimer !== undefined || peer.open.size === 0) {
			return;
		}

		const [oldest] = peer.open.values();
		const ageMs = timers.getNowMs() - oldest!.sentMs;
		peer.queryTimer = timers.addTimer(Math.max(peer.queryDelayMs - ageMs, initialQueryDelayMs / 2), () => {
			peer.queryTimer = undefined;
			sendQuery(peer);
			scheduleQuery(peer);
		});
	}

	function sendQuery(peer: Peer): void {
		const nowMs = timers.getNowMs();
		const overdueParts = [...peer.open.values()].filter(part => nowMs - part.sentMs >= initialQueryDelayMs);
		if (overdueParts.length === 0) {
			peer.queryDelayMs = initialQueryDelayMs;
			return;
		}

		peer.queryDelayMs = Math.min(maxQueryDelayMs, 2 * peer.queryDelayMs);
		metrics.increment('part-query');
		send(peer.member.id, {
			kind: 'dispatch.query',
			receiverIncarnation: peer.member.incarnation,
			senderIncarnation: incarnation,
			settledBelow: getSettledBelow(peer),
			sequences: overdueParts.map(part => part.sequence),
		});
	}

	function handleOutcome(peerId: string, message: OutcomeMessage): void {
		const peer = peers.get(peerId);
		const part = peer?.open.get(message.sequence);
		if (peer === undefined || part === undefined || message.receiverIncarnation !== incarnation) {
			metrics.increment('answer-discarded-doubled');
			return;
		}

		peer.open.delete(message.sequence);
		if (peer.open.size === 0) {
			peer.queryTimer?.cancel();
			peer.queryTimer = undefined;
			peer.queryDelayMs = initialQueryDelayMs;
		}

		if (part.job.hasEnded) {
			metrics.increment('answer-discarded-late');
			return;
		}

		options.onPartEnd(part, applyPartOutcome(part, message));
	}

	function cancelJob(job: OpenJob): void {
		if (!job.tasks.some(task => task.state === 'handed-over')) {
			return;
		}

		for (const [peerId, peer] of peers) {
			const sequences = [...peer.open.values()].filter(part => part.job === job).map(part => part.sequence);
			if (sequences.length > 0) {
				send(peerId, {kind: 'dispatch.cancel', senderIncarnation: incarnation, sequences});
			}
		}
	}

	function findOldestOpenSentMs(peerId: string): number | undefined {
		const [oldest] = peers.get(peerId)?.open.values() ?? [];
		return oldest?.sentMs;
	}

	return {
		setMembers,
		sendPart,
		handleOutcome,
		cancelJob,
		findOldestOpenSentMs,
		getOpenCount() {
			let count = 0;
			for (const {open} of peers.values()) {
				count += open.size;
			}

			return count;
		},
	};
}
