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
	/** Called when a daemon is suspected or declared dead here. */
	onStateDetected: (record: MemberRecord) => void;
};

/**
 * Finds out which daemons of the own availability zone are dead. Each daemon watches the one before it in the order of
 * names, so the cost does not grow with the zone. A daemon that talks anyway is not pinged.
 */
export type FailureDetector = {
	recordReceived(peerId: string): void;
	/** Whether a daemon was heard so lately that it need not be pinged. */
	hasRecentMessage(peerId: string): boolean;
	/** Pings a daemon that another one holds dead, whoever watches it. */
	verify(peerId: string): void;
	stop(): void;
};

type Probe = {
	incarnation: string;
	unansweredPings: number;
};

const pauseThresholdTicks = 3;
/** Each second ping also goes through other daemons. */
const pingsPerPingRequest = 2;

/**
 * Creates the failure detector.
 * @param options - The table and the ways to ping.
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
			// This process was paused: that nobody answered meanwhile says nothing.
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

	/** Takes daemons of other availability zones where the own one has too few. */
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
