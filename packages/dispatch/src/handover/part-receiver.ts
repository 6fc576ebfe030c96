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
	/** Runs a part; undefined if it is taken, else why not. */
	acceptPart: (key: string, job: Job, message: JobMessage, onEnd: (end: JobEnd) => void) => RefusalCode | undefined;
	/** Gives up a part that is no longer wanted. */
	cancelPart: (key: string) => void;
};

/** Runs parts for other daemons, each at most once. */
export type PartReceiver = {
	setMembers(members: readonly Member[]): void;
	handleJob(peerId: string, message: JobMessage): void;
	handleQuery(peerId: string, message: QueryMessage): void;
	handleCancel(peerId: string, message: CancelMessage): void;
	getOpenCount(): number;
};

/** A part that came, or that was refused before it came. */
type ReceivedPart = {end: JobEnd | undefined; pool: string; forgetAtMs: number};

type Sender = {
	readonly incarnation: string;
	/** Every part before this one is settled or forgotten, and must not run. */
	forgottenBelow: number;
	readonly parts: Map<number, ReceivedPart>;
};

/** How long an outcome is kept after the deadline if the sender says nothing. */
const retentionMs = 60_000;

/**
 * Creates the part receiver.
 * @param options - Ports and callbacks.
 */
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
				cancelOpen(peerId, sender, [...sender.parts.keys()]);
			}
		}
	}

	/** Finds the state of a sender; undefined for a process that is not, or no longer, a member. */
	function findSender(peerId: string, senderIncarnation: string): Sender | undefined {
		if (incarnations.get(peerId) !== senderIncarnation) {
			metrics.increment('peer-dropped');
			return undefined;
		}

		let sender = senders.get(peerId);
		if (sender === undefined) {
			sender = {incarnation: senderIncarnation, forgottenBelow: 0, parts: new Map()};
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

		forget(sender, message.settledBelow);
		if (message.sequence < sender.forgottenBelow || sender.parts.has(message.sequence)) {
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
			forgetAtMs: timers.getNowMs() + deadlineMs + retentionMs,
		};
		sender.parts.set(sequence, part);
		openCount++;
		metrics.increment('part-received');
		const job: Job = {
			id, customer, service, deadlineMs, idempotent, tasks,
		};
		const refusal = options.acceptPart(getKey(peerId, sender, sequence), job, message, end => {
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

		forget(sender, message.settledBelow);
		for (const sequence of message.sequences) {
			answerQuery(peerId, sender, sequence);
		}
	}

	/** Refuses a part that never came: should it come late, it will not run. */
	function answerQuery(peerId: string, sender: Sender, sequence: number): void {
		if (sequence < sender.forgottenBelow) {
			return;
		}

		let part = sender.parts.get(sequence);
		if (part === undefined) {
			part = {
				end: {outcome: createRefusedOutcome('unknown', 'unknown-job'), runTimesMs: []},
				pool: '',
				forgetAtMs: timers.getNowMs() + retentionMs,
			};
			sender.parts.set(sequence, part);
		}

		sendOutcome(peerId, sender, sequence, part);
	}

	function handleCancel(peerId: string, message: CancelMessage): void {
		const sender = findSender(peerId, message.senderIncarnation);
		if (sender !== undefined) {
			cancelOpen(peerId, sender, message.sequences);
		}
	}

	function cancelOpen(peerId: string, sender: Sender, sequences: readonly number[]): void {
		for (const sequence of sequences) {
			if (sender.parts.get(sequence)?.end === undefined) {
				options.cancelPart(getKey(peerId, sender, sequence));
			}
		}
	}

	/** Forgets what the sender has settled and what is too old, oldest first. */
	function forget(sender: Sender, settledBelow: number): void {
		sender.forgottenBelow = Math.max(sender.forgottenBelow, settledBelow);
		for (const [sequence, part] of sender.parts) {
			const isOld = part.forgetAtMs < timers.getNowMs();
			if (part.end === undefined || (sequence >= sender.forgottenBelow && !isOld)) {
				break;
			}

			sender.parts.delete(sequence);
			sender.forgottenBelow = Math.max(sender.forgottenBelow, sequence + 1);
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

function getKey(peerId: string, sender: Sender, sequence: number): string {
	return `${peerId}/${sender.incarnation}/${sequence}`;
}
