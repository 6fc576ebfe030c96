import type {Member, TimerService, TimerSubscription} from '@camphortack/core';
import {evacuationResendMs, evacuationSupportTimeoutMs} from '../follower/follower-timings.js';
import type {EvacuationMessage} from './evacuation-messages.js';

/** Checks whether all live daemons know evacuations. */
export type SupportCheck = {
	setMembers(members: readonly Member[]): void;
	/** Calls back with the ids of the live daemons that have not confirmed that they know evacuations. */
	check(onEnd: (unconfirmedIds: string[]) => void): void;
	/** Whether all live daemons have confirmed by now. Asks those that have not. */
	recheck(): boolean;
	handleSupport(fromPeerId: string): void;
	stop(): void;
};

export type SupportCheckOptions = {
	ownId: string;
	/** The ids of the daemons that the settings name. While no other member is known, they count as not confirmed. */
	seedIds: readonly string[];
	timers: TimerService;
	send: (peerId: string, message: EvacuationMessage) => void;
};

type Check = {subscriptions: TimerSubscription[]; onEnd: (unconfirmedIds: string[]) => void};

/**
 * Creates the check. It covers rolling upgrades: a keeper of an earlier version cannot read an order in the log, and an
 * earlier dispatcher would not obey it. Each process is asked until it has confirmed once.
 * A daemon that has just started knows no other member yet, so it does not take their absence for a confirmation.
 * @param options - The ids of the daemon and its seeds, the timers and the function that sends a message.
 */
export function createSupportCheck({
	ownId, seedIds, timers, send,
}: SupportCheckOptions): SupportCheck {
	const confirmedIncarnations = new Map<string, string>();
	const checks = new Set<Check>();
	let members: readonly Member[] = [];

	function getUnconfirmedIds(): string[] {
		const others = members.filter(({id}) => id !== ownId);
		if (others.length === 0) {
			return seedIds.filter(id => id !== ownId);
		}

		return others.filter(({id, incarnation}) => confirmedIncarnations.get(id) !== incarnation).map(({id}) => id);
	}

	function sendRequests(): void {
		const unconfirmedIds = new Set(getUnconfirmedIds());
		for (const {id} of members.filter(member => unconfirmedIds.has(member.id))) {
			send(id, {kind: 'evacuations.support-request'});
		}
	}

	function end(check: Check): void {
		checks.delete(check);
		for (const subscription of check.subscriptions) {
			subscription.cancel();
		}

		check.onEnd(getUnconfirmedIds());
	}

	function endIfConfirmed(): void {
		if (checks.size > 0 && getUnconfirmedIds().length === 0) {
			for (const check of checks) {
				end(check);
			}
		}
	}

	return {
		setMembers(newMembers) {
			members = newMembers;
			const ids = new Set(members.map(({id}) => id));
			for (const id of [...confirmedIncarnations.keys()].filter(other => !ids.has(other))) {
				confirmedIncarnations.delete(id);
			}

			endIfConfirmed();
		},
		check(onEnd) {
			const check: Check = {subscriptions: [], onEnd};
			checks.add(check);
			check.subscriptions.push(timers.addInterval(evacuationResendMs, sendRequests), timers.addTimer(evacuationSupportTimeoutMs, () => {
				end(check);
			}));
			sendRequests();
			endIfConfirmed();
		},
		recheck() {
			sendRequests();
			return getUnconfirmedIds().length === 0;
		},
		handleSupport(fromPeerId) {
			const member = members.find(({id}) => id === fromPeerId);
			if (member !== undefined) {
				confirmedIncarnations.set(member.id, member.incarnation);
				endIfConfirmed();
			}
		},
		stop() {
			for (const {subscriptions} of checks) {
				for (const subscription of subscriptions) {
					subscription.cancel();
				}
			}

			checks.clear();
		},
	};
}
