import {createSeededRandomSource} from '@camphortack/core';
import {createCrashRegister, createPlacer, type Placer} from '@camphortack/placement';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import {createFakeFleet} from '../../../placement/test/support/fake-fleet.js';
import {createLoadPattern, mixedKinds, type PatternJob} from '../../../placement/test/support/load-pattern.js';
import {runFor} from '../../../placement/test/support/run-for.js';
import {heartbeatMs} from '../../src/cluster-timings.js';
import {createServerRecords} from '../../src/records/server-records.js';
import {createJobSubmitter, type JobSubmitter} from '../../src/entry/job-submitter.js';
import {createShardMap, type ShardMap} from '../../src/shards/shard-map.js';

export type ZoneReplayOptions = {
	/** The mean load as a multiple of all cores, and by which share of it demand swings, in different phases in the zones. */
	load: number;
	swing: number;
	/** Whether jobs that are refused for overload are forwarded to idle zones. */
	isForwarding: boolean;
	seed: number;
};

export type ZoneReplayResult = {
	/** Worth of the jobs in time, and a fifth of that of late ones, of all. */
	earnedShare: number;
	/** The jobs that were forwarded, of all. */
	forwardedShare: number;
	/** The jobs whose callers were told that they were refused, of all. */
	refusedShare: number;
};

type Entry = {id: string; submitter: JobSubmitter; shards: ShardMap; events: RecordingEventLog};

const zones = ['a', 'b', 'c'];
const serversPerZone = 10;
const coresPerServer = 64;
const entriesPerZone = 3;
const periodMs = 17_000;
const durationMs = 8500;
const drainMs = 2500;
const stepMs = 2;
const localLinkMs = 1;
const remoteLinkMs = 3;
const lateShare = 0.2;
const lateFactor = 3;

/**
 * Replays a load on three availability zones, each with a placer and entry daemons, in virtual time.
 * @param options - The load and its swing.
 */
