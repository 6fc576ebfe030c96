import type {RandomSource, TimerService} from '@camphortack/core';
import {
	exchangeIntervalMs, gossipDelayMs, gossipFanout, joinIntervalMs, retryIntervalMs,
} from '../membership-timings.js';
import type {MembershipSeed} from '../membership.js';
import type {MembershipMessageOf} from '../messages/membership-messages.js';
import type {MemberTable} from '../table/member-table.js';
import {getSample} from '../utils/get-sample.js';

export type AntiEntropyOptions = {
	table: MemberTable;
	/** The daemons listed in the settings, except this one. */
	seeds: readonly MembershipSeed[];
	timers: TimerService;
	random: RandomSource;
	send: (peerId: string, message: MembershipMessageOf<'membership.exchange'>) => void;
	/** Sends all records of the given availability zones. */
	sendRecords: (peerId: string, zones: readonly string[]) => void;
};

/**
 * Compares digests of the member tables of two daemons and sends the records of the zones that differ: on joining,
 * periodically, and after a partition.
 */
export type AntiEntropy = {
	/** Compares all availability zones with a daemon. */
	startExchange(peerId: string): void;
	/**
	 * Compares one availability zone with a daemon in both directions, as that daemon may have removed the records of dead
	 * daemons.
	 */
	requestZone(peerId: string, availabilityZone: string): void;
	handleExchange(fromPeerId: string, message: MembershipMessageOf<'membership.exchange'>): void;
	/** Records that a daemon has replied, which ends the join if it is a seed. */
	recordReply(fromPeerId: string): void;
	/** Schedules exchanges with random daemons of the availability zone after many changes. */
	scheduleExchange(): void;
	stop(): void;
};

const maxJoinAttempts = 20;
const joinFanout = 3;
/** In each interval, about this many daemons of an availability zone, or all of a smaller one, retry an unreachable daemon. */
const retriersPerZone = 4;
const cleanupIntervalMs = 60_000;

/**
 * Creates the anti-entropy exchange and starts to join through the seeds.
 * @param options - The member table, the seeds and the send functions.
 */
export function createAntiEntropy(options: AntiEntropyOptions): AntiEntropy {
	const {table, seeds, timers, random} = options;
	const {id: ownId, availabilityZone: ownZone} = table.getOwn();
	const zoneSeeds = seeds.filter(seed => seed.availabilityZone === ownZone);
	const joinSeedIds = (zoneSeeds.length > 0 ? zoneSeeds : seeds).map(seed => seed.id);
	let isJoined = joinSeedIds.length === 0;
	let joinAttempts = 0;
	let isExchangeScheduled = false;

	function send(peerId: string, zones: readonly string[], isReply: boolean): void {
		const digests = zones.map(availabilityZone => ({availabilityZone, digest: table.getDigest(availabilityZone)}));
		options.send(peerId, {
			kind: 'membership.exchange', sender: table.getOwn(), digests, isReply,
		});
	}

	function startExchange(peerId: string): void {
		send(peerId, table.getZones(), false);
	}

	function join(): void {
		if (isJoined || joinAttempts >= maxJoinAttempts) {
			joining.cancel();
			return;
		}

		joinAttempts++;
		for (const peerId of getSample(joinSeedIds, joinFanout, random)) {
			startExchange(peerId);
		}
	}

	function exchangeWithRandomPeer(): void {
		for (const peerId of getSample(getZonePeerIds(), 1, random)) {
			startExchange(peerId);
		}
	}

	/**
	 * Contacts one dead daemon or unknown seed, as a partition may have healed or all daemons may have restarted at the
	 * same time.
	 */
	function retryUnreachable(): void {
		const zoneSize = table.getLiveIds(ownZone).length;
		if (random.getFraction() * zoneSize >= retriersPerZone) {
			return;
		}

		const unknownSeedIds = zoneSeeds.filter(seed => table.findRecord(seed.id) === undefined).map(seed => seed.id);
		for (const peerId of getSample([...unknownSeedIds, ...table.getDeadIds(ownZone)], 1, random)) {
			startExchange(peerId);
		}
	}

	function getZonePeerIds(): string[] {
		return table.getLiveIds(ownZone).filter(id => id !== ownId);
	}

	const joining = timers.addInterval(joinIntervalMs, join);
	const intervals = [
		joining,
		timers.addInterval(exchangeIntervalMs, exchangeWithRandomPeer),
		timers.addInterval(retryIntervalMs, retryUnreachable),
		timers.addInterval(cleanupIntervalMs, () => {
			table.removeExpired();
		}),
	];
	join();
	return {
		startExchange,
		requestZone(peerId, availabilityZone) {
			send(peerId, [availabilityZone], false);
		},
		handleExchange(fromPeerId, {digests, isReply}) {
			const differing = digests
				.filter(({availabilityZone, digest}) => digest !== table.getDigest(availabilityZone))
				.map(({availabilityZone}) => availabilityZone);
			const listedZones = new Set(digests.map(({availabilityZone}) => availabilityZone));
			const hasUnlistedZones = table.getZones().some(zone => !listedZones.has(zone));
			options.sendRecords(fromPeerId, differing);
			if (!isReply && (differing.length > 0 || hasUnlistedZones)) {
				send(fromPeerId, table.getZones(), true);
			}
		},
		recordReply(fromPeerId) {
			isJoined ||= joinSeedIds.includes(fromPeerId);
		},
		scheduleExchange() {
			if (isExchangeScheduled) {
				return;
			}

			isExchangeScheduled = true;
			timers.addTimer(gossipDelayMs, () => {
				isExchangeScheduled = false;
				for (const peerId of getSample(getZonePeerIds(), gossipFanout, random)) {
					startExchange(peerId);
				}
			});
		},
		stop() {
			for (const interval of intervals) {
				interval.cancel();
			}
		},
	};
}
