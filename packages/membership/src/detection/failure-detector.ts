import type {RandomSource, TimerService} from '@camphortack/core';
import {
	getSuspicionTimeoutMs, indirectPingHelpers, pingsBeforeSuspicion, probeIntervalMs, pingIdleMs,
} from '../membership-timings.js';
import type {MemberTable} from '../table/member-table.js';
import {isLive, type MemberRecord} from '../table/member-record.js';
import {getSample} from '../utils/get-sample.js';
import {getWatchedIds} from './get-watched-ids.js';

export type FailureDetectorOptions = {
	table: MemberTable;
	timers: TimerService;
	random: RandomSource;
	sendPing: (peerId: string) => void;
	sendPingRequest: (helperId: string, targetId: string) => void;
	/** Called when this daemon suspects another one or declares it dead. */
	onStateDetected: (record: MemberRecord) => void;
};

/**
 * Detects dead daemons of the own availability zone. Each daemon watches its predecessor in the order of ids, so that the
 * cost per daemon does not grow with the zone. A daemon from which messages arrive is not pinged.
 */
export type FailureDetector = {
	recordReceived(peerId: string): void;
	/** Whether a message has arrived from a daemon so recently that it needs no ping. */
	hasRecentMessage(peerId: string): boolean;
	/** Pings a daemon that another one has declared dead, regardless of which daemon watches it. */
	verify(peerId: string): void;
	stop(): void;
};

type Probe = {
	incarnation: string;
	unansweredPings: number;
};

/** A gap of more probe periods than this between two ticks means that the process was paused. */
const pauseThresholdTicks = 3;
/** Every second ping is accompanied by indirect pings. */
const pingsPerPingRequest = 2;

/**
 * Creates the failure detector.
 * @param options - The member table, the timers and the functions that send pings.
 */
export function createFailureDetector(options: FailureDetectorOptions): FailureDetector {
	const {table, timers, random} = options;
	const lastReceivedMs = new Map<string, number>();
	const probes = new Map<string, Probe>();
	const unverifiedIds = new Set<string>();
	const {id: ownId, availabilityZone} = table.getOwn();
	let lastTickMs = timers.getNowMs();

	function tick(): void {
		const nowMs = timers.getNowMs();
		if (nowMs - lastTickMs > pauseThresholdTicks * probeIntervalMs) {
			// This process was paused, so that missing acks say nothing about the other daemons.
			probes.clear();
		}

		lastTickMs = nowMs;
		const liveIds = table.getLiveIds(availabilityZone);
		const watchedIds = new Set([...getWatchedIds(liveIds, ownId, id => isUnresponsive(id)), ...unverifiedIds]);
		removeUnwatchedProbes(watchedIds);
		for (const id of watchedIds) {
			checkWatched(id, liveIds);
		}
	}

	function isUnresponsive(id: string): boolean {
		return (probes.get(id)?.unansweredPings ?? 0) > 1;
	}

	function removeUnwatchedProbes(watchedIds: ReadonlySet<string>): void {
		for (const id of probes.keys()) {
			if (!watchedIds.has(id)) {
				probes.delete(id);
			}
		}
	}

	function checkWatched(id: string, liveIds: readonly string[]): void {
		const record = table.findRecord(id);
		if (record === undefined || !isLive(record)) {
			probes.delete(id);
			unverifiedIds.delete(id);
			return;
		}

		if (hasRecentMessage(id) && !unverifiedIds.has(id)) {
			probes.delete(id);
			return;
		}

		probe(record, liveIds);
	}

	function probe(record: MemberRecord, liveIds: readonly string[]): void {
		const known = probes.get(record.id);
		const current = known?.incarnation === record.incarnation ? known : {incarnation: record.incarnation, unansweredPings: 0};
		probes.set(record.id, current);
		const suspicionPings = Math.ceil(getSuspicionTimeoutMs(liveIds.length) / probeIntervalMs);
		if (current.unansweredPings >= pingsBeforeSuspicion + suspicionPings) {
			probes.delete(record.id);
			unverifiedIds.delete(record.id);
			options.onStateDetected({...record, state: 'dead'});
			return;
		}

		if (current.unansweredPings >= pingsBeforeSuspicion && record.state === 'alive') {
			options.onStateDetected({...record, state: 'suspect'});
		}

		sendPings(record.id, current, liveIds);
	}

	function sendPings(id: string, probe: Probe, liveIds: readonly string[]): void {
		probe.unansweredPings++;
		options.sendPing(id);
		if (probe.unansweredPings % pingsPerPingRequest === 0) {
			for (const helperId of getHelperIds(id, liveIds)) {
				options.sendPingRequest(helperId, id);
			}
		}
	}

	/** Selects random helpers. Daemons of other availability zones are used if the own zone has too few. */
	function getHelperIds(targetId: string, liveIds: readonly string[]): string[] {
		const canHelp = (id: string) => id !== ownId && id !== targetId;
		const zoneHelpers = getSample(liveIds.filter(id => canHelp(id)), indirectPingHelpers, random);
		if (zoneHelpers.length === indirectPingHelpers) {
			return zoneHelpers;
		}

		const remoteIds = table.getZones().filter(zone => zone !== availabilityZone).flatMap(zone => table.getLiveIds(zone).slice(0, indirectPingHelpers));
		return [...zoneHelpers, ...getSample(remoteIds, indirectPingHelpers - zoneHelpers.length, random)];
	}

	function hasRecentMessage(peerId: string): boolean {
		return timers.getNowMs() - (lastReceivedMs.get(peerId) ?? Number.NEGATIVE_INFINITY) < pingIdleMs;
	}

	const interval = timers.addInterval(probeIntervalMs, tick);
	return {
		recordReceived(peerId) {
			if (table.findRecord(peerId)?.availabilityZone === availabilityZone) {
				lastReceivedMs.set(peerId, timers.getNowMs());
				unverifiedIds.delete(peerId);
				probes.delete(peerId);
			}
		},
		hasRecentMessage,
		verify(peerId) {
			unverifiedIds.add(peerId);
		},
		stop() {
			interval.cancel();
		},
	};
}
