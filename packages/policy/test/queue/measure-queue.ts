import process from 'node:process';
import {createFairQueue, type QueuedTask} from '../../src/index.js';

/** Prints the processing time per task in the queue, for several numbers of customers and waiting tasks. */
const tasksPerJob = 100;
const measuredTasks = 400_000;

function createJob(number: number, customers: number): QueuedTask[] {
	return Array.from({length: tasksPerJob}, (_, index) => ({
		jobId: `job-${number}`,
		index,
		customer: `customer-${number % customers}`,
		service: 'pricing',
		pool: 'walnut',
		sizeBytes: 100,
		expectedRunTimeMs: 50 + ((number * 37) % 950),
		enqueuedAtMs: number,
		deadlineAtMs: number + 30_000,
	}));
}

for (const [customers, waitingTasks] of [[1, 1000], [30, 1000], [30, 100_000], [480, 100_000], [480, 1_000_000]] as const) {
	const queue = createFairQueue({maxTasks: 2_000_000, maxBytes: 1e12, getWeight: () => 1});
	let jobs = 0;
	while (queue.getTaskCount() < waitingTasks) {
		queue.addTasks(createJob(jobs++, customers));
	}

	const startedAt = process.hrtime.bigint();
	for (let task = 0; task < measuredTasks; task++) {
		queue.takeTask();
		if (task % tasksPerJob === 0) {
			queue.addTasks(createJob(jobs++, customers));
		}
	}

	const microseconds = Number(process.hrtime.bigint() - startedAt) / 1000 / measuredTasks;
	console.log(JSON.stringify({customers, waitingTasks, microsecondsPerTask: Number(microseconds.toFixed(2))}));
}
