import type {
	Job, Member, MetricSink, RefusalCode, TimerService,
} from '@camphortack/core';
import {createRefusedOutcome} from '../jobs/job-outcomes.js';
import type {JobEnd} from '../jobs/open-job.js';
import type {
	CancelMessage, JobMessage, PoolLoad, QueryMessage, SendDispatchMessage,
} from '../messages/dispatch-messages.js';

export type PartReceiverOptions = {
	incarnation: string;
	timers: TimerService;
	metrics: MetricSink;
	send: SendDispatchMessage;
	getLoads: (pool: string) => PoolLoad[];
	getPool: (service: string, customer: string) => string;
	/** Accepts and runs a part; returns the refusal code if it is not accepted. */
	acceptPart: (key: string, job: Job, message: JobMessage, onEnd: (end: JobEnd) => void) => RefusalCode | undefined;
	/** Aborts a part that the sender no longer needs. */
	cancelPart: (key: string) => void;
};

/** Runs parts for other daemons, each part at most once. */
export type PartReceiver = {
	setMembers(members: readonly Member[]): void;
	handleJob(peerId: string, message: JobMessage): void;
	handleQuery(peerId: string, message: QueryMessage): void;
	handleCancel(peerId: string, message: CancelMessage): void;
	getOpenCount(): number;
};

/** A part that was received, or that was refused before it was received. */
type ReceivedPart = {end: JobEnd | undefined; pool: string; expiresAtMs: number};

type Sender = {
	readonly incarnation: string;
	/** Every part with a lower sequence number is settled or discarded, and must not run. */
	discardedBelow: number;
	readonly parts: Map<number, ReceivedPart>;
};

/** How long an outcome is kept after the deadline if the sender does not report the part as settled. */
const retentionMs = 60_000;

export function createPartReceiver(options: PartReceiverOptions): PartReceiver {
	const {incarnation, timers, metrics} = options;
	const senders = new Map<string, Sender>();
	let incarnations = new Map<string, string>();
	let openCount = 0;

	function setMembers(members: readonly Member[]): void {
		incarnations = new Map(members.map(member => [member.id, member.incarnation]));
		for (const [peerId, sender] of senders) {
			if (incarnations.get(peerId) !== sender.incarnation) {
				senders.delete(peerId);
				cancelOpenParts(peerId, sender, [...sender.parts.keys()]);
			}
		}
	}

	/** Finds or creates the state of a sender; returns undefined if this incarnation is not a member. */
	function findSender(peerId: string, senderIncarnation: string): Sender | undefined {
		if (incarnations.get(peerId) !== senderIncarnation) {
			metrics.increment('peer-dropped');
			return undefined;
		}

		let sender = senders.get(peerId);
		if (sender === undefined) {
			sender = {incarnation: senderIncarnation, discardedBelow: 0, parts: new Map()};
			senders.set(peerId, sender);
		}

		return sender;
	}

	function handleJob(peerId: string, message: JobMessage): void {
		if (message.receiverIncarnation !== incarnation || message.indexes.length !== message.tasks.length) {
			metrics.increment('peer-dropped');
			return;
		}

		const sender = findSender(peerId, message.senderIncarnation);
		if (sender === undefined) {
			return;
		}

		discardSettled(sender, message.settledBelow);
		if (message.sequence < sender.discardedBelow || sender.parts.has(message.sequence)) {
			metrics.increment('part-doubled');
			return;
		}

		acceptPart(peerId, sender, message);
	}

	function acceptPart(peerId: string, sender: Sender, message: JobMessage): void {
		const {sequence, id, customer, service, deadlineMs, idempotent, tasks} = message;
		const part: ReceivedPart = {
			end: undefined,
			pool: options.getPool(service, customer),
			expiresAtMs: timers.getNowMs() + deadlineMs + retentionMs,
		};
		sender.parts.set(sequence, part);
		openCount++;
		metrics.increment('part-received');
		const job: Job = {
			id, customer, service, deadlineMs, idempotent, tasks,
		};
		const refusal = options.acceptPart(getPartKey(peerId, sender, sequence), job, message, end => {
			endPart(peerId, sender, sequence, end);
		});
		if (refusal !== undefined) {
			metrics.increment('part-refused');
			endPart(peerId, sender, sequence, {outcome: createRefusedOutcome(id, refusal), runTimesMs: []});
		}
	}

	function endPart(peerId: string, sender: Sender, sequence: number, end: JobEnd): void {
		const part = sender.parts.get(sequence);
		if (part?.end !== undefined) {
			return;
		}

		openCount--;
		if (part !== undefined) {
			part.end = end;
			sendOutcome(peerId, sender, sequence, part);
		}
	}

	function sendOutcome(peerId: string, sender: Sender, sequence: number, {end, pool}: ReceivedPart): void {
		if (end !== undefined && senders.get(peerId) === sender) {
			options.send(peerId, {
				kind: 'dispatch.outcome',
				receiverIncarnation: sender.incarnation,
				sequence,
				outcome: end.outcome,
				runTimesMs: end.runTimesMs,
				loads: options.getLoads(pool),
			});
		}
	}

	function handleQuery(peerId: string, message: QueryMessage): void {
		if (message.receiverIncarnation !== incarnation) {
			return;
		}

		const sender = findSender(peerId, message.senderIncarnation);
		if (sender === undefined) {
			return;
		}

		discardSettled(sender, message.settledBelow);
		for (const sequence of message.sequences) {
			answerQuery(peerId, sender, sequence);
		}
	}

	/** Resends the outcome of a part. A part that was never received is refused, so that it does not run if it arrives late. */
	function answerQuery(peerId: string, sender: Sender, sequence: number): void {
		if (sequence < sender.discardedBelow) {
			return;
		}

		let part = sender.parts.get(sequence);
		if (part === undefined) {
			part = {
				end: {outcome: createRefusedOutcome('unknown', 'unknown-job'), runTimesMs: []},
				pool: '',
				expiresAtMs: timers.getNowMs() + retentionMs,
			};
			sender.parts.set(sequence, part);
		}

		sendOutcome(peerId, sender, sequence, part);
	}

	function handleCancel(peerId: string, message: CancelMessage): void {
		const sender = findSender(peerId, message.senderIncarnation);
		if (sender !== undefined) {
			cancelOpenParts(peerId, sender, message.sequences);
		}
	}

	function cancelOpenParts(peerId: string, sender: Sender, sequences: readonly number[]): void {
		for (const sequence of sequences) {
			if (sender.parts.get(sequence)?.end === undefined) {
				options.cancelPart(getPartKey(peerId, sender, sequence));
			}
		}
	}

	/** Discards settled and expired parts, oldest first, up to the first open one. */
	function discardSettled(sender: Sender, settledBelow: number): void {
		sender.discardedBelow = Math.max(sender.discardedBelow, settledBelow);
		for (const [sequence, part] of sender.parts) {
			const isExpired = part.expiresAtMs < timers.getNowMs();
			if (part.end === undefined || (sequence >= sender.discardedBelow && !isExpired)) {
				break;
			}

			sender.parts.delete(sequence);
			sender.discardedBelow = Math.max(sender.discardedBelow, sequence + 1);
		}
	}

	return {
		setMembers,
		handleJob,
		handleQuery,
		handleCancel,
		getOpenCount: () => openCount,
	};
}

function getPartKey(peerId: string, sender: Sender, sequence: number): string {
	return `${peerId}/${sender.incarnation}/${sequence}`;
}
