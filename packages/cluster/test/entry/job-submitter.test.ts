import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import type {JobOutcome, PlacementMessage} from '@camphortack/placement';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import type {PlacerView} from '../../src/election/placer-view.js';
import {createJobSubmitter, type JobSubmitter} from '../../src/entry/job-submitter.js';
import {createShardMap} from '../../src/shards/shard-map.js';

type TestSubmitter = {
	timers: VirtualTimers;
	submitter: JobSubmitter;
	sent: PlacementMessage[];
	results: JobOutcome[];
	setView: (next: PlacerView) => void;
	setIncarnation: (next: string) => void;
};

const refusal: JobOutcome = {outcome: 'refused', reason: 'overload', retryAfterMs: 1000};

function createTestSubmitter(): TestSubmitter {
	const timers = new VirtualTimers();
	const sent: PlacementMessage[] = [];
	const results: JobOutcome[] = [];
	let view: PlacerView = {term: 1, placerId: 'first'};
	let incarnation = 'one';
	const submitter = createJobSubmitter({
		timers,
		random: createSeededRandomSource(1),
		events: new RecordingEventLog(),
		metrics: new RecordingMetricSink(),
		shards: createShardMap('north', false),
		getPlacerView: () => view,
		getIncarnation: daemonId => `${daemonId} ${incarnation}`,
		getRegistryDigest: () => 'digest',
		sendToPlacer(_shard, message) {
			sent.push(message);
			return view.placerId !== '';
		},
	});
	return {
		timers,
		submitter,
		sent,
		results,
		setView(next) {
			view = next;
		},
		setIncarnation(next) {
			incarnation = next;
		},
	};
}

function submit({submitter, results}: TestSubmitter): void {
	submitter.submit({
		jobId: 'job', queueName: 'estimates', service: 'quotes', payload: 'text', steps: [], mostAttempts: 3, stretch: 1.6, slackMs: 60, callerTimeoutMs: 1500,
	}, result => {
		results.push(result);
	});
}

describe('createJobSubmitter', () => {
	it('reports the refusal of a job that was submitted once', () => {
		const test = createTestSubmitter();
		submit(test);
		test.submitter.handleResult('job', refusal);
		assert.deepEqual(test.results, [refusal]);
	});

	it('reports a refusal as unknown after the job was resubmitted to a second placer', () => {
		const test = createTestSubmitter();
		submit(test);
		test.setView({term: 2, placerId: 'second'});
		test.submitter.handlePlacerChange();
		test.submitter.handleResult('job', refusal);
		assert.deepEqual(test.results, [{outcome: 'unknown'}]);
		const generations = test.sent.flatMap(message => (message.kind === 'placement.submit' ? [[message.generation, message.mayHaveStarted]] : []));
		assert.deepEqual(generations, [[0, false], [1, true]]);
	});

	it('names each incarnation of a placer to which a job was submitted before, once', () => {
		const test = createTestSubmitter();
		submit(test);
		for (const view of [{term: 1, placerId: 'second'}, {term: 2, placerId: 'first'}]) {
			test.setView(view);
			test.submitter.handlePlacerChange();
			test.submitter.handleUnknownJobs(['job']);
			test.setIncarnation('two');
		}

		test.submitter.handleUnknownJobs(['job']);
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
		test.submitter.handleUnknownJobs(['job', 'other']);
		assert.equal(test.sent.filter(message => message.kind === 'placement.submit').length, 2);
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
});
