import {createSeededRandomSource} from '@camphortack/core';
import type {JobOutcome, PlacementMessage} from '@camphortack/placement';
import {RecordingEventLog, RecordingMetricSink, VirtualTimers} from '@camphortack/testkit';
import type {PlacerView} from '../../src/election/placer-view.js';
import {createServerRecords} from '../../src/records/server-records.js';
import {createJobSubmitter, type JobSubmitter, type JobSubscription} from '../../src/entry/job-submitter.js';
import {createShardMap, type ShardMap} from '../../src/shards/shard-map.js';

/** A job submitter in virtual time, what it sends and the results that it reports. */
export type TestSubmitter = {
	timers: VirtualTimers;
	submitter: JobSubmitter;
	sent: PlacementMessage[];
	results: JobOutcome[];
	/** Reports a result of the placer to which the job was last submitted, or of another one. */
	handleResult: (result: JobOutcome, placerId?: string) => void;
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

/** A refusal by a placer. */
export const refusal: JobOutcome = {outcome: 'refused', reason: 'overload', retryAfterMs: 1000};

/**
 * Creates a job submitter of the availability zone `north`, whose placer is `first` in term 1.
 * @param isDivided - Whether each availability zone has a placer of its own.
 */
export function createTestSubmitter(isDivided = false): TestSubmitter {
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
	let lastPlacerId = '';
	const getView = (shard: string) => (shard === shards.getOwnShard() ? view : shards.findOtherView(shard) ?? {term: 0, placerId: ''});
	const submitter = createJobSubmitter({
		timers,
		random: createSeededRandomSource(1),
		events: new RecordingEventLog(),
		metrics: new RecordingMetricSink(),
		shards,
		getPlacerView: getView,
		isPlacerOverdue: () => isOverdue,
		records: createServerRecords(timers),
		ownIncarnation: 'entry',
		usesRecords: () => true,
		getIncarnation: daemonId => `${daemonId} ${incarnation}`,
		getSilenceMs: () => Number.POSITIVE_INFINITY,
		getRegistryDigest: () => 'digest',
		findEvacuatedMs: () => evacuatedMs,
		sendToPlacer(shard, message) {
			if (cutShards.has(shard)) {
				return false;
			}

			sent.push(message);
			if (message.kind === 'placement.submit') {
				lastPlacerId = getView(shard).placerId;
			}

			return view.placerId !== '';
		},
	});
	return {
		timers,
		submitter,
		sent,
		results,
		handleResult(result, placerId = lastPlacerId) {
			submitter.handleResult('job', result, placerId);
		},
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

/**
 * Submits the job `job` and records its result.
 * @param test - The submitter.
 */
export function submit({submitter, results}: TestSubmitter): JobSubscription {
	return submitter.submit({
		jobId: 'job', queueName: 'estimates', service: 'quotes', payload: 'text', steps: [], mostAttempts: 3, stretch: 1.6, slackMs: 60, callerTimeoutMs: 1500,
	}, result => {
		results.push(result);
	});
}
