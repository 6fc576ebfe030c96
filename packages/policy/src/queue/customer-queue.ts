import {createLinkedList, type LinkedList, type LinkedNode} from '../utils/linked-list.js';
import type {QueuedTask} from './queued-task.js';

/** The waiting tasks of one job with the same service and needs. */
type TaskGroup = {
	readonly job: QueuedJob;
	readonly kind: string;
	/** In reverse order: the next task is the last element. */
	readonly tasks: QueuedTask[];
	turn: number;
};

/** The waiting tasks of one job. */
export type QueuedJob = {
	readonly id: string;
	readonly customer: string;
	readonly enqueuedAtMs: number;
	readonly deadlineAtMs: number;
	readonly groups: Map<string, LinkedNode<TaskGroup>>;
	taskCount: number;
};

/** The waiting tasks of one customer, scheduled round robin over jobs. */
export type CustomerQueue = {
	addTask(job: QueuedJob, task: QueuedTask, isReturned: boolean): void;
	takeTask(fits: (task: QueuedTask) => boolean): QueuedTask | undefined;
	/** Removes all waiting tasks of a job and returns them in execution order. */
	removeJob(job: QueuedJob): QueuedTask[];
	getTaskCount(): number;
};

export function createCustomerQueue(): CustomerQueue {
	const groupsByKind = new Map<string, LinkedList<TaskGroup>>();
	let taskCount = 0;
	let lastTurn = 0;
	let firstTurn = 0;

	function addTask(job: QueuedJob, task: QueuedTask, isReturned: boolean): void {
		const kind = getTaskKind(task);
		const node = job.groups.get(kind);
		if (node === undefined) {
			addGroup(job, kind, task, isReturned);
		} else if (isReturned) {
			node.value.tasks.push(task);
			moveToFront(node);
		} else {
			node.value.tasks.unshift(task);
		}

		job.taskCount++;
		taskCount++;
	}

	function addGroup(job: QueuedJob, kind: string, task: QueuedTask, isReturned: boolean): void {
		const turn = isReturned ? --firstTurn : ++lastTurn;
		const group: TaskGroup = {
			job,
			kind,
			tasks: [task],
			turn,
		};
		const node: LinkedNode<TaskGroup> = {value: group};
		job.groups.set(kind, node);
		const list = groupsByKind.get(kind) ?? createLinkedList<TaskGroup>();
		groupsByKind.set(kind, list);
		if (isReturned) {
			list.addFirst(node);
		} else {
			list.addLast(node);
		}
	}

	function moveToFront(node: LinkedNode<TaskGroup>): void {
		const list = groupsByKind.get(node.value.kind)!;
		list.remove(node);
		node.value.turn = --firstTurn;
		list.addFirst(node);
	}

	function takeTask(fits: (task: QueuedTask) => boolean): QueuedTask | undefined {
		const group = findNextGroup(fits);
		if (group === undefined) {
			return undefined;
		}

		const task = group.tasks.pop();
		group.job.taskCount--;
		taskCount--;
		moveToEnd(group);
		return task;
	}

	function findNextGroup(fits: (task: QueuedTask) => boolean): TaskGroup | undefined {
		let next: TaskGroup | undefined;
		for (const list of groupsByKind.values()) {
			const group = list.findFirst();
			const isEarlier = group !== undefined && (next === undefined || group.turn < next.turn);
			if (isEarlier && fits(group.tasks.at(-1)!)) {
				next = group;
			}
		}

		return next;
	}

	function moveToEnd(group: TaskGroup): void {
		const node = group.job.groups.get(group.kind)!;
		if (group.tasks.length === 0) {
			removeGroup(node);
			return;
		}

		const list = groupsByKind.get(group.kind)!;
		list.remove(node);
		group.turn = ++lastTurn;
		list.addLast(node);
	}

	function removeGroup(node: LinkedNode<TaskGroup>): void {
		const {job, kind} = node.value;
		const list = groupsByKind.get(kind)!;
		list.remove(node);
		job.groups.delete(kind);
		if (list.findFirst() === undefined) {
			groupsByKind.delete(kind);
		}
	}

	function removeJob(job: QueuedJob): QueuedTask[] {
		const removed: QueuedTask[] = [];
		for (const node of job.groups.values()) {
			removed.push(...node.value.tasks.toReversed());
			removeGroup(node);
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
