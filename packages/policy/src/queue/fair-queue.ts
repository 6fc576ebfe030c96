import {createLazyHeap} from '../utils/lazy-heap.js';
import {createCustomerQueue, type CustomerQueue, type QueuedJob} from './customer-queue.js';
import type {QueuedTask} from './queued-task.js';

/** The waiting tasks of one pool on one daemon: deficit round robin over customers, then round robin over a customer's jobs. */
export type FairQueue = {
	/** Adds the tasks of one job, all or none. They must have the same customer, deadline and enqueue time. */
	addTasks(tasks: readonly QueuedTask[]): 'added' | 'queue-full';
	/** Requeues at the front a task that was taken but definitely did not start. Ignores the bounds of the queue. */
	returnTask(task: QueuedTask): void;
	/**
	 * Takes the next task, or undefined if none fits.
	 * @param fits - Called for the next task of each customer and kind (service and needs), not for every task.
	 */
	takeTask(fits?: (task: QueuedTask) => boolean): QueuedTask | undefined;
	/** Removes the waiting tasks of a job. */
	removeJob(jobId: string): QueuedTask[];
	/** Removes the tasks whose deadline has passed. */
	removeExpired(nowMs: number): QueuedTask[];
	getTaskCount(): number;
	getByteCount(): number;
	/** Gets the enqueue time of the oldest waiting job, or undefined if the queue is empty. */
	findOldestEnqueuedAtMs(): number | undefined;
};

export type FairQueueOptions = {
	maxTasks: number;
	maxBytes: number;
	/** Gets the weight of a customer relative to the others. */
	getWeight: (customer: string) => number;
};

type CustomerState = {
	readonly queue: CustomerQueue;
	readonly name: string;
	/** The expected worker-seconds that the customer may still use in its current round. */
	deficitSeconds: number;
	/** The next round in which the customer is served. */
	round: number;
	turn?: Turn;
};

/** A customer's position in the service order. Immutable: a new position replaces it. */
type Turn = {
	readonly customer: CustomerState;
	readonly round: number;
	readonly sequence: number;
};

/** The expected worker-seconds granted per round to a customer of weight 1. */
const quantumSeconds = 0.001;

/**
 * Creates a bounded queue that divides worker-seconds between customers in proportion to their weights.
 * Rounds in which no customer can be served are skipped in one step.
 *
 * @example
 * ```ts
 * const queue = createFairQueue({maxTasks: 20_000, maxBytes: 67_108_864, getWeight: () => 1});
 * queue.addTasks(tasks);
 * const next = queue.takeTask(task => task.service === 'pricing');
 * ```
 */
