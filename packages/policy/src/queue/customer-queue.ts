import {createLinkedList, type LinkedList, type LinkedNode} from '../utils/linked-list.js';
import type {QueuedTask} from './queued-task.js';

/** The waiting tasks of one job that ask for the same service and needs. */
type JobPart = {
	readonly job: QueuedJob;
	readonly kind: string;
	/** The tasks in reverse order, so that the next one is last. */
	readonly tasks: QueuedTask[];
	turn: number;
};

/** The waiting tasks of one job. */
export type QueuedJob = {
	readonly id: string;
	readonly customer: string;
	readonly enqueuedAtMs: number;
	readonly deadlineAtMs: number;
	readonly parts: Map<string, LinkedNode<JobPart>>;
	taskCount: number;
};

/** The waiting tasks of one customer, in round robin by job. */
export type CustomerQueue = {
	addTask(job: QueuedJob, task: QueuedTask, isReturned: boolean): void;
	takeTask(fits: (task: QueuedTask) => boolean): QueuedTask | undefined;
	/** Removes every waiting task of a job, in the order in which they would have run. */
	removeJob(job: QueuedJob): QueuedTask[];
	getTaskCount(): number;
};

/** Creates the queue of one customer. */
export function createCustomerQueue(): CustomerQueue {
	const partsByKind = new Map<string, LinkedList<JobPart>>();
	let taskCount = 0;
	let lastTurn = 0;
	let firstTurn = 0;

	function addTask(job: QueuedJob, task: QueuedTask, isReturned: boolean): void {
		const kind = getTaskKind(task);
		const node = job.parts.get(kind);
		if (node === undefined) {
			addPart(job, kind, task, isReturned);
		} else if (isReturned) {
			node.value.tasks.push(task);
			moveToFront(node);
		} else {
			node.value.tasks.unshift(task);
		}

		job.taskCount++;
		taskCount++;
	}

	function addPart(job: QueuedJob, kind: string, task: QueuedTask, isReturned: boolean): void {
		const turn = isReturned ? --firstTurn : ++lastTurn;
		const part: JobPart = {
			job,
			kind,
			tasks: [task],
			turn,
		};
		const node: LinkedNode<JobPart> = {value: part};
		job.parts.set(kind, node);
		const list = partsByKind.get(kind) ?? createLinkedList<JobPart>();
		partsByKind.set(kind, list);
		if (isReturned) {
			list.addFirst(node);
		} else {
			list.addLast(node);
		}
	}

	function moveToFront(node: LinkedNode<JobPart>): void {
		const list = partsByKind.get(node.value.kind)!;
		list.remove(node);
		node.value.turn = --firstTurn;
		list.addFirst(node);
	}

	function takeTask(fits: (task: QueuedTask) => boolean): QueuedTask | undefined {
		const part = findNextPart(fits);
		if (part === undefined) {
			return undefined;
		}

		const task = part.tasks.pop();
		part.job.taskCount--;
		taskCount--;
		moveToEnd(part);
		return task;
	}

	function findNextPart(fits: (task: QueuedTask) => boolean): JobPart | undefined {
		let next: JobPart | undefined;
		for (const list of partsByKind.values()) {
			const part = list.findFirst();
			const isEarlier = part !== undefined && (next === undefined || part.turn < next.turn);
			if (isEarlier && fits(part.tasks.at(-1)!)) {
				next = part;
			}
		}

		return next;
	}

	function moveToEnd(part: JobPart): void {
		const node = part.job.parts.get(part.kind)!;
		if (part.tasks.length === 0) {
			removePart(node);
			return;
		}

		const list = partsByKind.get(part.kind)!;
		list.remove(node);
		part.turn = ++lastTurn;
		list.addLast(node);
	}

	function removePart(node: LinkedNode<JobPart>): void {
		const {job, kind} = node.value;
		const list = partsByKind.get(kind)!;
		list.remove(node);
		job.parts.delete(kind);
		if (list.findFirst() === undefined) {
			partsByKind.delete(kind);
		}
	}

	function removeJob(job: QueuedJob): QueuedTask[] {
		const removed: QueuedTask[] = [];
		for (const node of job.parts.values()) {
			removed.push(...node.value.tasks.toReversed());
			removePart(node);
		}

		taskCount -= removed.length;
		job.taskCount = 0;
		return removed;
	}

	return {
		addTask,
		takeTask,
		removeJob,
		getTaskCount: () => taskCount,
	};
}

function getTaskKind({service, needs}: QueuedTask): string {
	return `${service} ${needs?.processors ?? ''} ${needs?.memoryMegabytes ?? ''} ${needs?.accelerators ?? ''}`;
}