export async function replayZones({load, swing, isForwarding, seed}: ZoneReplayOptions): Promise<ZoneReplayResult> {
	const timers = new VirtualTimers();
	const random = createSeededRandomSource(seed);
	const durations = new Map<string, number>();
	const millicores = new Map<string, number>();
	const placers = new Map<string, Placer>();
	const entries = new Map<string, Entry>();
	const completedAtMs = new Map<string, number>();
	let refusedCount = 0;

	function getLinkMs(entryId: string, zone: string): number {
		return entryId.startsWith(zone) ? localLinkMs : remoteLinkMs;
	}

	function addZone(zone: string, position: number): void {
		const fleet = createFakeFleet({
			timers, serverCount: serversPerZone, availabilityZones: [zone], getDurationMs: name => durations.get(name)!, getMillicores: name => millicores.get(name)!,
		});
		const placer = createPlacer({
			term: 1,
			daemonNumber: position + 1,
			backendServerClient: fleet.getClient(zone),
			timers,
			random: createSeededRandomSource(position),
			events: new RecordingEventLog(),
			metrics: new RecordingMetricSink(),
			crashRegister: createCrashRegister(timers),
			onDescriptionRefuted() {
				// These tests have no registry.
			},
			onCrashRecord() {
				// Each zone has one daemon.
			},
			earlierServers: {
				findServers: () => [],
				requestMissing() {
					// Nothing is missing.
				},
				hasLeft: () => false,
			},
			serverRecorder: {
				setServers() {
					// The entry daemons of these tests record everything at once.
				},
				getUnrecordedIds: () => new Set(),
			},
			onResult(entryId, jobId, result) {
				timers.addTimer(getLinkMs(entryId, zone), () => {
					entries.get(entryId)!.submitter.handleResult(jobId, result, zone);
				});
			},
		});
		placer.setServers(fleet.getDescriptions(), 0);
		placers.set(zone, placer);
	}

	function addEntry(zone: string, number: number): void {
		const id = `${zone}-${number}`;
		const events = new RecordingEventLog();
		const shardMap = createShardMap({
			availabilityZone: zone, wasDivided: true, isEvacuated: () => false, timers, random,
		});
		const shards = isForwarding ? shardMap : {...shardMap, findIdleShard: () => undefined};
		const submitter = createJobSubmitter({
			timers,
			random,
			events,
			metrics: new RecordingMetricSink(),
			shards,
			getPlacerView: shard => ({term: 1, placerId: shard}),
			isPlacerOverdue: () => false,
			records: createServerRecords(timers),
			ownIncarnation: id,
			usesRecords: () => true,
			getIncarnation: () => 'one',
			getSilenceMs: () => 0,
			getRegistryDigest: () => '',
			findEvacuatedMs: () => undefined,
			sendToPlacer(shard, message) {
				if (message.kind === 'placement.submit') {
					timers.addTimer(getLinkMs(id, shard), () => {
						placers.get(shard)!.submit(id, message);
					});
				}

				return true;
			},
		});
		entries.set(id, {
			id, submitter, shards, events,
		});
	}

	function announceLoads(): void {
		for (const [zone, placer] of placers) {
			for (const {id, shards} of entries.values()) {
				if (!id.startsWith(zone)) {
					shards.updateOtherShard(zone, {term: 1, placerId: zone}, placer.getLoadMs());
				}
			}
		}
	}

	/** Draws the jobs of a zone: those of a load as high as the peak, thinned out by the phase of the zone. */
	function createJobs(zone: string, position: number): Array<PatternJob & {zone: string}> {
		const cores = serversPerZone * coresPerServer;
		const peak = createLoadPattern({
			kinds: mixedKinds, cores, load: load * (1 + swing), durationMs, random,
		});
		return peak
			.filter(({arrivesAtMs}) => random.getFraction() * (1 + swing) < 1 + (swing * Math.sin(2 * Math.PI * ((arrivesAtMs / periodMs) + (position / zones.length)))))
			.map(job => ({...job, zone, request: {...job.request, jobId: `${zone}-${job.request.jobId}`}}));
	}

	function submit({zone, request, taskDurationsMs}: PatternJob & {zone: string}): void {
		for (const [index, taskDurationMs] of taskDurationsMs.entries()) {
			durations.set(`${request.jobId}.0.0.${index}`, taskDurationMs);
			millicores.set(`${request.jobId}.0.0.${index}`, request.steps[0]!.cpuMillicores);
		}

		entries.get(`${zone}-${random.getInteger(0, entriesPerZone - 1)}`)!.submitter.submit(request, ({outcome}) => {
			refusedCount += outcome === 'refused' ? 1 : 0;
			if (outcome === 'completed') {
				completedAtMs.set(request.jobId, timers.getNowMs());
			}
		});
	}

	for (const [position, zone] of zones.entries()) {
		addZone(zone, position);
		for (let number = 0; number < entriesPerZone; number++) {
			addEntry(zone, number);
		}
	}

	timers.addInterval(heartbeatMs, announceLoads);
	await runFor(timers, 300, stepMs);
	const startedAtMs = timers.getNowMs();
	const jobs = zones.flatMap((zone, position) => createJobs(zone, position)).toSorted((left, right) => left.arrivesAtMs - right.arrivesAtMs);
	for (const job of jobs) {
		timers.addTimer(job.arrivesAtMs, () => {
			submit(job);
		});
	}

	await runFor(timers, durationMs + drainMs, stepMs);
	const owed = jobs.reduce((sum, {worth}) => sum + worth, 0);
	const earned = jobs.reduce((sum, job) => sum + (job.worth * getServedShare(job, completedAtMs.get(job.request.jobId), startedAtMs)), 0);
	const forwards = [...entries.values()].flatMap(({events}) => events.events).filter(({name}) => name === 'job-forwarded');
	return {earnedShare: earned / owed, forwardedShare: forwards.length / jobs.length, refusedShare: refusedCount / jobs.length};
}

function getServedShare({arrivesAtMs, objectiveMs}: PatternJob, endedAtMs: number | undefined, startedAtMs: number): number {
	const responseMs = (endedAtMs ?? Number.POSITIVE_INFINITY) - startedAtMs - arrivesAtMs;
	if (responseMs > objectiveMs * lateFactor) {
		return 0;
	}

	return responseMs <= objectiveMs ? 1 : lateShare;
}
