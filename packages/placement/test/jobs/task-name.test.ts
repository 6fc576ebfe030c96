import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {getJobId, getTaskName} from '../../src/jobs/task-name.js';

describe('getJobId', () => {
	for (const jobId of ['5c0e7a21d94b36f8', 'with.dots.1.2', 'a']) {
		it(`the task of ${jobId} → ${jobId}`, () => {
			assert.equal(getJobId(getTaskName({
				jobId, occurrence: 0, step: 1, index: 17,
			})), jobId);
		});
	}
});
