import type {RandomSource, TimerService} from '@camphortack/core';
import {
	getSuspicionTimeoutMs, pingHelpers, pingsBeforeSuspicion, probeIntervalMs, silenceMs,
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
	onVerdict: (record: MemberRecord) => void;
};

/**
 * Finds out which daemons of the own availability zone are dead. Each daemon watches the one before it in the order of
 * names, so the cost does not grow with the zone. A daemon that talks anyway is not pinged.
 */
export type FailureDetector = {
	noteHeard(peerId: string): void;
	/** Whether a daemon was heard so lately that it need not be pinged. */
	isHeardLately(peerId: string): boolean;
	/** Pings a daemon that another one holds dead, whoever watches it. */
	doubt(peerId: string): void;
	stop(): void;
};

type Probe = {
	incarnation: string;
	unansweredPings: number;
};

const pausedTicks = 3;
/** Each second ping also goes through other daemons. */
const pingsPerPingRequest = 2;

/**
 * Creates the failure detector.
 * @param options - The table and the ways to ping.
 */
export function createFailureDetector(options: FailureDetectorOptions): FailureDetector {
	const {table, timers, random} = options;
	const heardMs = new Map<string, number>();
	const probes = new Map<string, Probe>();
	const doubted = new Set<string>();
	const {id: ownId, availabilityZone} = table.getOwn();
	let tickedMs = timers.getNowMs();

	function tick(): void {
		const nowMs = timers.getNowMs();
		if (nowMs - tickedMs > pausedTicks * probeIntervalMs) {
			// This process was paused: that nobody answered meanwhile says nothing.
			probes.clear();
		}

		tickedMs = nowMs;
		const liveIds = table.getLiveIds(availabilityZone);
		const watchedIds = new Set([...getWatchedIds(liveIds, ownId, id => isUnanswered(id)), ...doubted]);
		forgetUnwatched(watchedIds);
		for (const id of watchedIds) {
			watch(id, liveIds);
		}
	}

	function isUnanswered(id: string): boolean {
		return (probes.get(id)?.unansweredPings ?? 0) > 1;
	}

	function forgetUnwatched(watchedIds: ReadonlySet<string>): void {
		for (const id of probes.keys()) {
			if (!watchedIds.has(id)) {
				probes.delete(id);
			}
		}
	}

	function watch(id: string, liveIds: readonly string[]): void {
		const record = table.findRecord(id);
		if (record === undefined || !isLive(record)) {
			probes.delete(id);
			doubted.delete(id);
			return;
		}

		if (isHeardLately(id) && !doubted.has(id)) {
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
			doubted.delete(record.id);
			options.onVerdict({...record, state: 'dead'});
			return;
		}

		if (current.unansweredPings >= pingsBeforeSuspicion && record.state === 'alive') {
			options.onVerdict({...record, state: 'suspect'});
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
		const zoneHelpers = getSample(liveIds.filter(id => canHelp(id)), pingHelpers, random);
		if (zoneHelpers.length === pingHelpers) {
			return zoneHelpers;
		}

		const distantIds = table.getZones().filter(zone => zone !== availabilityZone).flatMap(zone => table.getLiveIds(zone).slice(0, pingHelpers));
		return [...zoneHelpers, ...getSample(distantIds, pingHelpers - zoneHelpers.length, random)];
	}

	function isHeardLately(peerId: string): boolean {
		return timers.getNowMs() - (heardMs.get(peerId) ?? Number.NEGATIVE_INFINITY) < silenceMs;
	}

	const interval = timers.addInterval(probeIntervalMs, tick);
	return {
		noteHeard(peerId) {
			if (table.findRecord(peerId)?.availabilityZone === availabilityZone) {
				heardMs.set(peerId, timers.getNowMs());
				doubted.delete(peerId);
				probes.delete(peerId);
			}
		},
		isHeardLately,
		doubt(peerId) {
			doubted.add(peerId);
		},
		stop() {
			interval.cancel();
		},
	};
}
