import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {
	createTestSubmitter, refusal, submit, type TestSubmitter,
} from '../support/create-test-submitter.js';

/** The placer that does not know a job, of a version that does not state its term. */
const earlierVersion = {view: {term: 0, placerId: 'first'}, incarnation: ''};

describe('createJobSubmitter', () => {
	it('reports the refusal of a job that was submitted once', () => {
		const test = createTestSubmitter();
		submit(test);
		test.handleResult(refusal);
		assert.deepEqual(test.results, [refusal]);
	});

	it('reports a refusal as unknown after the job was resubmitted to a second placer', () => {
		const test = createTestSubmitter();
		submit(test);
		test.setView({term: 2, placerId: 'second'});
		test.submitter.handlePlacerChange();
		test.handleResult(refusal);
		assert.deepEqual(test.results, [{outcome: 'unknown'}]);
		const generations = test.sent.flatMap(message => (message.kind === 'placement.submit' ? [[message.generation, message.mayHaveStarted]] : []));
		assert.deepEqual(generations, [[0, false], [1, true]]);
	});

	describe('with jobs that it no longer waits for', () => {
		const leave: Array<{title: string; apply: (test: TestSubmitter) => void; isListed: boolean}> = [
			{
				title: 'whose last caller has left',
				apply({submitter}) {
					submitter.submit({
						jobId: 'left', queueName: 'estimates', service: 'quotes', payload: 'text', steps: [], mostAttempts: 3, stretch: 1.6, slackMs: 60, callerTimeoutMs: 1500,
					}, () => undefined).unsubscribe();
				},
				isListed: true,
			},
			{
				title: 'whose result is unknown',
				apply(test) {
					submit(test);
					test.handleResult({outcome: 'unknown'});
				},
				isListed: true,
			},
			{
				title: 'that was completed',
				apply(test) {
					submit(test);
					test.handleResult({outcome: 'completed'});
				},
				isListed: false,
			},
		];
		for (const {title, apply, isListed} of leave) {
			// Guards against a placer that takes a job for a new one whose tasks its predecessor started for another entry daemon.
			it(`${isListed ? 'tells' : 'does not tell'} the next placer of a job ${title}, after it has handed over its open jobs`, () => {
				const test = createTestSubmitter();
				apply(test);
				test.setView({term: 2, placerId: 'second'});
				test.submitter.handlePlacerChange();
				const last = test.sent.at(-1)!;
				assert.ok(last.kind === 'placement.open-jobs');
				assert.deepEqual([last.term, last.leftJobIds?.length ?? 0], [2, isListed ? 1 : 0]);
			});
		}
	});

	describe('with a job that a placer has not begun', () => {
		const first = {term: 1, placerId: 'first'};
		const second = {term: 2, placerId: 'second'};

		function getSubmissions({sent}: TestSubmitter): Array<[term: number | undefined, generation: number, mayHaveStarted: boolean]> {
			return sent.flatMap(message => (message.kind === 'placement.submit' ? [[message.term, message.generation, message.mayHaveStarted]] : []));
		}

		// Guards against a 504 for a job that waited at a placer which was replaced.
		it('submits it to the next placer as new, and reports a refusal by that one', () => {
			const test = createTestSubmitter();
			submit(test);
			test.submitter.handleNotBegun(first, ['job', 'other']);
			test.setView(second);
			test.submitter.handlePlacerChange();
			assert.deepEqual(getSubmissions(test), [[1, 0, false], [2, 1, false]]);
			test.handleResult(refusal);
			assert.deepEqual(test.results, [refusal]);
		});

		it('tells the next placer if it learns so only after the job was submitted there', () => {
			const test = createTestSubmitter();
			submit(test);
			test.setView(second);
			test.submitter.handlePlacerChange();
			test.submitter.handleNotBegun(first, ['job']);
			assert.deepEqual(getSubmissions(test), [[1, 0, false], [2, 1, true], [2, 1, false]]);
			test.handleResult(refusal);
			assert.deepEqual(test.results, [refusal]);
		});

		// Guards against a job that is reported as not run although another placer may have started it.
		it('still counts it as possibly started by every other placer', () => {
			const test = createTestSubmitter();
			submit(test);
			test.setView(second);
			test.submitter.handlePlacerChange();
			test.setView({term: 3, placerId: 'third'});
			test.submitter.handlePlacerChange();
			test.submitter.handleNotBegun(second, ['job']);
			assert.deepEqual(getSubmissions(test).at(-1), [3, 2, true]);
			test.handleResult(refusal);
			assert.deepEqual(test.results, [{outcome: 'unknown'}]);
		});

		it('does not count the word of a placer that got the job twice, since it may be about either submission', () => {
			const test = createTestSubmitter();
			submit(test);
			test.submitter.handleUnknownJobs(['job'], earlierVersion);
			test.submitter.handleNotBegun(first, ['job']);
			test.setView(second);
			test.submitter.handlePlacerChange();
			assert.deepEqual(getSubmissions(test).at(-1), [2, 2, true]);
		});

		// Guards against a placer that begins the job, restarts, and returns the second message as one that it never began.
		it('does not count the word of a placer that was told afterwards that the job is new', () => {
			const test = createTestSubmitter();
			submit(test);
			test.setView(second);
			test.submitter.handlePlacerChange();
			test.submitter.handleNotBegun(first, ['job']);
			test.submitter.handleNotBegun(second, ['job']);
			test.setView({term: 3, placerId: 'third'});
			test.submitter.handlePlacerChange();
			assert.deepEqual(getSubmissions(test).at(-1), [3, 2, true]);
		});

		it('counts a word that is repeated, as after a lost message, once', () => {
			const test = createTestSubmitter();
			submit(test);
			test.submitter.handleNotBegun(first, ['job']);
			test.setView(second);
			test.submitter.handlePlacerChange();
			test.submitter.handleNotBegun(first, ['job']);
			assert.deepEqual(getSubmissions(test), [[1, 0, false], [2, 1, false]]);
			test.handleResult(refusal);
			assert.deepEqual(test.results, [refusal]);
		});

		it('does not count the word of the placer about another term', () => {
			const test = createTestSubmitter();
			submit(test);
			test.submitter.handleNotBegun({...first, term: 2}, ['job']);
			test.setView(second);
			test.submitter.handlePlacerChange();
			assert.deepEqual(getSubmissions(test).at(-1), [2, 1, true]);
		});
	});

	it('names each incarnation of a placer to which a job was submitted before, once', () => {
		const test = createTestSubmitter();
		submit(test);
		for (const view of [{term: 1, placerId: 'second'}, {term: 2, placerId: 'first'}]) {
			test.setView(view);
			test.submitter.handlePlacerChange();
			test.submitter.handleUnknownJobs(['job'], {...earlierVersion, view: {term: 0, placerId: view.placerId}});
			test.setIncarnation('two');
		}

		test.submitter.handleUnknownJobs(['job'], earlierVersion);
		const handovers = test.sent.flatMap(message => (message.kind === 'placement.submit' ? [message.handover?.placers.map(({incarnation}) => incarnation)] : []));
		assert.deepEqual(handovers, [
			undefined,
			['first one'],
			['first one', 'second one'],
			['first one', 'second one'],
			['first one', 'second one', 'first two'],
			['first one', 'second one', 'first two'],
		]);
	});

	it('refuses a job if no placer becomes known in time', () => {
		const test = createTestSubmitter();
		test.setView({term: 0, placerId: ''});
		submit(test);
		test.timers.advance(300);
		assert.deepEqual(test.results.map(result => result.outcome), ['refused']);
	});

	it('resubmits a job that the placer does not know', () => {
		const test = createTestSubmitter();
		submit(test);
		test.submitter.handleUnknownJobs(['job', 'other'], earlierVersion);
		assert.equal(test.sent.filter(message => message.kind === 'placement.submit').length, 2);
	});

	describe('with a job that its placer does not know', () => {
		const first = {view: {term: 1, placerId: 'first'}, incarnation: 'first one'};

		function getSubmissions({sent}: TestSubmitter): Array<[submissionId: string, generation: number, mayHaveStarted: boolean]> {
			return sent.flatMap(message => (message.kind === 'placement.submit' ? [[message.submissionId, message.generation, message.mayHaveStarted]] : []));
		}

		// Guards against a 504 for a job whose first message was lost on its way to the placer.
		it('repeats the submission as one that has not begun, and reports a refusal', () => {
			const test = createTestSubmitter();
			submit(test);
			test.submitter.handleUnknownJobs(['job'], first);
			const [original, repetition] = getSubmissions(test);
			assert.deepEqual(original!.slice(1), [0, false]);
			assert.deepEqual(repetition, original);
			test.handleResult(refusal);
			assert.deepEqual(test.results, [refusal]);
		});

		// Guards against a false "not run": the first message may have arrived after the placer had answered.
		it('counts it as possibly started when it goes to the next placer, whatever this one says of it', () => {
			const test = createTestSubmitter();
			submit(test);
			test.submitter.handleUnknownJobs(['job'], first);
			test.submitter.handleNotBegun(first.view, ['job']);
			test.setView({term: 2, placerId: 'second'});
			test.submitter.handlePlacerChange();
			assert.deepEqual(getSubmissions(test).at(-1)!.slice(1), [1, true]);
			test.handleResult(refusal);
			assert.deepEqual(test.results, [{outcome: 'unknown'}]);
		});

		// Guards against a false "not run" by a placer that did not get the job in the term or process that it was sent to.
		const others: Array<{title: string; source: typeof first; ageMs: number}> = [
			{title: 'of another term', source: {...first, view: {term: 2, placerId: 'first'}}, ageMs: 0},
			{title: 'that has restarted', source: {...first, incarnation: 'first two'}, ageMs: 0},
			{title: 'of an earlier version', source: earlierVersion, ageMs: 0},
			{title: 'that may have forgotten the result', source: first, ageMs: 10_000},
		];
		for (const {title, source, ageMs} of others) {
			it(`counts it as possibly started after the word of a placer ${title}`, () => {
				const test = createTestSubmitter();
				submit(test);
				test.timers.advance(ageMs);
				test.submitter.handleUnknownJobs(['job'], source);
				assert.deepEqual(getSubmissions(test).map(([, generation, mayHaveStarted]) => [generation, mayHaveStarted]), [[0, false], [1, true]]);
				test.handleResult(refusal);
				assert.deepEqual(test.results, [{outcome: 'unknown'}]);
			});
		}

		// Guards against a 504 for a job that its placer refused, and another one got, while the first one was asked about it.
		it('ignores the word of a daemon that is not the placer to which it was submitted', () => {
			const test = createTestSubmitter();
			submit(test);
			test.submitter.handleUnknownJobs(['job'], {...first, view: {term: 1, placerId: 'second'}});
			assert.equal(getSubmissions(test).length, 1);
			test.handleResult(refusal);
			assert.deepEqual(test.results, [refusal]);
		});

		it('still names the placers of earlier submissions', () => {
			const test = createTestSubmitter();
			submit(test);
			test.setView({term: 2, placerId: 'second'});
			test.submitter.handlePlacerChange();
			test.submitter.handleUnknownJobs(['job'], {view: {term: 2, placerId: 'second'}, incarnation: 'second one'});
			const last = test.sent.findLast(message => message.kind === 'placement.submit');
			assert.deepEqual(last?.handover?.placers, [{placerId: 'first', incarnation: 'first one'}]);
			assert.equal(last?.mayHaveStarted, true);
		});
	});

	// Guards against a cancellation by one daemon's caller that has left for all others who wait for the same job.
	it('names its submission when the last caller of a job has left, and none in a cancellation', () => {
		const test = createTestSubmitter();
		const callers = [submit(test), submit(test)];
		const submission = test.sent.find(message => message.kind === 'placement.submit');
		for (const caller of callers) {
			caller.unsubscribe();
		}

		test.submitter.cancel('job', () => {
			// Nobody confirms it.
		});
		assert.deepEqual(test.sent.filter(message => message.kind === 'placement.cancel').map(message => message.submissionId), [submission?.submissionId, undefined]);
	});

	it('ends a cancellation as unconfirmed if no placer confirms it', () => {
		const test = createTestSubmitter();
		const ends: boolean[] = [];
		test.submitter.cancel('job', isConfirmed => {
			ends.push(isConfirmed);
		});
		test.timers.advance(3000);
		assert.deepEqual(ends, [false]);
	});

	it('holds a job while the placer is overdue, and submits it as new when the placer is heard again', () => {
		const test = createTestSubmitter();
		test.setOverdue(true);
		submit(test);
		test.timers.advance(250);
		assert.equal(test.sent.filter(message => message.kind === 'placement.submit').length, 0);
		test.setOverdue(false);
		test.submitter.handlePlacerHeard();
		const submissions = test.sent.flatMap(message => (message.kind === 'placement.submit' ? [message.generation] : []));
		assert.deepEqual(submissions, [0]);
	});

	it('refuses a held job if no placer becomes known in time', () => {
		const test = createTestSubmitter();
		test.setOverdue(true);
		submit(test);
		test.timers.advance(300);
		assert.deepEqual(test.results.map(result => result.outcome), ['refused']);
	});

	it('forwards a job while the placer is overdue, if another zone is idle', () => {
		const test = createTestSubmitter(true);
		test.shards.updateOtherShard('south', {term: 1, placerId: 'other'}, 0);
		test.setOverdue(true);
		submit(test);
		test.handleResult({outcome: 'completed'});
		assert.deepEqual(test.results, [{outcome: 'completed'}]);
	});
});
