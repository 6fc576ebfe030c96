import assert from 'node:assert/strict';
import {describe, it} from 'node:test';
import {createSeededRandomSource, type RandomSource} from '@camphortack/core';
import {createTestPlacer, type TestPlacer} from '../support/create-test-placer.js';
import {runFor} from '../support/run-for.js';

const minLateMs = 2000;
const maxLateMs = 12_000;
const jobCount = 150;
const jobIntervalMs = 40;
const drainMs = 15_000;

type Trouble = {
	title: string;
	/** Called before each job is submitted. */
	apply: (test: TestPlacer, number: number) => void;
};

const handover = {entryId: 'entry', registryDigest: '', placers: [{placerId: 'first', incarnation: 'one'}]};

function setLateShare({fleet}: TestPlacer, random: RandomSource, lateShare: number): void {
	for (const server of fleet.servers) {
		server.fault = {...server.fault, isRequestDelayed: () => random.getFraction() < lateShare};
	}
}

function takeOver(test: TestPlacer): void {
	const open = Array.from({length: jobCount}, (_, number) => `job-${number}`).filter(jobId => !test.results.has(jobId));
	test.placer.stop();
	const successor = test.createSuccessor(2, 'second');
	successor.setServers(test.fleet.getDescriptions(), 0);
	test.usePlacer(successor);
	for (const jobId of open) {
		test.submit({jobId, ageMs: 100}, {generation: 1, handover});
	}
}

/** Orders that get no response and take effect 2 to 12 s later, in any order, beside other troubles. */
const troubles: Trouble[] = [
	{
		title: 'nothing else',
		apply() {
			// Only the late orders.
		},
	},
	{
		title: 'backend servers that crash and come back under the same id',
		apply({fleet}, number) {
			if (number % 25 === 24) {
				fleet.crashProcess(`server-${Math.floor(number / 25)}`);
			}
		},
	},
	{
		title: 'backend servers that are cut off until their leases have ended',
		apply({fleet}, number) {
			for (const server of fleet.servers.slice(0, 3)) {
				server.fault = {...server.fault, isUnreachableFrom: () => number >= 40 && number < 90};
			}
		},
	},
	{
		title: 'another submission of each job',
		apply({submit}, number) {
			if (number >= 5) {
				submit({jobId: `job-${number - 5}`}, {submissionId: 'another'});
			}
		},
	},
	{
		title: 'another placer',
		apply(test, number) {
			if (number === 75) {
				takeOver(test);
			}
		},
	},
];

describe('orders that get no response and take effect seconds later', () => {
	for (const {title, apply} of troubles) {
		for (const lateShare of [0.2, 0.5]) {
			// Guards against two runs of a task at once, since each unanswered start is sent again to the same backend server.
			it(`start no second run of a task at a share of ${lateShare}, with ${title}`, async () => {
				for (const seed of [1, 2, 3, 4]) {
					const random = createSeededRandomSource(seed);
					const test = createTestPlacer({
						serverCount: 8,
						isClockReset: true,
						getDurationMs: () => 40 + (random.getFraction() * 300),
						getRequestDelayMs: () => minLateMs + (random.getFraction() * (maxLateMs - minLateMs)),
					});
					// eslint-disable-next-line no-await-in-loop -- One seed after the other.
					await runFor(test.timers, 10);
					setLateShare(test, random, lateShare);
					for (let number = 0; number < jobCount; number++) {
						apply(test, number);
						if (!test.results.has(`job-${number}`)) {
							test.submit({jobId: `job-${number}`});
						}

						// eslint-disable-next-line no-await-in-loop -- The jobs arrive over time.
						await runFor(test.timers, jobIntervalMs, 2);
					}

					setLateShare(test, random, 0);
					// eslint-disable-next-line no-await-in-loop -- One seed after the other.
					await runFor(test.timers, drainMs, 10);
					assert.deepEqual(test.fleet.findOverlaps(), [], `seed ${seed}`);
					assert.ok(test.fleet.getPeakUtilization() <= 1, `seed ${seed}`);
					assert.ok(test.metrics.getCount('request-resent') > 0);
				}
			});
		}
	}
});
