import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSeededRandomSource} from '@camphortack/core';
import type {Placer} from '../../src/index.js';
import {completeReports} from '../support/create-test-placer.js';
import type {FakeFault} from '../support/fake-server.js';
import {replayLoad, type ReplayResult, type ReplayStep} from '../support/load-replay.js';
import {SlowClient, type RequestCost} from '../support/slow-client.js';

const lostAtMs = 2000;
const overdueAtMs = 2250;
const replacedAtMs = 2600;
const durationMs = 6000;
const msPerSecond = 1000;
/** A task needs a start, and a renewal that returns its end. */
const requestsPerTask = 2;
/** Docs/design/hard-load.md: from 2 s after the loss of a placer, 0.8 of what its successor can start is served. */
const minServedShare = 0.8;
/** A placer that uses up to three quarters of what it has serves 0.95, as in the test of a placer whose load is at its worst. */
const calmUtilization = 0.75;
const minCalmShare = 0.95;
/** Claims and starts share the processor, so claims take up to twice their own processor time. */
const claimTimeFactor = 2;
const boundFromMs = lostAtMs + (2 * msPerSecond);
const callerTimeoutMs = 1500;
/** The wait from which other shards do not forward jobs here. */
const idleLoadMs = 30;

/** Loses the placer under load and replaces it by one on an entry VM, where each request costs processor time. */
function getTakeover(cost: RequestCost, onCreated: (successor: Placer) => void = () => undefined): ReplayStep[] {
	return [
		{
			atMs: lostAtMs,
			apply({placer}) {
				placer.stop();
			},
		},
		{
			atMs: replacedAtMs,
			apply(test, openJobs) {
				const successor = test.createSuccessor(2, 'second', 2, {wrapClient: client => new SlowClient(client, test.timers, cost), earlierJobs: completeReports});
				onCreated(successor);
				successor.setServers(test.fleet.getDescriptions(), 0);
				test.usePlacer(successor);
				for (const {request, arrivesAtMs} of openJobs) {
					const wasSubmitted = arrivesAtMs < overdueAtMs;
					test.submit({...request, ageMs: replacedAtMs - arrivesAtMs, callerTimeoutMs}, {
						generation: wasSubmitted ? 1 : 0,
						handover: wasSubmitted ? {entryId: 'entry', registryDigest: '', placers: [{placerId: 'first', incarnation: 'one'}]} : undefined,
					});
				}
			},
		},
	];
}

type Takeover = ReplayResult & {cost: RequestCost};

/** Gets the jobs that arrive in an interval, and how many of their tasks belong to jobs with an outcome. */
function getArrivals({test, jobs}: Takeover, fromMs: number, toMs: number) {
	const arrived = jobs.filter(({arrivesAtMs}) => arrivesAtMs >= fromMs && arrivesAtMs < toMs);
	const withOutcome = (outcome: string) => arrived.filter(({request}) => (test.results.get(request.jobId)?.outcome ?? 'none') === outcome);
	const countTasks = (counted: typeof arrived) => counted.reduce((sum, {taskDurationsMs}) => sum + taskDurationsMs.length, 0);
	return {
		completedShare: withOutcome('completed').length / arrived.length,
		unknown: withOutcome('unknown'),
		unanswered: withOutcome('none'),
		taskCount: countTasks(arrived),
		completedTaskCount: countTasks(withOutcome('completed')),
	};
}

/** Checks what is served of the tasks that the placer has the processor time to start. */
function checkServed(takeover: Takeover, fromMs: number, toMs: number): void {
	const {taskCount, completedTaskCount} = getArrivals(takeover, fromMs, toMs);
	const startableCount = (toMs - fromMs) / (requestsPerTask * takeover.cost.laterMs);
	const minShare = taskCount <= startableCount * calmUtilization ? minCalmShare : minServedShare;
	const share = completedTaskCount / Math.min(taskCount, startableCount);
	assert.ok(share >= minShare, `${share} of ${Math.min(taskCount, startableCount)} tasks of the jobs from ${fromMs} to ${toMs} ms`);
}

