import type {PeerNetwork, RandomSource, TimerService} from '@camphortack/core';
import {leaveDurationMs} from '../membership-timings.js';
import type {MembershipMessageOf} from '../messages/membership-messages.js';
import type {MemberRecord} from '../table/member-record.js';
import {getSample} from '../utils/get-sample.js';

export type LeaveAnnouncementOptions = {
	/** The record of this daemon, with the state `left`. */
	record: MemberRecord;
	targetIds: readonly string[];
	timers: TimerService;
	random: RandomSource;
	peers: PeerNetwork;
	onEnd: () => void;
};

const maxTargets = 16;

/**
 * Sends the leave of this daemon twice to a random sample of daemons, which disseminate it by gossip.
 * @param options - The record, the candidate targets and the network.
 */
export function announceLeave({record, targetIds, timers, random, peers, onEnd}: LeaveAnnouncementOptions): void {
	const message: MembershipMessageOf<'membership.gossip'> = {
		kind: 'membership.gossip', incarnation: record.incarnation, counter: record.counter, records: [record], observations: [],
	};
	const selectedIds = getSample([...new Set(targetIds)], maxTargets, random);
	const sendLeave = () => {
		for (const peerId of selectedIds) {
			peers.send(peerId, message);
		}
	};

	if (selectedIds.length === 0) {
		onEnd();
		return;
	}

	sendLeave();
	timers.addTimer(leaveDurationMs / 2, sendLeave);
	timers.addTimer(leaveDurationMs, onEnd);
}
