import {createSeededRandomSource, type RandomSource} from '@camphortack/core';
import {runFor} from '../../../placement/test/support/run-for.js';
import type {RunRecord} from '../../../placement/test/support/fake-server.js';
import {createTestCluster, type TestCluster} from './create-test-cluster.js';
import {ignoreAcknowledgement, startAndWaitUntilServing, submitFor} from './drive-cluster.js';
import {findLateStarts, getShard, type LateStart} from './find-late-starts.js';

export type PowerReturnOptions = {
	seed: number;
	serverCount: number;
	hasSecondKeepers: boolean;
	/** The availability zones; a, b and c by default. */
	availabilityZones?: readonly string[];
	/** Number of entry daemons of each availability zone; 2 by default. */
	entriesPerZone?: number;
	/** Number of keepers whose disks are lost with the power; 0 by default. */
	lostDiskCount?: number;
	/** Whether callers whose entry daemon lost power before it answered submit their jobs again, through other entry daemons. */
	hasResubmissions?: boolean;
	/** The time without power; 1.3 s by default, which is longer than the leases of runs. */
	darkMs?: number;
	/** The share of the links between daemons that open late, each in one direction. */
	lateLinkShare: number;
	/** The share of the links that are interrupted once after the start. */
	brokenLinkShare: number;
};

export type PowerReturnResult = {
	test: TestCluster;
	overlaps: Array<[RunRecord, RunRecord]>;
	/** The starts by placers whose successor had concluded that tasks of the job do not run. */
	lateStarts: LateStart[];
	/** The terms in which two daemons of one shard placed. */
	sharedTerms: number;
	outcomes: Record<string, number>;
};

const defaultDarkMs = 1300;
const maxStartMs = 400;
const maxLinkDelayMs = 1800;
const maxAnnouncementMs = 2500;
const reportIntervalMs = 500;
const submissionIntervalMs = 40;
const trafficMs = 4000;
/** Callers submit a job again this long after the loss of power, or up to the variation later. */
const resubmissionDelayMs = 1300;
const resubmissionVariationMs = 200;
const resubmissionRetryMs = 50;
/** Faults that earlier schedules do not have are drawn from a seed of their own, so that these replay unchanged. */
const addedFaultsSeedOffset = 1_000_000;

/**
 * Replays a loss of power of all VMs: daemons start within a short time of each other, links between them open at different times in each
 * direction, and each backend server announces itself to one keeper. Callers submit jobs all the time.
 * @param options - The seed and the size of the deployment.
 */
export async function replayPowerReturn(options: PowerReturnOptions): Promise<PowerReturnResult> {
	const random = createSeededRandomSource(options.seed);
	const test = createTestCluster({
		serverCount: options.serverCount,
		hasSecondKeepers: options.hasSecondKeepers,
		availabilityZones: options.availabilityZones,
		entriesPerZone: options.entriesPerZone,
		getDurationMs: () => 200 + (random.getFraction() * 700),
	});
	const addedFaults = createSeededRandomSource(options.seed + addedFaultsSeedOffset);
	await startAndWaitUntilServing(test);
	await submitFor(test, 200, 20, 'before');
	for (const {id} of test.daemons) {
		test.kill(id);
	}

	loseDisks(test, addedFaults, options.lostDiskCount ?? 0);
	if (options.hasResubmissions) {
		resubmitUnanswered(test, addedFaults);
	}

	await runFor(test.timers, options.darkMs ?? defaultDarkMs);
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
		test, overlaps: test.fleet.findOverlaps(), lateStarts: findLateStarts(test), sharedTerms: countSharedTerms(test, eventCount), outcomes: countOutcomes(test),
	};
}

function loseDisks(test: TestCluster, random: RandomSource, count: number): void {
	const keeperIds = test.daemons.map(({id}) => id).filter(id => id.startsWith('keeper'));
	for (let lostCount = 0; lostCount < count; lostCount++) {
		const [id] = keeperIds.splice(random.getInteger(0, keeperIds.length - 1), 1);
		test.loseHints(id!);
	}
}

/** Lets the callers of all jobs without an answer submit these again. */
function resubmitUnanswered(test: TestCluster, random: RandomSource): void {
	const answeredIds = new Set(test.results.map(({jobId}) => jobId));
	for (const {jobId, daemonId} of test.submissions.filter(submission => !answeredIds.has(submission.jobId))) {
		test.timers.addTimer(resubmissionDelayMs + (random.getFraction() * resubmissionVariationMs), () => {
			resubmit(test, random, jobId, daemonId);
		});
	}
}

/** Submits a job to another entry daemon than before, as soon as one is up. */
function resubmit(test: TestCluster, random: RandomSource, jobId: string, earlierId: string): void {
	const entries = test.daemons.filter(({id, isUp}) => isUp && id.startsWith('entry') && id !== earlierId);
	if (entries.length > 0) {
		test.submit(entries[random.getInteger(0, entries.length - 1)]!.id, jobId);
		return;
	}

	test.timers.addTimer(resubmissionRetryMs, () => {
		resubmit(test, random, jobId, earlierId);
	});
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
		const key = `${getShard(test, daemonId)} ${String(term)}`;
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