/** Checks that only jobs that were sent to the lost placer are unknown, and only if not all backend servers were claimed in time. */
function checkUnknown(takeover: Takeover): void {
	const claimed = takeover.test.events.events.find(({name, fields}) => name === 'placer-progressed' && fields.term === 2 && fields.milestone === 'all-claimed');
	const claimTimeMs = Number(claimed?.fields.afterMs);
	assert.ok(claimTimeMs <= takeover.test.fleet.servers.length * takeover.cost.firstMs * claimTimeFactor, `claimed after ${claimTimeMs} ms`);
	for (const {arrivesAtMs, request} of getArrivals(takeover, 0, durationMs).unknown) {
		assert.ok(arrivesAtMs < overdueAtMs, `${request.jobId} was not sent to the lost placer`);
		assert.ok(arrivesAtMs + callerTimeoutMs - request.steps[0]!.estimateMs <= replacedAtMs + claimTimeMs, `${request.jobId} could have been run in time`);
	}
}

describe('an entry VM that takes over under load', () => {
	/**
	 * Guards against a VM that opens connections, claims and starts tasks for seconds without serving anything: starts go
	 * unanswered while claims need the processor, and each costs another claim. `minEarly` are the shares of the jobs that are
	 * completed of those of the first and second second after the loss. A VM that has claimed everything in the first second
	 * serves 0.8 of what arrives once its predecessor is overdue (0.75 of the second), and a calm share afterwards. One that is
	 * still claiming serves 0.9 of what arrives after it has taken over (0.4 of the second), and 0.8 afterwards.
	 */
	const rows: Array<{cost: RequestCost; load: number; seeds: number[]; minEarly?: [number, number]}> = [
		{
			cost: {firstMs: 2, laterMs: 0.3}, load: 0.5, seeds: [1, 2], minEarly: [0.75 * minServedShare, minCalmShare],
		},
		{
			cost: {firstMs: 7, laterMs: 0.5}, load: 0.5, seeds: [1, 2, 3], minEarly: [0.4 * 0.9, minServedShare],
		},
		{cost: {firstMs: 10, laterMs: 0.7}, load: 0.5, seeds: [1, 2, 3]},
		{cost: {firstMs: 10, laterMs: 0.7}, load: 0.9, seeds: [1]},
		{cost: {firstMs: 10, laterMs: 1.4}, load: 0.5, seeds: [1, 2]},
		{cost: {firstMs: 14, laterMs: 0.7}, load: 0.5, seeds: [1, 2]},
	];
	for (const {cost, load, seeds, minEarly} of rows) {
		for (const seed of seeds) {
			it(`a request costs ${cost.firstMs} ms, later ${cost.laterMs} ms, load ${load}, seed ${seed} → serves what it can start from 2 s after the loss`, async () => {
				const result = await replayLoad({
					load, seed, durationMs, steps: getTakeover(cost),
				});
				const takeover = {...result, cost};
				for (let fromMs = boundFromMs; fromMs < durationMs; fromMs += msPerSecond) {
					checkServed(takeover, fromMs, fromMs + msPerSecond);
				}

				for (const [second, minShare] of (minEarly ?? []).entries()) {
					const fromMs = lostAtMs + (second * msPerSecond);
					const {completedShare} = getArrivals(takeover, fromMs, fromMs + msPerSecond);
					assert.ok(completedShare >= minShare, `${completedShare} of the jobs of second ${second}`);
				}

				checkUnknown(takeover);
				assert.deepEqual(getArrivals(takeover, 0, durationMs).unanswered, []);
				assert.deepEqual(result.test.fleet.findOverlaps(), []);
			});
		}
	}

	// Guards against a placer that stays limited after its lag, or that refuses jobs without telling callers or other shards.
	it('refuses jobs with a Retry-After while it is behind, announces a wait, and returns to full service', async () => {
		const announcedMs: number[] = [];
		let successor: Placer | undefined;
		const {test} = await replayLoad({
			load: 0.5,
			durationMs,
			steps: [...getTakeover({firstMs: 10, laterMs: 0.7}, placer => {
				successor = placer;
			}), ...[2800, 3000, 3200, 3400].map(atMs => ({
				atMs,
				apply() {
					announcedMs.push(successor!.getLoadMs());
				},
			}))],
		});
		assert.ok(announcedMs.every(waitMs => waitMs >= idleLoadMs), announcedMs.join(' '));
		assert.ok(test.metrics.getCount('job-refused-lag') > 0);
		assert.ok([...test.results.values()].every(result => result.outcome !== 'refused' || result.retryAfterMs >= 1000));
		const changes = test.events.events.map(({name}) => name).filter(name => name === 'placer-lagging' || name === 'placer-caught-up');
		assert.deepEqual([changes[0], changes.at(-1)], ['placer-lagging', 'placer-caught-up']);
		assert.equal(successor!.getLoadMs(), 0);
	});

	// Guards against a return of the keepers that loses what the entry VM had, or that takes long since it was behind.
	for (const seed of [1, 2]) {
		it(`hands over to a keeper that has been up for 1 s, which serves everything within 1 s, seed ${seed}`, async () => {
			const keeperAtMs = 4000;
			const cost = {firstMs: 10, laterMs: 1.4};
			let successor: Placer | undefined;
			const result = await replayLoad({
				load: 0.5,
				seed,
				durationMs,
				steps: [...getTakeover(cost, placer => {
					successor = placer;
				}), {
					atMs: keeperAtMs,
					apply(test, openJobs) {
						const unstartedIds = new Set([...successor!.getUnstartedJobIds().values()].flat());
						successor!.stop();
						const keeper = test.createSuccessor(3, 'third', 3, {earlierJobs: completeReports});
						keeper.setServers(test.fleet.getDescriptions(), 0);
						test.usePlacer(keeper);
						for (const {request, arrivesAtMs} of openJobs) {
							const isNew = unstartedIds.has(request.jobId);
							test.submit({...request, ageMs: keeperAtMs - arrivesAtMs, callerTimeoutMs}, {
								generation: isNew ? 0 : 2,
								handover: isNew ? undefined : {entryId: 'entry', registryDigest: '', placers: [{placerId: 'second', incarnation: 'two'}]},
							});
						}
					},
				}],
			});
			const served = getArrivals({...result, cost}, keeperAtMs + msPerSecond, durationMs);
			assert.ok(served.completedShare >= minCalmShare, `${served.completedShare} completed`);
			const handedOver = getArrivals({...result, cost}, replacedAtMs, durationMs);
			assert.deepEqual([handedOver.unknown, handedOver.unanswered], [[], []]);
			assert.deepEqual(result.test.fleet.findOverlaps(), []);
		});
	}

	// Guards against a limit on a VM that keeps up, whatever its load and the faults of backend servers.
	const random = createSeededRandomSource(1);
	const troubles: Array<{title: string; load: number; serverCount: number; fault: FakeFault}> = [
		{
			title: 'a load of 0.9', load: 0.9, serverCount: 0, fault: {},
		},
		{
			title: 'a load of 2.1', load: 2.1, serverCount: 0, fault: {},
		},
		{
			title: '20 of 76 backend servers that are cut off', load: 0.9, serverCount: 20, fault: {isUnreachableFrom: () => true},
		},
		{
			title: '13 of 76 backend servers that are slow', load: 0.9, serverCount: 13, fault: {slowdownFactor: 8},
		},
		{
			title: 'one request in ten without a response', load: 0.9, serverCount: 76, fault: {isRequestDelayed: () => random.getFraction() < 0.1},
		},
	];
	for (const {title, load, serverCount, fault} of troubles) {
		it(`never limits the starts of a placer that keeps up, with ${title}`, async () => {
			const {test} = await replayLoad({
				load,
				steps: [{
					atMs: 1000,
					apply({fleet}) {
						for (const server of fleet.servers.slice(0, serverCount)) {
							server.fault = fault;
						}
					},
				}],
			});
			assert.deepEqual(test.events.events.filter(({name}) => name === 'placer-lagging'), []);
			assert.equal(test.metrics.getCount('job-refused-lag'), 0);
		});
	}
});
