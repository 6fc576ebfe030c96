import {createSeededRandomSource, type RandomSource} from '@camphortack/core';
import {runFor} from '../../../placement/test/support/run-for.js';
import type {RunRecord} from '../../../placement/test/support/fake-server.js';
import {createTestCluster, type TestCluster} from './create-test-cluster.js';
import {ignoreAcknowledgement, startAndWaitUntilServing, submitFor} from './drive-cluster.js';

export type PowerReturnOptions = {
	seed: number;
	serverCount: number;
	hasSecondKeepers: boolean;
	/** The share of the links between daemons that open late, each in one direction. */
	lateLinkShare: number;
	/** The share of the links that are interrupted once after the start. */
	brokenLinkShare: number;
};

export type PowerReturnResult = {
	test: TestCluster;
	overlaps: Array<[RunRecord, RunRecord]>;
	/** The terms in which two daemons of one shard placed. */
	sharedTerms: number;
	outcomes: Record<string, number>;
};

const darkMs = 1300;
const maxStartMs = 400;
const maxLinkDelayMs = 1800;
const maxAnnouncementMs = 2500;
const reportIntervalMs = 500;
const submissionIntervalMs = 40;
const trafficMs = 4000;
/** A deployment with as many backend servers has a placer in each availability zone. */
const minDividedServers = 100;

/**
 * Replays a loss of power of all VMs: daemons start within a short time of each other, links between them open at different times in each
 * direction, and each backend server announces itself to one keeper. Callers submit jobs all the time.
 * @param options - The seed and the size of the deployment.
 */
export async function replayPowerReturn(options: PowerReturnOptions): Promise<PowerReturnResult> {
	const random = createSeededRandomSource(options.seed);
	const test = createTestCluster({
		serverCount: options.serverCount, hasSecondKeepers: options.hasSecondKeepers, getDurationMs: () => 200 + (random.getFraction() * 700),
	});
	await startAndWaitUntilServing(test);
	await submitFor(test, 200, 20, 'before');
	for (const {id} of test.daemons) {
		test.kill(id);
	}

	await runFor(test.timers, darkMs);
	const eventCount = test.events.length;
	delayLinks(test, random, options);
	for (const {id} of test.daemons) {
		test.timers.addTimer(random.getFraction() * maxStartMs, () => {
			test.restart(id);
		});
	}

	announceServers(test, random);
	await runFor(test.timers, maxStartMs + 1);
	await submitFor(test, trafficMs, submissionIntervalMs, 'after');
	await runFor(test.timers, 2500);
	return {
		test, overlaps: test.fleet.findOverlaps(), sharedTerms: countSharedTerms(test, eventCount), outcomes: countOutcomes(test),
	};
}

function delayLinks(test: TestCluster, random: RandomSource, {lateLinkShare, brokenLinkShare}: PowerReturnOptions): void {
	for (const {id: fromId} of test.daemons) {
		for (const {id: toId} of test.daemons.filter(({id}) => id !== fromId)) {
			if (random.getFraction() < lateLinkShare) {
				interruptLink(test, random, fromId, toId);
			}

			if (random.getFraction() < brokenLinkShare) {
				test.timers.addTimer(random.getFraction() * maxAnnouncementMs, () => {
					interruptLink(test, random, fromId, toId);
				});
			}
		}
	}
}

function interruptLink({timers, network}: TestCluster, random: RandomSource, fromId: string, toId: string): void {
	network.cutLink(fromId, toId);
	timers.addTimer(random.getFraction() * maxLinkDelayMs, () => {
		network.healLink(fromId, toId);
	});
}

/** Each backend server reports to one keeper, which need not be of its availability zone. */
function announceServers(test: TestCluster, random: RandomSource): void {
	const keeperIds = test.daemons.map(({id}) => id).filter(id => id.startsWith('keeper'));
	for (const server of test.fleet.servers) {
		const keeperId = keeperIds[Math.floor(random.getFraction() * keeperIds.length)]!;
		let sequence = 100;
		const report = () => {
			sequence++;
			const keeper = test.daemons.find(({id}) => id === keeperId)!;
			if (keeper.isUp) {
				keeper.cluster.reportServer({...server.description, sequence}, ignoreAcknowledgement);
			}
		};

		test.timers.addTimer(maxStartMs + (random.getFraction() * maxAnnouncementMs), () => {
			report();
			test.timers.addInterval(reportIntervalMs, report);
		});
	}
}

function countSharedTerms(test: TestCluster, eventCount: number): number {
	const placers = new Map<string, Set<string>>();
	const elections = test.events.slice(eventCount).filter(({name}) => name === 'placer-elected');
	for (const {daemonId, fields: {term}} of elections) {
		const shard = test.fleet.servers.length < minDividedServers ? '' : test.daemons.find(({id}) => id === daemonId)!.availabilityZone;
		const key = `${shard} ${String(term)}`;
		placers.set(key, (placers.get(key) ?? new Set<string>()).add(daemonId));
	}

	return [...placers.values()].filter(ids => ids.size > 1).length;
}

function countOutcomes(test: TestCluster): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {result: {outcome}} of test.results) {
		counts[outcome] = (counts[outcome] ?? 0) + 1;
	}

	return counts;
}
