import type {TimerService} from '@camphortack/core';
import {leaseMs} from './limit-constants.js';

/** A share held under a lease that its holder counts from its own request. */
export type LeasedShare = {
	/** Gets the amount that may be held now; 0 once the lease has ended. */
	getAmount(): number;
	/** The sequence of the request whose answer is in force. */
	getAdopted(): number;
	/** Takes an answer into force unless a newer one is, or its lease has ended. */
	adopt(grant: GrantedShare): void;
	/** Gives up what is over an amount. */
	lowerTo(amount: number): void;
};

/** An answer to a request. */
export type GrantedShare = {
	sequence: number;
	/** When the request was sent, on the own clock. */
	sentAtMs: number;
	amount: number;
};

/** Creates a share of nothing. */
export function createLeasedShare(timers: TimerService): LeasedShare {
	let amount = 0;
	let endsAtMs = -Infinity;
	let adopted = 0;

	function adopt({sequence, sentAtMs, amount: grantedAmount}: GrantedShare): void {
		if (sequence > adopted && timers.getNowMs() < sentAtMs + leaseMs) {
			adopted = sequence;
			amount = grantedAmount;
			endsAtMs = sentAtMs + leaseMs;
		}
	}

	return {
		getAmount: () => timers.getNowMs() < endsAtMs ? amount : 0,
		getAdopted: () => adopted,
		adopt,
		lowerTo(highest) {
			amount = Math.min(amount, highest);
		},
	};
}
