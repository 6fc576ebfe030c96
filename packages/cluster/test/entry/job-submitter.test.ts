import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import type {JobOutcome, PlacementMessage} from '@camphortack/placement';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import type {PlacerView} from '../../src/election/placer-view.js';
import {createJobSubmitter, type JobSubmitter} from '../../src/entry/job-submitter.js';
import {createShardMap, type ShardMap} from '../../src/shards/shard-map.js';

type TestSubmitter = {
	timers: VirtualTimers;
	submitter: JobSubmitter;
	sent: PlacementMessage[];
	results: JobOutcome[];
	shards: ShardMap;
	setView: (next: PlacerView) => void;
	setIncarnation: (next: string) => void;
	/** Sets whether heartbeats of the placer are overdue. */
	setOverdue: (next: boolean) => void;
	/** Cuts or restores the route to a shard. */
	setRoute: (shard: string, isOpen: boolean) => void;
	/** Sets for how long the availability zone has been evacuated. */
	setEvacuatedMs: (next: number | undefined) => void;
	evacuatedZones: Set<string>;
};

const refusal: JobOutcome = {outcome: 'refused', reason: 'overload', retryAfterMs: 1000};

function createTestSubmitter(isDivided = false): TestSubmitter {
	const timers = new VirtualTimers();
	const sent: PlacementMessage[] = [];
	const results: JobOutcome[] = [];
	let view: PlacerView = {term: 1, placerId: 'first'};
	let incarnation = 'one';
	let isOverdue = false;
	const cutShards = new Set<string>();
	const evacuatedZones = new Set<string>();
	let evacuatedMs: number | undefined;
	const shards = createShardMap({
		availabilityZone: 'north', wasDivided: isDivided, isEvacuated: zone => evacuatedZones.has(zone), timers, random: createSeededRandomSource(1),
	});
	const submitter = createJobSubmitter({
		timers,
		random: createSeededRandomSource(1),
		events: new RecordingEventLog(),
		metrics: new RecordingMetricSink(),
		shards,
		getPlacerView: shard => (shard === shards.getOwnShard() ? view : shards.findOtherView(shard) ?? {term: 0, placerId: ''}),
		isPlacerOverdue: () => isOverdue,
		getIncarnation: daemonId => `${daemonId} ${incarnation}`,
		getRegistryDigest: () => 'digest',
		findEvacuatedMs: () => evacuatedMs,
		sendToPlacer(shard, message) {
			if (cutShards.has(shard)) {
				return false;
			}

			sent.push(message);
			return view.placerId !== '';
		},
	});
	return {
		timers,
		submitter,
		sent,
		results,
		shards,
		evacuatedZones,
		setEvacuatedMs(next) {
			evacuatedMs = next;
		},
		setRoute(shard, isOpen) {
			if (isOpen) {
				cutShards.delete(shard);
			} else {
				cutShards.add(shard);
			}
		},
		setView(next) {
			view = next;
		},
		setOverdue(next) {
			isOverdue = next;
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
			test.submitter.handleResult('job', refusal);
			assert.deepEqual(test.results, [refusal]);
		});

		it('tells the next placer if it learns so only after the job was submitted there', () => {
			const test = createTestSubmitter();
			submit(test);
			test.setView(second);
			test.submitter.handlePlacerChange();
			test.submitter.handleNotBegun(first, ['job']);
			assert.deepEqual(getSubmissions(test), [[1, 0, false], [2, 1, true], [2, 1, false]]);
			test.submitter.handleResult('job', refusal);
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
			test.submitter.handleResult('job', refusal);
			assert.deepEqual(test.results, [{outcome: 'unknown'}]);
		});

		it('does not count the word of a placer that got the job twice, since it may be about either submission', () => {
			const test = createTestSubmitter();
			submit(test);
			test.submitter.handleUnknownJobs(['job']);
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
		test.submitter.handleResult('job', {outcome: 'completed'});
		assert.deepEqual(test.results, [{outcome: 'completed'}]);
	});

	describe('with a job that its own zone refuses for overload', () => {
		function createDividedSubmitter(): TestSubmitter {
			const test = createTestSubmitter(true);
			test.shards.updateOtherShard('south', {term: 1, placerId: 'other'}, 0);
			submit(test);
			return test;
		}

		it('forwards it to an idle zone and reports the result from there', () => {
			const test = createDividedSubmitter();
			test.submitter.handleResult('job', refusal);
			assert.deepEqual(test.results, []);
			test.submitter.handleResult('job', {outcome: 'completed'});
			assert.deepEqual(test.results, [{outcome: 'completed'}]);
		});

		// Guards against a job that waits for a zone which has been cut off.
		it('refuses it at once if there is no route to the idle zone', () => {
			const test = createDividedSubmitter();
			test.setRoute('south', false);
			test.submitter.handleResult('job', refusal);
			assert.deepEqual(test.results, [refusal]);
		});

		it('refuses it at once if the idle zone has not been heard for a second', () => {
			const test = createDividedSubmitter();
			test.timers.advance(1000);
			test.submitter.handleResult('job', refusal);
			assert.deepEqual(test.results, [refusal]);
		});

		// Guards against a caller that gets no answer because the zone that runs its job has been cut off.
		it('reports it as unknown once the other zone has not been heard for a second', () => {
			const test = createDividedSubmitter();
			test.submitter.handleResult('job', refusal);
			test.timers.advance(900);
			assert.deepEqual(test.results, []);
			test.timers.advance(400);
			assert.deepEqual(test.results, [{outcome: 'unknown'}]);
		});

		it('waits for the result as long as the other zone is heard', () => {
			const test = createDividedSubmitter();
			test.submitter.handleResult('job', refusal);
			for (let round = 0; round < 8; round++) {
				test.timers.advance(250);
				test.shards.updateOtherShard('south', {term: 1, placerId: 'other'}, 90);
			}

			assert.deepEqual(test.results, []);
		});
	});

	describe('with a job of an evacuated availability zone', () => {
		const evacuated: JobOutcome = {outcome: 'refused', reason: 'evacuated', retryAfterMs: 1000};

		function createEvacuatedSubmitter(evacuatedMs: number, loads: Record<string, number>): TestSubmitter {
			const test = createTestSubmitter(true);
			for (const [shard, loadMs] of Object.entries(loads)) {
				test.shards.updateOtherShard(shard, {term: 1, placerId: `placer-${shard}`}, loadMs);
			}

			test.evacuatedZones.add('north');
			test.setEvacuatedMs(evacuatedMs);
			return test;
		}

		function countSubmissions({sent}: TestSubmitter): number {
			return sent.filter(({kind}) => kind === 'placement.submit').length;
		}

		// Guards against a second run of a job of which an earlier submission still runs in the evacuated availability zone.
		it('asks the placer of the zone first while earlier runs may go on, then another zone, although it is not idle', () => {
			const test = createEvacuatedSubmitter(100, {south: 90});
			submit(test);
			assert.equal(countSubmissions(test), 1);
			test.submitter.handleResult('job', evacuated);
			assert.equal(countSubmissions(test), 2);
			test.submitter.handleResult('job', {outcome: 'completed'});
			assert.deepEqual(test.results, [{outcome: 'completed'}]);
		});

		it('goes directly to another zone after that', () => {
			const test = createEvacuatedSubmitter(5000, {south: 90});
			submit(test);
			assert.equal(countSubmissions(test), 1);
			test.submitter.handleResult('job', {outcome: 'completed'});
			assert.deepEqual(test.results, [{outcome: 'completed'}]);
		});

		it('tries each other zone once, and then reports the last refusal', () => {
			const test = createEvacuatedSubmitter(5000, {south: 90, west: 60});
			submit(test);
			test.submitter.handleResult('job', refusal);
			assert.deepEqual([countSubmissions(test), test.results], [2, []]);
			test.submitter.handleResult('job', refusal);
			assert.deepEqual([countSubmissions(test), test.results], [2, [refusal]]);
		});

		// Guards against callers of an evacuated zone that is cut off, who would wait until they time out.
		const closed: Array<{title: string; loads: Record<string, number>; evacuatedZones: string[]; cutShards: string[]}> = [
			{
				title: 'no other zone is heard', loads: {}, evacuatedZones: [], cutShards: [],
			},
			{
				title: 'the other zones are evacuated too', loads: {south: 0}, evacuatedZones: ['south'], cutShards: [],
			},
			{
				title: 'there is no route to the other zones', loads: {south: 0, west: 0}, evacuatedZones: [], cutShards: ['south', 'west'],
			},
		];
		for (const {title, loads, evacuatedZones, cutShards} of closed) {
			it(`is refused at once if ${title}`, () => {
				const test = createEvacuatedSubmitter(5000, loads);
				for (const zone of evacuatedZones) {
					test.evacuatedZones.add(zone);
				}

				for (const shard of cutShards) {
					test.setRoute(shard, false);
				}

				submit(test);
				assert.deepEqual(test.results.map(result => [result.outcome, 'reason' in result && result.reason]), [['refused', 'evacuated']]);
			});
		}

		it('is reported as unknown if it was resubmitted to a second placer before', () => {
			const test = createEvacuatedSubmitter(100, {south: 0});
			submit(test);
			test.setView({term: 2, placerId: 'second'});
			test.submitter.handlePlacerChange();
			test.submitter.handleResult('job', evacuated);
			assert.deepEqual(test.results, [{outcome: 'unknown'}]);
		});
	});
});
