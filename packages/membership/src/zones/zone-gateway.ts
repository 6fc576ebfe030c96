import type {RandomSource, TimerService} from '@camphortack/core';
import {getMembersDigest, isLive, type MemberTable} from '../members/member-table.js';
import type {
	MemberRecord, MembershipMessage, SummaryMessage, SummaryReceivedMessage, ZoneRecord,
} from '../messages/membership-messages.js';
import {getDigest} from '../utils/get-digest.js';

/** Exchanges one batched summary for each pair of availability zones, where this daemon is elected to. */
export type ZoneGateway = {
	handleSummary(fromPeerId: string, message: SummaryMessage): void;
	handleSummaryReceived(message: SummaryReceivedMessage): void;
	stop(): void;
};

export type ZoneGatewayOptions = {
	ownId: string;
	zone: string;
	timers: TimerService;
	random: RandomSource;
	table: MemberTable;
	send: (peerId: string, message: MembershipMessage) => void;
	/** Takes in records of another availability zone. */
	onRecords: (records: readonly MemberRecord[]) => void;
	onZoneRecord: (record: ZoneRecord) => void;
};

type ZoneLink = {
	heardAtMs: number;
	confirmedAtMs: number;
	confirmedDigest?: number;
};

const summaryIntervalMs = 1000;
/** A zone that has not been heard for this long counts as cut off. */
const zoneTimeoutMs = 4000;
/** Without a confirmation for this long, another daemon of the zone is tried as well. */
const retargetAfterMs = 1500;

/** Creates the gateway and starts its interval. */
export function createZoneGateway(options: ZoneGatewayOptions): ZoneGateway {
	const {ownId, zone: ownZone, timers, random, table, send, onRecords, onZoneRecord} = options;
	const links = new Map<string, ZoneLink>();
	const interval = timers.addInterval(summaryIntervalMs, sendSummaries);

	function sendSummaries(): void {
		table.removeOld();
		for (const zone of table.getZones()) {
			if (zone !== ownZone && findGateway(ownZone, zone) === ownId) {
				sendSummary(zone);
				judgeZone(zone);
			} else {
				links.delete(zone);
			}
		}
	}

	function getLink(zone: string): ZoneLink {
		let link = links.get(zone);
		if (link === undefined) {
			const nowMs = timers.getNowMs();
			link = {heardAtMs: nowMs, confirmedAtMs: nowMs};
			links.set(zone, link);
		}

		return link;
	}

	/** The daemon of one zone that speaks for it to another one, by rendezvous hashing. */
	function findGateway(zone: string, otherZone: string): string | undefined {
		const candidates = table.getLive(zone).map(({id}) => ({id, score: getDigest(`${otherZone} ${id}`)}));
		let winner = candidates.at(0);
		for (const candidate of candidates) {
			if (candidate.score > winner!.score || (candidate.score === winner!.score && candidate.id < winner!.id)) {
				winner = candidate;
			}
		}

		return winner?.id;
	}

	function sendSummary(zone: string): void {
		const link = getLink(zone);
		const members = table.getLive(ownZone);
		const digest = getMembersDigest(members);
		const summary: SummaryMessage = {
			kind: 'membership.zone-summary',
			zone: ownZone,
			digest,
			members: link.confirmedDigest === digest ? undefined : members,
		};
		for (const peerId of getTargets(zone, link)) {
			send(peerId, summary);
		}
	}

	function getTargets(zone: string, link: ZoneLink): Set<string> {
		const targets = new Set<string>();
		const gateway = findGateway(zone, ownZone);
		if (gateway !== undefined) {
			targets.add(gateway);
		}

		const known = table.getAll().filter(record => record.availabilityZone === zone);
		if (timers.getNowMs() >= link.confirmedAtMs + retargetAfterMs && known.length > 0) {
			targets.add(known[random.getInteger(0, known.length - 1)]!.id);
		}

		return targets;
	}

	function judgeZone(zone: string): void {
		const isVisible = timers.getNowMs() < getLink(zone).heardAtMs + zoneTimeoutMs;
		const known = table.findZoneRecord(zone);
		if (known?.isVisible !== isVisible) {
			onZoneRecord({zone, counter: (known?.counter ?? 0) + 1, isVisible});
		}
	}

	function handleSummary(fromPeerId: string, message: SummaryMessage): void {
		const {zone, digest} = message;
		if (zone === ownZone) {
			return;
		}

		if (message.members !== undefined) {
			takeMembers(zone, message.members);
		}

		const gateway = findGateway(ownZone, zone);
		const isOwnRelay = table.findRecord(fromPeerId)?.availabilityZone === ownZone;
		if (gateway === ownId) {
			getLink(zone).heardAtMs = timers.getNowMs();
			judgeZone(zone);
		} else if (gateway !== undefined && !isOwnRelay) {
			send(gateway, message);
		}

		if (!isOwnRelay && getMembersDigest(table.getLive(zone)) === digest) {
			send(fromPeerId, {kind: 'membership.zone-summary-received', zone: ownZone, digest});
		}
	}

	/** Daemons that their own zone no longer lists are gone; one that is listed again is asked to refute that. */
	function takeMembers(zone: string, members: readonly MemberRecord[]): void {
		const listed = new Set(members.map(member => member.id));
		for (const {id, counter} of members) {
			const known = table.findRecord(id);
			if (known !== undefined && !isLive(known) && known.counter >= counter) {
				send(id, {kind: 'membership.updates', updates: {members: [known], zones: []}});
			}
		}

		const missing = table.getLive(zone).filter(record => !listed.has(record.id));
		onRecords([
			...members.filter(member => member.availabilityZone === zone),
			...missing.map(record => ({...record, state: 'dead' as const})),
		]);
	}

	function handleSummaryReceived({zone, digest}: SummaryReceivedMessage): void {
		const link = links.get(zone);
		if (link !== undefined) {
			link.confirmedAtMs = timers.getNowMs();
			link.confirmedDigest = digest;
		}
	}

	return {
		handleSummary,
		handleSummaryReceived,
		stop() {
			interval.cancel();
		},
	};
}
