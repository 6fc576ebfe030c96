import type {EventLog, RandomSource, TimerService} from '@camphortack/core';
import {
	joinIntervalMs, summaryIntervalMs, zoneCheckIntervalMs, zoneSilenceMs,
} from '../membership-timings.js';
import type {MembershipSeed} from '../membership.js';
import type {MembershipMessageOf, ZoneObservation} from '../messages/membership-messages.js';
import type {MemberTable} from '../table/member-table.js';
import {getSample} from '../utils/get-sample.js';
import {getGatewayIds} from './get-gateway-ids.js';
import {createZoneObservations} from './zone-observations.js';

export type ZoneLinksOptions = {
	table: MemberTable;
	seeds: readonly MembershipSeed[];
	timers: TimerService;
	random: RandomSource;
	events: EventLog;
	send: (peerId: string, message: MembershipMessageOf<'membership.summary'>) => void;
	/** Asks a daemon for its availability zone. */
	requestZone: (peerId: string, availabilityZone: string) => void;
	/** Tells the own availability zone what was observed. */
	onObservation: (observation: ZoneObservation) => void;
};

/** Links this availability zone to the others. Only two daemons of each zone speak for it, and only to two of the other. */
export type ZoneLinks = {
	noteHeard(peerId: string): void;
	handleSummary(fromPeerId: string, message: MembershipMessageOf<'membership.summary'>): void;
	/** Takes what a gateway of the own availability zone observed; false if it is not news. */
	addObservation(observation: ZoneObservation): boolean;
	/** Gets what the gateways of the own availability zone observed last. */
	getObservations(): ZoneObservation[];
	isReachable(availabilityZone: string): boolean;
	/** Gets the other availability zones, heard or named in the settings. */
	getOtherZones(): string[];
	/** Gets the gateways of the other availability zones for which this daemon is a gateway. */
	getLinkedGatewayIds(): string[];
	stop(): void;
};

/**
 * Creates the links.
 * @param options - The table, the seeds and the ways to send.
 */
