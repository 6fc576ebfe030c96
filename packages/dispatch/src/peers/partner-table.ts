import {hashText, type Member, type TimerService} from '@camphortack/core';
import type {PoolLoad} from '../messages/dispatch-messages.js';
import type {Capacity} from '../placement/get-shares.js';
import {groupBy} from '../utils/group-by.js';
import {mixHashes} from '../utils/mix-hashes.js';

export type PartnerTableOptions = {
	ownId: string;
	availabilityZone: string;
	timers: TimerService;
	/** Gets the number of parts given to a daemon that have no outcome, and when the oldest was sent. */
	findOldestOpenPartSentMs: (peerId: string) => number | undefined;
};

/** What this daemon knows of how busy some other daemons are: its partners in handing over tasks. */
export type PartnerTable = {
	setMembers(members: readonly Member[]): void;
	updateLoads(peerId: string, loads: readonly PoolLoad[]): void;
	/** Takes tasks that were just handed over off a partner's room. */
	recordHandover(peerId: string, pool: string, taskCount: number): void;
	/** Notes that a partner refused tasks. */
	recordRefusal(peerId: string, pool: string): void;
	recordReceived(peerId: string): void;
	/** Gets the partners that could run tasks of a pool, those of the own availability zone first. */
	getCapacities(pool: string, ownLoad: PoolLoad): Capacity[];
	getLastReceivedMs(peerId: string): number;
};

type KnownLoad = {
	slots: number;
	room: number;
	meanRoom: number;
	atMs: number;
	refusedUntilMs: number;
};

type Partner = {member: Member; loads: Map<string, KnownLoad>; heardMs: number};

const mostZonePartners = 12;
const mostOtherPartners = 12;
/** What is known of a partner's room fades towards its mean within about this time. */
const fadingTimeMs = 400;
const meanWeight = 0.2;
/** A partner that owes an outcome and was not heard for this long gets nothing more. */
const silenceMs = 2500;
const refusalPauseMs = 500;

/**
 * Creates the partner table. Nothing is ever asked: loads come with messages that are sent anyway.
 * @param options - The daemon's name and place.
 */
export function createPartnerTable(options: PartnerTableOptions): PartnerTable {
	const {ownId, availabilityZone, timers} = options;
	let partners = new Map<string, Partner>();

	function setMembers(members: readonly Member[]): void {
		const known = partners;
		partners = new Map();
		for (const member of choosePartners(ownId, availabilityZone, members)) {
			const earlier = known.get(member.id);
			const isSame = earlier?.member.incarnation === member.incarnation;
			partners.set(member.id, {
				member,
				loads: isSame ? earlier.loads : new Map<string, KnownLoad>(),
				heardMs: isSame ? earlier.heardMs : timers.getNowMs(),
			});
		}
	}

	function updateLoads(peerId: string, loads: readonly PoolLoad[]): void {
		const partner = partners.get(peerId);
		for (const load of loads) {
			const room = load.freeSlots - load.queuedTasks;
			const meanRoom = partner?.loads.get(load.pool)?.meanRoom ?? room;
			partner?.loads.set(load.pool, {
				slots: load.slots,
				room,
				meanRoom: meanRoom + (meanWeight * (room - meanRoom)),
				atMs: timers.getNowMs(),
				refusedUntilMs: Number.NEGATIVE_INFINITY,
			});
		}
	}

	function recordHandover(peerId: string, pool: string, taskCount: number): void {
		const load = partners.get(peerId)?.loads.get(pool);
		if (load !== undefined) {
			load.room = getRoom(load) - taskCount;
			load.atMs = timers.getNowMs();
		}
	}

	function getRoom(load: KnownLoad): number {
		const faded = Math.exp((load.atMs - timers.getNowMs()) / fadingTimeMs);
		return load.meanRoom + ((load.room - load.meanRoom) * faded);
	}

	function getCapacities(pool: string, ownLoad: PoolLoad): Capacity[] {
		const capacities: Capacity[] = [];
		for (const [id, partner] of partners) {
			if (isSilent(id, partner)) {
				continue;
			}

			const load = partner.loads.get(pool);
			if (load !== undefined && load.refusedUntilMs > timers.getNowMs()) {
				continue;
			}

			capacities.push(load === undefined
				? {id, slots: Math.max(1, ownLoad.slots), room: 0}
				: {id, slots: load.slots, room: getRoom(load)});
		}

		return capacities;
	}

	function isSilent(id: string, partner: Partner): boolean {
		const sentMs = options.findOldestOpenPartSentMs(id);
		return sentMs !== undefined && timers.getNowMs() - Math.max(sentMs, partner.heardMs) > silenceMs;
	}

	return {
		setMembers,
		updateLoads,
		recordHandover,
		recordRefusal(peerId, pool) {
			const load = partners.get(peerId)?.loads.get(pool);
			if (load !== undefined) {
				load.refusedUntilMs = timers.getNowMs() + refusalPauseMs;
			}
		},
		recordReceived(peerId) {
			const partner = partners.get(peerId);
			if (partner !== undefined) {
				partner.heardMs = timers.getNowMs();
			}
		},
		getCapacities,
		getLastReceivedMs: peerId => partners.get(peerId)?.heardMs ?? Number.NEGATIVE_INFINITY,
	};
}

/** Chooses a bounded number of partners: neighbours in a ring of the zone's daemons, and some daemons of other zones. */
function choosePartners(ownId: string, availabilityZone: string, members: readonly Member[]): Member[] {
	const zones = groupBy(
		members.filter(member => member.roles.includes('entry')),
		member => member.availabilityZone,
	);
	const zoneNeighbours = getNeighbours(ownId, zones.get(availabilityZone) ?? [], mostZonePartners);
	const otherZones = [...zones.keys()].filter(zone => zone !== availabilityZone);
	const ownHash = hashText(ownId);
	const zonesByScore = otherZones.toSorted((left, right) => mixHashes(hashText(left), ownHash) - mixHashes(hashText(right), ownHash));
	const perZone = Math.max(1, Math.floor(mostOtherPartners / Math.max(1, otherZones.length)));
	const others = zonesByScore.slice(0, mostOtherPartners).flatMap(zone => getNeighbours(ownId, zones.get(zone)!, perZone));
	return [...zoneNeighbours, ...others];
}

/** Gets the daemons next to this one in the ring of their hashes, on both sides, so that partners know one another. */
function getNeighbours(ownId: string, members: readonly Member[], count: number): Member[] {
	const ring = members.filter(member => member.id !== ownId).toSorted((left, right) => hashText(left.id) - hashText(right.id));
	if (ring.length <= count) {
		return ring;
	}

	const ownHash = hashText(ownId);
	const next = ring.findIndex(member => hashText(member.id) > ownHash);
	const start = (next === -1 ? 0 : next) - Math.floor(count / 2);
	return Array.from({length: count}, (_, offset) => ring[(start + offset + ring.length) % ring.length]!);
}
