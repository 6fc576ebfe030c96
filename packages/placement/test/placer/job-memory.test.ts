import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {getJobMemoryBytes} from '../../src/index.js';
import {createTestPlacer, defaultRequest, type TestPlacer} from '../support/create-test-placer.js';
import {runFor} from '../support/run-for.js';

const [step] = defaultRequest.steps;
const largeSteps = [{...step!, taskCount: 100, cpuMillicores: 0}];
const largeJobBytes = getJobMemoryBytes({payload: defaultRequest.payload, steps: largeSteps});

/** Creates a placer with memory for two large jobs and a little more, and submits a number of them. */
function createLoadedPlacer(jobCount: number, generation = 0): TestPlacer {
	const test = createTestPlacer({jobMemoryBytes: largeJobBytes * 2.2});
	for (let number = 1; number <= jobCount; number++) {
		test.submit({jobId: `job-${number}`, steps: largeSteps}, {generation});
	}

	return test;
}

// Guards against a placer whose memory is used up by the tasks of jobs of which none is too large.
describe('createPlacer, with memory for few tasks', () => {
	it('refuses the job for which there is no memory at once, and completes the others', async () => {
		const test = createLoadedPlacer(3);
		assert.equal(test.results.get('job-3')?.outcome, 'refused');
		await runFor(test.timers, 1000);
		assert.deepEqual([test.results.get('job-1'), test.results.get('job-2')], [{outcome: 'completed'}, {outcome: 'completed'}]);
		assert.equal(test.metrics.getCount('limit-open-tasks'), 1);
	});

	it('takes jobs again when others have ended', async () => {
		const test = createLoadedPlacer(3);
		await runFor(test.timers, 1000);
		test.submit({jobId: 'job-4', steps: largeSteps});
		await runFor(test.timers, 1000);
		assert.deepEqual(test.results.get('job-4'), {outcome: 'completed'});
	});

	// Guards against a refused job that runs after all, because a copy of its submission arrives when there is memory again.
	it('refuses a copy of a refused submission that arrives later, too', async () => {
		const test = createLoadedPlacer(3);
		await runFor(test.timers, 1000);
		test.results.clear();
		test.submit({jobId: 'job-3', steps: largeSteps});
		assert.equal(test.results.get('job-3')?.outcome, 'refused');
	});

	// Guards against a refusal, which says that nothing has run, of a job whose tasks an earlier placer has started.
	it('refuses no job that an earlier placer may have started', () => {
		const test = createLoadedPlacer(4, 1);
		assert.deepEqual([...test.results.values()], [{outcome: 'unknown'}]);
	});
});
