import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {replayLoad, type ReplayResult} from '../support/load-replay.js';
import {summarizeReplay} from '../support/summarize-replay.js';

const deadlyFromMs = 1000;
const deadlyToMs = 5000;
/** What the callers of the other queues are to keep of their worth while jobs of one queue crash backend servers. */
const minEarnedShare = 0.9;

function getEvents({test}: ReplayResult, name: string): string[] {
	return test.events.events.flatMap(event => (event.name === name ? [String(event.fields.queue)] : []));
}

describe('a placer while jobs of one queue crash the backend servers that start them', () => {
	// Guards against a queue whose jobs, each new, take so many backend servers away that callers of other queues are not served.
	it('keeps the worth of the other queues when half of the jobs of a queue are deadly', async () => {
		const result = await replayLoad({
			load: 0.7,
			durationMs: 6000,
			deadlyJobs: {
				kindName: 'wide', share: 0.5, fromMs: deadlyFromMs, toMs: deadlyToMs,
			},
		});
		const {long, small} = summarizeReplay(result, {fromMs: deadlyFromMs, toMs: deadlyToMs});
		assert.ok(result.test.fleet.crashes.length > 0);
		assert.ok(long!.earnedShare >= minEarnedShare && small!.earnedShare >= minEarnedShare, `long ${long!.earnedShare}, small ${small!.earnedShare}`);
		assert.deepEqual(result.test.fleet.findOverlaps(), []);
	});

	// Guards against a queue that stays without backend servers after its bad jobs have ceased.
	it('serves the queue again when its jobs crash no backend server any more', async () => {
		const load = {load: 0.7, durationMs: 15_000};
		const result = await replayLoad({
			...load,
			deadlyJobs: {
				kindName: 'wide', share: 0.5, fromMs: deadlyFromMs, toMs: 3000,
			},
		});
		const part = {fromMs: 12_500, toMs: 15_000};
		const {wide} = summarizeReplay(result, part);
		const {wide: undisturbed} = summarizeReplay(await replayLoad(load), part);
		assert.deepEqual(getEvents(result, 'queue-quarantined'), ['wide']);
		assert.deepEqual(getEvents(result, 'queue-released'), ['wide']);
		assert.ok(wide!.earnedShare >= undisturbed!.earnedShare - 0.02, `${wide!.earnedShare} of ${undisturbed!.earnedShare}`);
	});

	// Guards against queues that are blamed for the failure of a rack.
	it('keeps no queue apart when many backend servers crash at the same moment', async () => {
		const steps = [1000, 2500].map(atMs => ({
			atMs,
			apply({fleet}: ReplayResult['test']) {
				for (const {description} of fleet.servers.filter(({fault}) => !fault.isRefusing).slice(0, 8)) {
					fleet.crashProcess(description.id);
				}
			},
		}));
		const result = await replayLoad({load: 0.6, steps});
		assert.equal(result.test.fleet.crashes.length, 16);
		assert.deepEqual(getEvents(result, 'queue-quarantined'), []);
	});
});