export function createFairQueue(options: FairQueueOptions): FairQueue {
	const customers = new Map<string, CustomerState>();
	const jobs = new Map<string, QueuedJob>();
	const turns = createLazyHeap<Turn>(compareTurns, turn => turn.customer.turn === turn);
	const isWaiting = (job: QueuedJob) => jobs.get(job.id) === job;
	const jobsByDeadline = createLazyHeap<QueuedJob>((left, right) => left.deadlineAtMs - right.deadlineAtMs, isWaiting);
	const jobsByAge = createLazyHeap<QueuedJob>((left, right) => left.enqueuedAtMs - right.enqueuedAtMs, isWaiting);
	let currentRound = 0;
	let lastSequence = 0;
	let firstSequence = 0;
	let taskCount = 0;
	let byteCount = 0;

	function getQuantum(customer: CustomerState): number {
		return quantumSeconds * options.getWeight(customer.name);
	}

	function setTurn(customer: CustomerState, sequence: number): void {
		const {round} = customer;
		const turn: Turn = {customer, round, sequence};
		customer.turn = turn;
		turns.push(turn);
	}

	function addTasks(tasks: readonly QueuedTask[]): 'added' | 'queue-full' {
		const sizeBytes = tasks.reduce((sum, task) => sum + task.sizeBytes, 0);
		if (taskCount + tasks.length > options.maxTasks || byteCount + sizeBytes > options.maxBytes) {
			return 'queue-full';
		}

		for (const task of tasks) {
			addTask(task, false);
		}

		return 'added';
	}

	function addTask(task: QueuedTask, isReturned: boolean): CustomerState {
		const customer = getCustomer(task.customer);
		customer.queue.addTask(getJob(task), task, isReturned);
		taskCount++;
		byteCount += task.sizeBytes;
		if (customer.turn === undefined) {
			activate(customer);
		}

		return customer;
	}

	function getCustomer(name: string): CustomerState {
		let customer = customers.get(name);
		if (customer === undefined) {
			customer = {
				name,
				queue: createCustomerQueue(),
				deficitSeconds: 0,
				round: -1,
			};
			customers.set(name, customer);
		}

		return customer;
	}

	function getJob(task: QueuedTask): QueuedJob {
		let job = jobs.get(task.jobId);
		if (job === undefined) {
			job = {
				id: task.jobId,
				customer: task.customer,
				enqueuedAtMs: task.enqueuedAtMs,
				deadlineAtMs: task.deadlineAtMs,
				groups: new Map(),
				taskCount: 0,
			};
			jobs.set(job.id, job);
			jobsByDeadline.push(job);
			jobsByAge.push(job);
		}

		return job;
	}

	/** A customer that becomes active again keeps its debt from earlier rounds, but accumulates no credit while inactive. */
	function activate(customer: CustomerState): void {
		if (customer.round <= currentRound) {
			customer.round = currentRound;
			customer.deficitSeconds = getQuantum(customer);
		}

		setTurn(customer, ++lastSequence);
	}

	/** Requeues the task and serves its customer next, as if the task had not been taken. */
	function returnTask(task: QueuedTask): void {
		const customer = addTask(task, true);
		customer.deficitSeconds = getQuantum(customer);
		customer.round = currentRound;
		setTurn(customer, --firstSequence);
	}

	function takeTask(fits: (task: QueuedTask) => boolean = () => true): QueuedTask | undefined {
		const skippedTurns: Turn[] = [];
		let task: QueuedTask | undefined;
		for (let turn = turns.pop(); turn !== undefined; turn = turns.pop()) {
			task = turn.customer.queue.takeTask(fits);
			if (task !== undefined) {
				charge(turn, task);
				break;
			}

			skippedTurns.push(turn);
		}

		for (const turn of skippedTurns) {
			turns.push(turn);
		}

		return task;
	}

	function charge(turn: Turn, task: QueuedTask): void {
		const {customer} = turn;
		currentRound = Math.max(currentRound, turn.round);
		customer.deficitSeconds -= task.expectedRunTimeMs / 1000;
		if (customer.deficitSeconds > 0) {
			setTurn(customer, turn.sequence);
		} else {
			scheduleNextRound(customer, turn.round);
		}

		handleRemovedTask(task);
	}

	function scheduleNextRound(customer: CustomerState, servedRound: number): void {
		const quantum = getQuantum(customer);
		const rounds = Math.floor(-customer.deficitSeconds / quantum) + 1;
		customer.deficitSeconds += rounds * quantum;
		customer.round = servedRound + rounds;
		setTurn(customer, ++lastSequence);
	}

	function handleRemovedTask(task: QueuedTask): void {
		taskCount--;
		byteCount -= task.sizeBytes;
		if (jobs.get(task.jobId)?.taskCount === 0) {
			jobs.delete(task.jobId);
		}

		const customer = customers.get(task.customer)!;
		if (customer.queue.getTaskCount() === 0) {
			customer.turn = undefined;
		}

		if (taskCount === 0) {
			customers.clear();
		}
	}

	function removeJob(jobId: string): QueuedTask[] {
		const job = jobs.get(jobId);
		if (job === undefined) {
			return [];
		}

		const removed = customers.get(job.customer)!.queue.removeJob(job);
		for (const task of removed) {
			handleRemovedTask(task);
		}

		return removed;
	}

	function removeExpired(nowMs: number): QueuedTask[] {
		const removed: QueuedTask[] = [];
		for (let job = jobsByDeadline.peek(); job !== undefined && job.deadlineAtMs <= nowMs; job = jobsByDeadline.peek()) {
			removed.push(...removeJob(job.id));
		}

		return removed;
	}

	return {
		addTasks,
		returnTask,
		takeTask,
		removeJob,
		removeExpired,
		getTaskCount: () => taskCount,
		getByteCount: () => byteCount,
		findOldestEnqueuedAtMs: () => jobsByAge.peek()?.enqueuedAtMs,
	};
}

function compareTurns(left: Turn, right: Turn): number {
	return left.round - right.round || left.sequence - right.sequence;
}
