import type {RandomSource, TimerService} from '@camphortack/core';
import {createLeasedShare, type GrantedShare, type LeasedShare} from './leased-share.js';
import {renewalIntervalMs} from './limit-constants.js';
import type {LimitDimension} from './limit-dimensions.js';
import type {LedgerMessage, ShareReport} from './limit-messages.js';
import {createShareLedger, type ShareClient} from './share-ledger.js';

/** One dimension whose shares this daemon leases out in its availability zone. */
export type ManagedDimension = {
	/** Answers a report, or not if an answer to a newer one was given. */
	grantShare(client: ShareClient, sequence: number, report: ShareReport): number | undefined;
	/** Sets what this side of the availability zone may use by itself. */
	setEntitlement(amount: number): void;
	/** Counts an amount as unknown: someone else may have leased it out. */
	freeze(amount: number, hasEarlierUse: boolean): void;
	getEntitlement(): number;
	/** Makes the reports that are due to the share managers of other availability zones. */
	takeBorrowReports(zones: readonly string[]): BorrowReport[];
	/** Takes a share lent by another availability zone. */
	adoptBorrowed(zone: string, grant: GrantedShare): void;
	/** Takes in another share manager's ledger, once. */
	addLedger(message: LedgerMessage): void;
	/** Makes the ledger that another share manager goes on with. Nothing may be granted any more. */
	createLedgerMessage(): LedgerMessage;
	getBorrowed(): number;
	getLent(): number;
};

/** A report to the share manager of another availability zone. */
export type BorrowReport = {
	zone: string;
	report: ShareReport;
};

type Loan = {
	readonly share: LeasedShare;
	lastClaim: number;
	reportedAtMs: number;
};

/**
 * Creates the record of a dimension that is managed from now on.
 * @param timers - The timer service.
 * @param random - Names the time for which this daemon is share manager.
 * @param dimension - What is leased out.
 */
export function createManagedDimension(timers: TimerService, random: RandomSource, dimension: LimitDimension): ManagedDimension {
	const ledger = createShareLedger(timers, dimension);
	const loans = new Map<string, Loan>();
	const receivedTransfers = new Set<string>();
	const tenureId = random.getIdentifier();
	let entitlement = 0;

	function getBorrowed(): number {
		let borrowed = 0;
		for (const loan of loans.values()) {
			borrowed += loan.share.getAmount();
		}

		return borrowed;
	}

	function grantShare(client: ShareClient, sequence: number, report: ShareReport): number | undefined {
		const capacity = entitlement + (client.isForeign ? 0 : getBorrowed());
		return ledger.grantShare(client, sequence, report, capacity);
	}

	function takeBorrowReports(zones: readonly string[]): BorrowReport[] {
		const reports: BorrowReport[] = [];
		const deficit = ledger.getLocalWant() - entitlement;
		const borrowed = getBorrowed();
		let usedLeft = Math.max(0, ledger.getCommitted() - entitlement);
		for (const zone of zones) {
			const loan = loans.get(zone) ?? {share: createLeasedShare(timers), lastClaim: 0, reportedAtMs: -Infinity};
			const amount = loan.share.getAmount();
			const used = Math.min(usedLeft, Math.max(amount, loan.lastClaim));
			usedLeft -= used;
			const isOpen = deficit > 0 || amount > 0 || loan.lastClaim > 0;
			if (isOpen && timers.getNowMs() >= loan.reportedAtMs + renewalIntervalMs) {
				loans.set(zone, loan);
				reports.push({zone, report: takeBorrowReport(loan, used, getLoanWant(amount, borrowed, deficit, zones.length))});
			}
		}

		return reports;
	}

	function takeBorrowReport(loan: Loan, used: number, want: number): ShareReport {
		loan.share.lowerTo(Math.max(used, want));
		loan.lastClaim = Math.max(used, loan.share.getAmount());
		loan.reportedAtMs = timers.getNowMs();
		return {
			key: dimension.key,
			tenure: tenureId,
			adopted: loan.share.getAdopted(),
			claim: loan.lastClaim,
			want: dimension.isWhole ? Math.ceil(want) : want,
			need: 0,
		};
	}

	function createLedgerMessage(): LedgerMessage {
		return {
			kind: 'limits.ledger',
			transferId: tenureId,
			key: dimension.key,
			entitlement,
			unknown: ledger.getUnknown(),
			isUnconfirmed: ledger.isUnconfirmed(),
			clients: ledger.getClients(),
		};
	}

	return {
		grantShare,
		setEntitlement(amount) {
			entitlement = amount;
		},
		freeze(amount, hasEarlierUse) {
			ledger.freeze(amount, entitlement, hasEarlierUse);
		},
		getEntitlement: () => entitlement,
		takeBorrowReports,
		adoptBorrowed(zone, grant) {
			loans.get(zone)?.share.adopt(grant);
		},
		addLedger(message) {
			if (!receivedTransfers.has(message.transferId)) {
				receivedTransfers.add(message.transferId);
				ledger.addLedger(message);
			}
		},
		createLedgerMessage,
		getBorrowed,
		getLent: () => ledger.getLent(),
	};
}

/** Asks every other availability zone for an equal part of what is missing; gives back in proportion. */
function getLoanWant(amount: number, borrowed: number, deficit: number, zoneCount: number): number {
	if (deficit >= borrowed) {
		return amount + ((deficit - borrowed) / zoneCount);
	}

	return borrowed > 0 ? amount * Math.max(0, deficit) / borrowed : 0;
}
