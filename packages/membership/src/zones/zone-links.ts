import type {EventLog, RandomSource, TimerService} from '@camphortack/core';
import {
	joinIntervalMs, summaryIntervalMs, zoneCheckIntervalMs, zoneTimeoutMs,
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
	/** Starts an exchange about an availability zone with one of its daemons. */
	requestZone: (peerId: string, availabilityZone: string) => void;
	/** Called with each observation of this daemon, to disseminate it in the own availability zone. */
	onObservation: (observation: ZoneObservation) => void;
};

/**
 * Links this availability zone to the others. Only the two gateways of a zone send summaries, and normally only to the two
 * gateways of the other zone.
 */
export type ZoneLinks = {
	recordReceived(peerId: string): void;
	handleSummary(fromPeerId: string, message: MembershipMessageOf<'membership.summary'>): void;
	/** Adds an observation of a gateway of the own availability zone. Returns false if it is outdated or already known. */
	addObservation(observation: ZoneObservation): boolean;
	/** Gets the latest observations of the gateways of the own availability zone. */
	getObservations(): ZoneObservation[];
	isReachable(availabilityZone: string): boolean;
	/** Gets the other availability zones, either known from records or listed in the settings. */
	getOtherZones(): string[];
	/** Gets the gateways of those availability zones to which this daemon is a gateway. */
	getLinkedGatewayIds(): string[];
	stop(): void;
};

/**
 * Creates the zone links.
 * @param options - The member table, the seeds, the send functions and the callbacks.
 */
export function createZoneLinks(options: ZoneLinksOptions): ZoneLinks {
	const {table, seeds, timers, random, events} = options;
	const {id: ownId, incarnation: ownIncarnation, availabilityZone: ownZone} = table.getOwn();
	const lastReceivedMs = new Map<string, number>();
	const lastSentMs = new Map<string, number>();
	const lastSentDigests = new Map<string, number>();
	const linkedZones = new Set<string>();
	const observations = createZoneObservations(table);
	const lastReachability = new Map<string, boolean>();
	let sequence = 0;

	function getOtherZones(): string[] {
		const zones = new Set([...table.getZones(), ...seeds.map(seed => seed.availabilityZone)]);
		zones.delete(ownZone);
		return [...zones].toSorted();
	}

	function isGateway(zone: string): boolean {
		return getGatewayIds(table.getLiveIds(ownZone), zone).includes(ownId);
	}

	function hasRecentMessage(zone: string): boolean {
		return timers.getNowMs() - (lastReceivedMs.get(zone) ?? Number.NEGATIVE_INFINITY) < zoneTimeoutMs;
	}

	function isReachable(zone: string): boolean {
		if (zone === ownZone || hasRecentMessage(zone)) {
			return true;
		}

		const observed = getGatewayIds(table.getLiveIds(ownZone), zone).map(id => observations.findReachability(zone, id));
		// New gateways have no observations yet, so that the last known reachability remains valid.
		const isUnobserved = observed.every(isObservedReachable => isObservedReachable === undefined);
		return isUnobserved ? lastReachability.get(zone) ?? false : observed.includes(true);
	}

	function checkZones(): void {
		for (const zone of getOtherZones()) {
			reportChange(zone);
			if (isGateway(zone)) {
				maintainLink(zone);
			} else if (linkedZones.delete(zone)) {
				publishObservation(zone, undefined);
			}
		}
	}

	function maintainLink(zone: string): void {
		if (!linkedZones.has(zone)) {
			linkedZones.add(zone);
			inheritReachability(zone);
		}

		updateObservation(zone);
		const intervalMs = hasRecentMessage(zone) ? summaryIntervalMs : 2 * joinIntervalMs;
		const hasNewDigest = lastSentDigests.get(zone) !== table.getDigest(ownZone);
		if (hasNewDigest || timers.getNowMs() - (lastSentMs.get(zone) ?? Number.NEGATIVE_INFINITY) >= intervalMs) {
			sendSummary(zone);
		}
	}

	/**
	 * Starts the timeout of a zone that is reachable according to the previous gateways, as a new gateway has received no
	 * message from it yet.
	 */
	function inheritReachability(zone: string): void {
		if (isReachable(zone)) {
			lastReceivedMs.set(zone, timers.getNowMs());
		}
	}

	function updateObservation(zone: string): void {
		const isNowReachable = hasRecentMessage(zone);
		if (observations.findObservation(zone, ownId)?.isReachable !== isNowReachable) {
			publishObservation(zone, isNowReachable);
		}
	}

	/** Publishes the observation of this daemon to its own zone, or its withdrawal once it is no longer a gateway. */
	function publishObservation(zone: string, reachability: boolean | undefined): void {
		sequence++;
		const observation: ZoneObservation = {
			availabilityZone: zone, observerId: ownId, observerIncarnation: ownIncarnation, sequence, ...(reachability !== undefined && {isReachable: reachability}),
		};
		observations.add(observation);
		options.onObservation(observation);
	}

	function reportChange(zone: string): void {
		const isNowReachable = isReachable(zone);
		const wasReachable = lastReachability.get(zone);
		lastReachability.set(zone, isNowReachable);
		if (wasReachable !== undefined && wasReachable !== isNowReachable) {
			events.write(isNowReachable ? 'zone-reachable' : 'zone-unreachable', {availabilityZone: zone});
		}
	}

	function sendSummary(zone: string): void {
		lastSentMs.set(zone, timers.getNowMs());
		lastSentDigests.set(zone, table.getDigest(ownZone));
		const peerId = selectTarget(zone);
		if (peerId !== undefined) {
			sendSummaryTo(peerId, !hasRecentMessage(zone));
		}
	}

	/**
	 * Selects the gateway with the same rank in the other zone, so that each gateway receives one summary per interval. If
	 * no message arrives from that zone, any of its daemons may be selected.
	 */
	function selectTarget(zone: string): string | undefined {
		const liveIds = table.getLiveIds(zone);
		const gatewayIds = getGatewayIds(liveIds, ownZone);
		if (hasRecentMessage(zone) && gatewayIds.length > 0) {
			const rank = getGatewayIds(table.getLiveIds(ownZone), zone).indexOf(ownId);
			return gatewayIds[rank % gatewayIds.length];
		}

		const seedIds = seeds.filter(seed => seed.availabilityZone === zone).map(seed => seed.id);
		return getSample([...new Set([...gatewayIds, ...liveIds, ...seedIds])], 1, random)[0];
	}

	function sendSummaryTo(peerId: string, needsReply: boolean): void {
		options.send(peerId, {
			kind: 'membership.summary', sender: table.getOwn(), digest: table.getDigest(ownZone), needsReply,
		});
	}

	checkZones();
	const interval = timers.addInterval(zoneCheckIntervalMs, checkZones);
	return {
		recordReceived(peerId) {
			const zone = table.findRecord(peerId)?.availabilityZone;
			if (zone !== undefined && zone !== ownZone) {
				lastReceivedMs.set(zone, timers.getNowMs());
			}
		},
		handleSummary(fromPeerId, {sender, digest, needsReply}) {
			if (needsReply) {
				sendSummaryTo(fromPeerId, false);
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
