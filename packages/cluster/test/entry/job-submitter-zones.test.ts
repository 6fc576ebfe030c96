import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import type {JobOutcome} from '@camphortack/placement';
import {
	createTestSubmitter, refusal, submit, type TestSubmitter,
} from '../support/create-test-submitter.js';

describe('createJobSubmitter', () => {
	describe('with a job that its own zone refuses for overload', () => {
		function createDividedSubmitter(): TestSubmitter {
			const test = createTestSubmitter(true);
			test.shards.updateOtherShard('south', {term: 1, placerId: 'other'}, 0);
			submit(test);
			return test;
		}

		it('forwards it to an idle zone and reports the result from there', () => {
			const test = createDividedSubmitter();
			test.handleResult(refusal);
			assert.deepEqual(test.results, []);
			test.handleResult({outcome: 'completed'});
			assert.deepEqual(test.results, [{outcome: 'completed'}]);
		});

		// Guards against a false "not run": two copies of one submission are refused, and the job runs in the other zone.
		it('ignores a second refusal by its own zone after it was forwarded', () => {
			const test = createDividedSubmitter();
			test.handleResult(refusal);
			test.handleResult(refusal, 'first');
			assert.deepEqual(test.results, []);
			test.handleResult({outcome: 'completed'});
			assert.deepEqual(test.results, [{outcome: 'completed'}]);
		});

		// Guards against a job that waits for a zone which has been cut off.
		it('refuses it at once if there is no route to the idle zone', () => {
			const test = createDividedSubmitter();
			test.setRoute('south', false);
			test.handleResult(refusal);
			assert.deepEqual(test.results, [refusal]);
		});

		it('refuses it at once if the idle zone has not been heard for a second', () => {
			const test = createDividedSubmitter();
			test.timers.advance(1000);
			test.handleResult(refusal);
			assert.deepEqual(test.results, [refusal]);
		});

		// Guards against a caller that gets no answer because the zone that runs its job has been cut off.
		it('reports it as unknown once the other zone has not been heard for a second', () => {
			const test = createDividedSubmitter();
			test.handleResult(refusal);
			test.timers.advance(900);
			assert.deepEqual(test.results, []);
			test.timers.advance(400);
			assert.deepEqual(test.results, [{outcome: 'unknown'}]);
		});

		// Nobody can tell: the placer of all backend servers may have begun the job in any zone.
		it('reports a job as unknown that was submitted before the deployment was divided', () => {
			const test = createTestSubmitter();
			submit(test);
			test.shards.divideIfDue(101, false);
			test.submitter.handleDivision();
			assert.deepEqual(test.results, [{outcome: 'unknown'}]);
		});

		it('waits for the result as long as the other zone is heard', () => {
			const test = createDividedSubmitter();
			test.handleResult(refusal);
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
			test.handleResult(evacuated);
			assert.equal(countSubmissions(test), 2);
			test.handleResult({outcome: 'completed'});
			assert.deepEqual(test.results, [{outcome: 'completed'}]);
		});

		it('goes directly to another zone after that', () => {
			const test = createEvacuatedSubmitter(5000, {south: 90});
			submit(test);
			assert.equal(countSubmissions(test), 1);
			test.handleResult({outcome: 'completed'});
			assert.deepEqual(test.results, [{outcome: 'completed'}]);
		});

		it('tries each other zone once, and then reports the last refusal', () => {
			const test = createEvacuatedSubmitter(5000, {south: 90, west: 60});
			submit(test);
			test.handleResult(refusal);
			assert.deepEqual([countSubmissions(test), test.results], [2, []]);
			test.handleResult(refusal);
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
			test.handleResult(evacuated);
			assert.deepEqual(test.results, [{outcome: 'unknown'}]);
		});
	});
});