export function createZoneLinks(options: ZoneLinksOptions): ZoneLinks {
	const {table, seeds, timers, random, events} = options;
	const {id: ownId, incarnation: ownIncarnation, availabilityZone: ownZone} = table.getOwn();
	const heardMs = new Map<string, number>();
	const lastSentMs = new Map<string, number>();
	const toldDigests = new Map<string, number>();
	const linkedZones = new Set<string>();
	const observations = createZoneObservations(table);
	const reported = new Map<string, boolean>();
	let sequence = 0;

	function getOtherZones(): string[] {
		const zones = new Set([...table.getZones(), ...seeds.map(seed => seed.availabilityZone)]);
		zones.delete(ownZone);
		return [...zones].toSorted();
	}

	function isGateway(zone: string): boolean {
		return getGatewayIds(table.getLiveIds(ownZone), zone).includes(ownId);
	}

	function isHeard(zone: string): boolean {
		return timers.getNowMs() - (heardMs.get(zone) ?? Number.NEGATIVE_INFINITY) < zoneSilenceMs;
	}

	function isReachable(zone: string): boolean {
		if (zone === ownZone || isHeard(zone)) {
			return true;
		}

		const verdicts = getGatewayIds(table.getLiveIds(ownZone), zone).map(id => observations.findVerdict(zone, id));
		// Gateways that have just taken over have observed nothing yet: what was known before still stands.
		const isUnobserved = verdicts.every(verdict => verdict === undefined);
		return isUnobserved ? reported.get(zone) ?? false : verdicts.includes(true);
	}

	function check(): void {
		for (const zone of getOtherZones()) {
			reportChange(zone);
			if (isGateway(zone)) {
				serveLink(zone);
			} else if (linkedZones.delete(zone)) {
				tell(zone, undefined);
			}
		}
	}

	function serveLink(zone: string): void {
		if (!linkedZones.has(zone)) {
			linkedZones.add(zone);
			takeOver(zone);
		}

		observe(zone);
		const intervalMs = isHeard(zone) ? summaryIntervalMs : 2 * joinIntervalMs;
		const hasNews = toldDigests.get(zone) !== table.getDigest(ownZone);
		if (hasNews || timers.getNowMs() - (lastSentMs.get(zone) ?? Number.NEGATIVE_INFINITY) >= intervalMs) {
			sendSummary(zone);
		}
	}

	/** A new gateway has heard nothing yet; it goes on from what the earlier ones observed. */
	function takeOver(zone: string): void {
		if (isReachable(zone)) {
			heardMs.set(zone, timers.getNowMs());
		}
	}

	function observe(zone: string): void {
		const isNowReachable = isHeard(zone);
		if (observations.findObservation(zone, ownId)?.isReachable !== isNowReachable) {
			tell(zone, isNowReachable);
		}
	}

	/** Tells the own zone what this gateway observes; nothing, once it is no gateway any more. */
	function tell(zone: string, verdict: boolean | undefined): void {
		sequence++;
		const observation: ZoneObservation = {
			availabilityZone: zone, observerId: ownId, observerIncarnation: ownIncarnation, sequence, ...(verdict !== undefined && {isReachable: verdict}),
		};
		observations.add(observation);
		options.onObservation(observation);
	}

	function reportChange(zone: string): void {
		const isNowReachable = isReachable(zone);
		const wasReachable = reported.get(zone);
		reported.set(zone, isNowReachable);
		if (wasReachable !== undefined && wasReachable !== isNowReachable) {
			events.write(isNowReachable ? 'zone-reachable' : 'zone-unreachable', {availabilityZone: zone});
		}
	}

	function sendSummary(zone: string): void {
		lastSentMs.set(zone, timers.getNowMs());
		toldDigests.set(zone, table.getDigest(ownZone));
		const peerId = chooseTarget(zone);
		if (peerId !== undefined) {
			sendTo(peerId, !isHeard(zone));
		}
	}

	/**
	 * Each gateway writes to the one of its own rank in the other zone, so that each is heard once in an interval; while
	 * that zone is not heard, to any of its daemons.
	 */
	function chooseTarget(zone: string): string | undefined {
		const liveIds = table.getLiveIds(zone);
		const gatewayIds = getGatewayIds(liveIds, ownZone);
		if (isHeard(zone) && gatewayIds.length > 0) {
			const rank = getGatewayIds(table.getLiveIds(ownZone), zone).indexOf(ownId);
			return gatewayIds[rank % gatewayIds.length];
		}

		const seedIds = seeds.filter(seed => seed.availabilityZone === zone).map(seed => seed.id);
		return getSample([...new Set([...gatewayIds, ...liveIds, ...seedIds])], 1, random)[0];
	}

	function sendTo(peerId: string, needsReply: boolean): void {
		options.send(peerId, {
			kind: 'membership.summary', sender: table.getOwn(), digest: table.getDigest(ownZone), needsReply,
		});
	}

	check();
	const interval = timers.addInterval(zoneCheckIntervalMs, check);
	return {
		noteHeard(peerId) {
			const zone = table.findRecord(peerId)?.availabilityZone;
			if (zone !== undefined && zone !== ownZone) {
				heardMs.set(zone, timers.getNowMs());
			}
		},
		handleSummary(fromPeerId, {sender, digest, needsReply}) {
			if (needsReply) {
				sendTo(fromPeerId, false);
			}

			if (digest !== table.getDigest(sender.availabilityZone)) {
				options.requestZone(fromPeerId, sender.availabilityZone);
			}
		},
		addObservation: observations.add,
		getObservations: observations.getAll,
		isReachable,
		getOtherZones,
		getLinkedGatewayIds: () => [...linkedZones].flatMap(zone => getGatewayIds(table.getLiveIds(zone), ownZone)),
		stop() {
			interval.cancel();
		},
	};
}
