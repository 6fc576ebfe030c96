import type {PeerNetwork, RandomSource, TimerService} from '@camphortack/core';
import {farewellDurationMs} from '../membership-timings.js';
import type {MembershipMessageOf} from '../messages/membership-messages.js';
import type {MemberRecord} from '../table/member-record.js';
import {getSample} from '../utils/get-sample.js';

export type FarewellOptions = {
	/** The own record, marked as left. */
	record: MemberRecord;
	targetIds: readonly string[];
	timers: TimerService;
	random: RandomSource;
	peers: PeerNetwork;
	onEnd: () => void;
};

const mostTargets = 16;

/**
 * Tells some daemons twice that this one leaves; they tell the others.
 * @param options - The record and whom to tell.
 */
export function sayFarewell({record, targetIds, timers, random, peers, onEnd}: FarewellOptions): void {
	const message: MembershipMessageOf<'membership.gossip'> = {
		kind: 'membership.gossip', incarnation: record.incarnation, counter: record.counter, records: [record], observations: [],
	};
	const chosenIds = getSample([...new Set(targetIds)], mostTargets, random);
	const tell = () => {
		for (const peerId of chosenIds) {
			peers.send(peerId, message);
		}
	};

	if (chosenIds.length === 0) {
		onEnd();
		return;
	}

	tell();
	timers.addTimer(farewellDurationMs / 2, tell);
	timers.addTimer(farewellDurationMs, onEnd);
}
