import type {TimerService} from '@camphortack/core';
import {leaseMs} from './limit-constants.js';

/** A share held under a lease. The holder measures the lease from the time it sent its request. */
export type LeasedShare = {
	/** Gets the amount that may be held now; 0 once the lease has expired. */
	getAmount(): number;
	/** Gets the sequence number of the request whose grant is in effect. */
	getAdopted(): number;
	/** Applies a grant unless a newer one is in effect or its lease has expired. */
	adopt(grant: GrantedShare): void;
	/** Gives up the part of the share above an amount. */
	lowerTo(amount: number): void;
};

/** The grant that answers a request. */
export type GrantedShare = {
	sequence: number;
	/** When the request was sent, on the holder's clock. */
	sentAtMs: number;
	amount: number;
};

export function createLeasedShare(timers: TimerService): LeasedShare {
	let amount = 0;
	let expiresAtMs = -Infinity;
	let adopted = 0;

	function adopt({sequence, sentAtMs, amount: grantedAmount}: GrantedShare): void {
		if (sequence > adopted && timers.getNowMs() < sentAtMs + leaseMs) {
			adopted = sequence;
			amount = grantedAmount;
			expiresAtMs = sentAtMs + leaseMs;
		}
	}

	return {
		getAmount: () => timers.getNowMs() < expiresAtMs ? amount : 0,
		getAdopted: () => adopted,
		adopt,
		lowerTo(maxAmount) {
			amount = Math.min(amount, maxAmount);
		},
	};
}
