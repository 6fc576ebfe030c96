import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import fc from 'fast-check';
import {createFairQueue, type QueuedTask} from '../../src/index.js';

const bounds = {maxTasks: 10_000, maxBytes: 1_000_000, getWeight: () => 1};

function createTasks(jobId: string, count: number, changes: Partial<QueuedTask> = {}): QueuedTask[] {
	return Array.from({length: count}, (_, index) => ({
		jobId,
		index,
		customer: 'joiner',
		service: 'pricing',
		pool: 'walnut',
		sizeBytes: 10,
		expectedRunTimeMs: 100,
		enqueuedAtMs: 0,
		deadlineAtMs: 1000,
		...changes,
	}));
}

describe('createFairQueue', () => {
	for (const [name, joinerMs, dealerMs, joinerWeight, expectedRatio] of [
		['equal weights and run times', 100, 100, 1, 1],
		['a customer with ten times longer tasks', 1000, 100, 1, 1],
		['three times the weight', 100, 100, 3, 3],
		['a thousand times the weight', 100, 100, 1000, 1000],
	] as const) {
		it(`divides worker-seconds in proportion to weight: ${name}`, () => {
			const queue = createFairQueue({...bounds, getWeight: customer => customer === 'joiner' ? joinerWeight : 1});
			queue.addTasks(createTasks('a', 4000, {expectedRunTimeMs: joinerMs}));
			queue.addTasks(createTasks('b', 4000, {customer: 'dealer', expectedRunTimeMs: dealerMs}));
			let usedMs = 0;
			let joinerUsedMs = 0;
			while (usedMs < 200_000) {
				const task = queue.takeTask()!;
				usedMs += task.expectedRunTimeMs;
				joinerUsedMs += task.customer === 'joiner' ? task.expectedRunTimeMs : 0;
			}

			const expectedMs = 200_000 * expectedRatio / (expectedRatio + 1);
			assert.ok(Math.abs(joinerUsedMs - expectedMs) <= 1000, `${joinerUsedMs} is not near ${expectedMs}`);
		});
	}

	it('alternates between the jobs of a customer and serves a returned task first', () => {
		const queue = createFairQueue(bounds);
		queue.addTasks(createTasks('a', 3));
		queue.addTasks(createTasks('b', 2));
		const first = queue.takeTask()!;
		queue.returnTask(first);
		const order = Array.from({length: 5}, () => queue.takeTask()!).map(task => `${task.jobId}${task.index}`);
		assert.deepEqual(order, ['a0', 'b0', 'a1', 'b1', 'a2']);
		assert.equal(queue.takeTask(), undefined);
	});

	it('skips tasks that do not fit, within a job and across customers', () => {
		const queue = createFairQueue(bounds);
		queue.addTasks([...createTasks('a', 1, {needs: {accelerators: 1}}), ...createTasks('a', 1, {index: 1})]);
		queue.addTasks(createTasks('b', 1, {customer: 'dealer'}));
		const fits = (task: QueuedTask) => task.needs === undefined;
		const taken = [queue.takeTask(fits), queue.takeTask(fits), queue.takeTask(fits), queue.takeTask()];
		assert.deepEqual(taken.map(task => task?.needs), [undefined, undefined, undefined, {accelerators: 1}]);
		assert.deepEqual(taken.map(task => task?.jobId), ['a', 'b', undefined, 'a']);
	});

	it('gives no customer an advantage for emptying its queue', () => {
		const queue = createFairQueue(bounds);
		queue.addTasks(createTasks('b', 100, {customer: 'dealer'}));
		let joinerTasks = 0;
		for (let step = 0; step < 100; step++) {
			queue.addTasks(createTasks(`a${step}`, 1));
			joinerTasks += queue.takeTask()!.customer === 'joiner' ? 1 : 0;
			queue.removeJob(`a${step}`);
		}

		assert.ok(joinerTasks <= 51, `${joinerTasks} of 100 tasks`);
	});

	it('has the same content as a plain list under random operations', () => {
		const step = fc.record({
			action: fc.constantFrom('add', 'take', 'return', 'remove', 'expire'),
			job: fc.nat(5),
			count: fc.integer({min: 1, max: 4}),
		});
		fc.assert(fc.property(fc.array(step, {maxLength: 80}), steps => {
			const queue = createFairQueue({...bounds, maxTasks: 12});
			let waiting: QueuedTask[] = [];
			const taken: QueuedTask[] = [];
			const names = (tasks: QueuedTask[]) => tasks.map(task => `${task.jobId} ${task.index}`).toSorted((left, right) => left.localeCompare(right));
			for (const [number, {action, job, count}] of steps.entries()) {
				const isLeaving = (task: QueuedTask) => action === 'remove' ? task.jobId.startsWith(`${job} `) : task.deadlineAtMs <= number;
				if (action === 'add') {
					const tasks = createTasks(`${job} ${number}`, count, {customer: `${job % 3}`, deadlineAtMs: number + (job * 5), enqueuedAtMs: number});
					const isFull = waiting.length + count > 12;
					assert.equal(queue.addTasks(tasks), isFull ? 'queue-full' : 'added');
					waiting = isFull ? waiting : [...waiting, ...tasks];
				} else if (action === 'take') {
					const task = queue.takeTask();
					assert.equal(task === undefined, waiting.length === 0);
					waiting = waiting.filter(each => each !== task);
					taken.push(...(task === undefined ? [] : [task]));
				} else if (action === 'return' && taken.length > 0) {
					const task = taken.pop()!;
					queue.returnTask(task);
					waiting.push(task);
				} else if (action !== 'return') {
					const jobIds = new Set(waiting.filter(task => isLeaving(task)).map(task => task.jobId));
					const removed = action === 'expire' ? queue.removeExpired(number) : [...jobIds].flatMap(id => queue.removeJob(id));
					assert.deepEqual(names(removed), names(waiting.filter(task => isLeaving(task))));
					waiting = waiting.filter(task => !isLeaving(task));
				}

				assert.equal(queue.getTaskCount(), waiting.length);
				assert.equal(queue.getByteCount(), waiting.length * 10);
				assert.equal(queue.findOldestEnqueuedAtMs(), waiting.length === 0 ? undefined : Math.min(...waiting.map(task => task.enqueuedAtMs)));
			}
		}), {numRuns: 300});
	});
});
