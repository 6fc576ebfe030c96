import type {RandomSource, TimerService} from '@camphortack/core';
import {
	exchangeIntervalMs, gossipDelayMs, gossipTargets, joinIntervalMs, retryIntervalMs,
} from '../membership-timings.js';
import type {MembershipSeed} from '../membership.js';
import type {MembershipMessageOf} from '../messages/membership-messages.js';
import type {MemberTable} from '../table/member-table.js';
import {getSample} from '../utils/get-sample.js';

export type ExchangerOptions = {
	table: MemberTable;
	/** The daemons of the settings, without this one. */
	seeds: readonly MembershipSeed[];
	timers: TimerService;
	random: RandomSource;
	send: (peerId: string, message: MembershipMessageOf<'membership.exchange'>) => void;
	/** Sends all records of some availability zones. */
	sendRecords: (peerId: string, zones: readonly string[]) => void;
};

/** Compares what daemons know by digests and sends only what differs: on joining, now and then, and after a partition. */
export type Exchanger = {
	/** Compares everything with a daemon. */
	start(peerId: string): void;
	/** Compares one availability zone with a daemon, both ways: it may have forgotten daemons that are dead. */
	requestZone(peerId: string, availabilityZone: string): void;
	handleExchange(fromPeerId: string, message: MembershipMessageOf<'membership.exchange'>): void;
	/** Notes that a daemon has answered. */
	noteAnswer(fromPeerId: string): void;
	/** Compares with some daemons soon, after many changes at once. */
	spread(): void;
	stop(): void;
};

const mostJoinTries = 20;
const joinTargets = 3;
/** At most about this many daemons of an availability zone try lost ones in each interval. */
const retriersPerZone = 4;
const forgetIntervalMs = 60_000;

/**
 * Creates the exchanger and starts to join.
 * @param options - The table, the seeds and the ways to send.
 */
export function createExchanger(options: ExchangerOptions): Exchanger {
	const {table, seeds, timers, random} = options;
	const {id: ownId, availabilityZone: ownZone} = table.getOwn();
	const zoneSeeds = seeds.filter(seed => seed.availabilityZone === ownZone);
	const joinSeedIds = (zoneSeeds.length > 0 ? zoneSeeds : seeds).map(seed => seed.id);
	let isJoined = joinSeedIds.length === 0;
	let joinTries = 0;
	let isSpreading = false;

	function send(peerId: string, zones: readonly string[], isReply: boolean): void {
		const digests = zones.map(availabilityZone => ({availabilityZone, digest: table.getDigest(availabilityZone)}));
		options.send(peerId, {
			kind: 'membership.exchange', sender: table.getOwn(), digests, isReply,
		});
	}

	function start(peerId: string): void {
		send(peerId, table.getZones(), false);
	}

	function join(): void {
		if (isJoined || joinTries >= mostJoinTries) {
			joining.cancel();
			return;
		}

		joinTries++;
		for (const peerId of getSample(joinSeedIds, joinTargets, random)) {
			start(peerId);
		}
	}

	function exchange(): void {
		for (const peerId of getSample(getZonePeerIds(), 1, random)) {
			start(peerId);
		}
	}

	/** Tries one daemon that is not heard: a partition may have healed, or all may have restarted at once. */
	function retry(): void {
		const zoneSize = table.getLiveIds(ownZone).length;
		if (random.getFraction() * zoneSize >= retriersPerZone) {
			return;
		}

		const unheardSeedIds = zoneSeeds.filter(seed => table.findRecord(seed.id) === undefined).map(seed => seed.id);
		for (const peerId of getSample([...unheardSeedIds, ...table.getDeadIds(ownZone)], 1, random)) {
			start(peerId);
		}
	}

	function getZonePeerIds(): string[] {
		return table.getLiveIds(ownZone).filter(id => id !== ownId);
	}

	const joining = timers.addInterval(joinIntervalMs, join);
	const intervals = [
		joining,
		timers.addInterval(exchangeIntervalMs, exchange),
		timers.addInterval(retryIntervalMs, retry),
		timers.addInterval(forgetIntervalMs, () => {
			table.forgetDead();
		}),
	];
	join();
	return {
		start,
		requestZone(peerId, availabilityZone) {
			send(peerId, [availabilityZone], false);
		},
		handleExchange(fromPeerId, {digests, isReply}) {
			const differing = digests
				.filter(({availabilityZone, digest}) => digest !== table.getDigest(availabilityZone))
				.map(({availabilityZone}) => availabilityZone);
			const named = new Set(digests.map(({availabilityZone}) => availabilityZone));
			const hasMore = table.getZones().some(zone => !named.has(zone));
			options.sendRecords(fromPeerId, differing);
			if (!isReply && (differing.length > 0 || hasMore)) {
				send(fromPeerId, table.getZones(), true);
			}
		},
		noteAnswer(fromPeerId) {
			isJoined ||= joinSeedIds.includes(fromPeerId);
		},
		spread() {
			if (isSpreading) {
				return;
			}

			isSpreading = true;
			timers.addTimer(gossipDelayMs, () => {
				isSpreading = false;
				for (const peerId of getSample(getZonePeerIds(), gossipTargets, random)) {
					start(peerId);
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
