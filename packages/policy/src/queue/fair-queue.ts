import {createLazyHeap} from '../utils/lazy-heap.js';
import {createCustomerQueue, type CustomerQueue, type QueuedJob} from './customer-queue.js';
import type {QueuedTask} from './queued-task.js';

/** The tasks of one pool that wait at one daemon. Deficit round robin over customers; inside one, by job. */
export type FairQueue = {
	/** Adds the tasks of one job, all or none. They share customer, deadline and time of arrival. */
	addTasks(tasks: readonly QueuedTask[]): 'added' | 'queue-full';
	/** Puts back, at the front, a task that was taken and certainly did not start. Never refused. */
	returnTask(task: QueuedTask): void;
	/**
	 * Takes the next task, or undefined if none fits.
	 * @param fits - Asked of the next task of each customer and of each kind (service and needs), not of every task.
	 */
	takeTask(fits?: (task: QueuedTask) => boolean): QueuedTask | undefined;
	/** Removes what still waits of a job. */
	removeJob(jobId: string): QueuedTask[];
	/** Removes the tasks whose deadline has passed. */
	removeExpired(nowMs: number): QueuedTask[];
	getTaskCount(): number;
	getByteCount(): number;
	/** Gets when the task that has waited longest was added, or undefined if none waits. */
	findOldestEnqueuedAtMs(): number | undefined;
};

export type FairQueueOptions = {
	maxTasks: number;
	maxBytes: number;
	/** Gets a customer's share, relative to the other customers. */
	getWeight: (customer: string) => number;
};

type CustomerState = {
	readonly queue: CustomerQueue;
	readonly name: string;
	/** The expected worker-seconds that the customer may still take in its round. */
	deficitSeconds: number;
	/** The round in which the customer is served next. */
	round: number;
	turn?: Turn;
};

/** A customer's place in the order of service. Replaced, never changed. */
type Turn = {
	readonly customer: CustomerState;
	readonly round: number;
	readonly sequence: number;
};

/** The expected worker-seconds that a customer of weight 1 gets in each round. */
const quantumSeconds = 0.001;

/**
 * Creates a bounded queue that shares out worker-seconds between customers by weight.
 * Rounds in which no customer could be served are skipped in one step.
 *
 * @example
 * ```ts
 * const queue = createFairQueue({mostTasks: 20_000, mostBytes: 67_108_864, getWeight: () => 1});
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
			startServing(customer);
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
				parts: new Map(),
				taskCount: 0,
			};
			jobs.set(job.id, job);
			jobsByDeadline.push(job);
			jobsByAge.push(job);
		}

		return job;
	}

	/** A customer that comes back keeps what it took ahead of its turn, and has saved up nothing. */
	function startServing(customer: CustomerState): void {
		if (customer.round <= currentRound) {
			customer.round = currentRound;
			customer.deficitSeconds = getQuantum(customer);
		}

		setTurn(customer, ++lastSequence);
	}

	/** The customer is served as if the task had not been taken. */
	function returnTask(task: QueuedTask): void {
		const customer = addTask(task, true);
		customer.deficitSeconds = getQuantum(customer);
		customer.round = currentRound;
		setTurn(customer, --firstSequence);
	}

	function takeTask(fits: (task: QueuedTask) => boolean = () => true): QueuedTask | undefined {
		const passedOver: Turn[] = [];
		let task: QueuedTask | undefined;
		for (let turn = turns.takeLeast(); turn !== undefined; turn = turns.takeLeast()) {
			task = turn.customer.queue.takeTask(fits);
			if (task !== undefined) {
				charge(turn, task);
				break;
			}

			passedOver.push(turn);
		}

		for (const turn of passedOver) {
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
			waitForCredit(customer, turn.round);
		}

		forgetTask(task);
	}

	function waitForCredit(customer: CustomerState, servedRound: number): void {
		const quantum = getQuantum(customer);
		const rounds = Math.floor(-customer.deficitSeconds / quantum) + 1;
		customer.deficitSeconds += rounds * quantum;
		customer.round = servedRound + rounds;
		setTurn(customer, ++lastSequence);
	}

	function forgetTask(task: QueuedTask): void {
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
			forgetTask(task);
		}

		return removed;
	}

	function removeExpired(nowMs: number): QueuedTask[] {
		const removed: QueuedTask[] = [];
		for (let job = jobsByDeadline.findLeast(); job !== undefined && job.deadlineAtMs <= nowMs; job = jobsByDeadline.findLeast()) {
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
		findOldestEnqueuedAtMs: () => jobsByAge.findLeast()?.enqueuedAtMs,
	};
}

function compareTurns(left: Turn, right: Turn): number {
	return left.round - right.round || left.sequence - right.sequence;
}
