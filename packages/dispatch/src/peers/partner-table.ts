import {hashText, type Member, type TimerService} from '@camphortack/core';
import type {PoolLoad} from '../messages/dispatch-messages.js';
import type {Capacity} from '../placement/get-shares.js';
import {groupBy} from '../utils/group-by.js';
import {mixHashes} from '../utils/mix-hashes.js';

export type PartnerTableOptions = {
	ownId: string;
	availabilityZone: string;
	timers: TimerService;
	/** Finds when the oldest part without an outcome was sent to a daemon. */
	findOldestOpenPartSentMs: (peerId: string) => number | undefined;
	/** Whether no task may start in an availability zone. */
	isClosed: (availabilityZone: string) => boolean;
};

/** The known loads of the partners: the daemons to which this daemon may hand over tasks. */
export type PartnerTable = {
	setMembers(members: readonly Member[]): void;
	updateLoads(peerId: string, loads: readonly PoolLoad[]): void;
	/** Subtracts tasks that were just handed over from the room of a partner. */
	recordHandover(peerId: string, pool: string, taskCount: number): void;
	/** Excludes a partner for a short time after it refused tasks. */
	recordRefusal(peerId: string, pool: string): void;
	recordReceived(peerId: string): void;
	/** Discards the loads of the partners in availability zones that are open again: they were known without slots. */
	forgetLoads(availabilityZones: readonly string[]): void;
	/** Gets the partners that could run tasks of a pool, those of the same availability zone first. */
	getCapacities(pool: string, ownLoad: PoolLoad): Capacity[];
	getLastReceivedMs(peerId: string): number;
};

type KnownLoad = {
	slots: number;
	room: number;
	meanRoom: number;
	updatedAtMs: number;
};

type Partner = {
	member: Member;
	loads: Map<string, KnownLoad>;
	/** Until when the partner is excluded, by pool. A partner without a configuration refuses tasks before any load of it is known. */
	refusedUntilMs: Map<string, number>;
	lastReceivedMs: number;
};

const maxZonePartners = 12;
const maxOtherZonePartners = 12;
/** Time constant with which the estimated room of a partner decays from the last known value to its mean. */
const roomDecayTimeMs = 400;
const meanRoomWeight = 0.2;
/** A partner with an open part that has sent nothing for this long gets no more tasks. */
const silenceTimeoutMs = 2500;
const refusalBackoffMs = 500;
/** In a closed zone, a partner whose last message showed no slots is asked again after this time: it may have some by now. */
const slotlessBackoffMs = 1000;

/**
 * Creates the partner table. Loads are never requested: they are piggybacked on other messages.
 * @param options - The identity of the daemon, its availability zone and the clock.
 */
export function createPartnerTable(options: PartnerTableOptions): PartnerTable {
	const {ownId, availabilityZone, timers} = options;
	let partners = new Map<string, Partner>();

	function setMembers(members: readonly Member[]): void {
		const known = partners;
		partners = new Map();
		for (const member of choosePartners(ownId, availabilityZone, members)) {
			const previous = known.get(member.id);
			const isSame = previous?.member.incarnation === member.incarnation;
			partners.set(member.id, {
				member,
				loads: isSame ? previous.loads : new Map<string, KnownLoad>(),
				refusedUntilMs: isSame ? previous.refusedUntilMs : new Map<string, number>(),
				lastReceivedMs: isSame ? previous.lastReceivedMs : timers.getNowMs(),
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
				meanRoom: meanRoom + (meanRoomWeight * (room - meanRoom)),
				updatedAtMs: timers.getNowMs(),
			});
			partner?.refusedUntilMs.delete(load.pool);
		}
	}

	function recordHandover(peerId: string, pool: string, taskCount: number): void {
		const load = partners.get(peerId)?.loads.get(pool);
		if (load !== undefined) {
			load.room = estimateRoom(load) - taskCount;
			load.updatedAtMs = timers.getNowMs();
		}
	}

	function estimateRoom(load: KnownLoad): number {
		const decay = Math.exp((load.updatedAtMs - timers.getNowMs()) / roomDecayTimeMs);
		return load.meanRoom + ((load.room - load.meanRoom) * decay);
	}

	function getCapacities(pool: string, ownLoad: PoolLoad): Capacity[] {
		const capacities: Capacity[] = [];
		for (const [id, partner] of partners) {
			const isRefusing = (partner.refusedUntilMs.get(pool) ?? Number.NEGATIVE_INFINITY) > timers.getNowMs();
			if (isRefusing || isSilent(id, partner) || options.isClosed(partner.member.availabilityZone)) {
				continue;
			}

			const load = partner.loads.get(pool);
			capacities.push(load === undefined || isOutdated(load)
				? {id, slots: Math.max(1, ownLoad.slots), room: 0}
				: {id, slots: load.slots, room: estimateRoom(load)});
		}

		return capacities;
	}

	function isOutdated(load: KnownLoad): boolean {
		return load.slots === 0 && options.isClosed(availabilityZone) && timers.getNowMs() - load.updatedAtMs > slotlessBackoffMs;
	}

	function isSilent(id: string, partner: Partner): boolean {
		const sentMs = options.findOldestOpenPartSentMs(id);
		return sentMs !== undefined && timers.getNowMs() - Math.max(sentMs, partner.lastReceivedMs) > silenceTimeoutMs;
	}

	return {
		setMembers,
		updateLoads,
		recordHandover,
		recordRefusal(peerId, pool) {
			partners.get(peerId)?.refusedUntilMs.set(pool, timers.getNowMs() + refusalBackoffMs);
		},
		recordReceived(peerId) {
			const partner = partners.get(peerId);
			if (partner !== undefined) {
				partner.lastReceivedMs = timers.getNowMs();
			}
		},
		forgetLoads(availabilityZones) {
			for (const {member, loads, refusedUntilMs} of partners.values()) {
				if (availabilityZones.includes(member.availabilityZone)) {
					loads.clear();
					refusedUntilMs.clear();
				}
			}
		},
		getCapacities,
		getLastReceivedMs: peerId => partners.get(peerId)?.lastReceivedMs ?? Number.NEGATIVE_INFINITY,
	};
}

/** Chooses a bounded number of partners: ring neighbours in the availability zone, and some daemons of other zones. */
function choosePartners(ownId: string, availabilityZone: string, members: readonly Member[]): Member[] {
	const zones = groupBy(
		members.filter(member => member.roles.includes('entry')),
		member => member.availabilityZone,
	);
	const zoneNeighbours = getNeighbours(ownId, zones.get(availabilityZone) ?? [], maxZonePartners);
	const otherZones = [...zones.keys()].filter(zone => zone !== availabilityZone);
	const ownHash = hashText(ownId);
	const zonesByScore = otherZones.toSorted((left, right) => mixHashes(hashText(left), ownHash) - mixHashes(hashText(right), ownHash));
	const perZone = Math.max(1, Math.floor(maxOtherZonePartners / Math.max(1, otherZones.length)));
	const others = zonesByScore.slice(0, maxOtherZonePartners).flatMap(zone => getNeighbours(ownId, zones.get(zone)!, perZone));
	return [...zoneNeighbours, ...others];
}

/** Gets the neighbours of this daemon on both sides of the hash ring, so that partnerships are mutual. */
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
