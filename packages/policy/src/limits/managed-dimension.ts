import type {RandomSource, TimerService} from '@camphortack/core';
import {createLeasedShare, type GrantedShare, type LeasedShare} from './leased-share.js';
import {renewalIntervalMs} from './limit-constants.js';
import type {LimitDimension} from './limit-dimensions.js';
import type {LedgerMessage, ShareReport} from './limit-messages.js';
import {createShareLedger, type ShareClient} from './share-ledger.js';

/** A dimension whose shares this daemon leases out in its availability zone. */
export type ManagedDimension = {
	/** Grants a share for a report; undefined if a newer report has already been answered. */
	grantShare(client: ShareClient, sequence: number, report: ShareReport): number | undefined;
	/** Sets the amount that this side of the availability zone may use without borrowing. */
	setEntitlement(amount: number): void;
	/** Withholds an amount as unknown, because another share manager may have leased it out. */
	reserveUnknown(amount: number, hasEarlierUse: boolean): void;
	getEntitlement(): number;
	/** Creates the reports that are due to the share managers of other availability zones. */
	createBorrowReports(zones: readonly string[]): BorrowReport[];
	/** Applies a grant of a share lent by another availability zone. */
	adoptBorrowed(zone: string, grant: GrantedShare): void;
	/** Merges the ledger of another share manager. A repeated transfer is ignored. */
	addLedger(message: LedgerMessage): void;
	/** Creates the ledger with which another share manager continues. No share may be granted afterwards. */
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
 * Creates the state of a dimension that this daemon starts to manage.
 * @param timers - The timer service.
 * @param random - Generates the identifier of the period in which this daemon is share manager.
 * @param dimension - The dimension that is leased out.
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

	function createBorrowReports(zones: readonly string[]): BorrowReport[] {
		const reports: BorrowReport[] = [];
		const deficit = ledger.getLocalWant() - entitlement;
		const borrowed = getBorrowed();
		let remainingUse = Math.max(0, ledger.getCommitted() - entitlement);
		for (const zone of zones) {
			const loan = loans.get(zone) ?? {share: createLeasedShare(timers), lastClaim: 0, reportedAtMs: -Infinity};
			const amount = loan.share.getAmount();
			const used = Math.min(remainingUse, Math.max(amount, loan.lastClaim));
			remainingUse -= used;
			const isActive = deficit > 0 || amount > 0 || loan.lastClaim > 0;
			if (isActive && timers.getNowMs() >= loan.reportedAtMs + renewalIntervalMs) {
				loans.set(zone, loan);
				reports.push({zone, report: createBorrowReport(loan, used, getLoanWant(amount, borrowed, deficit, zones.length))});
			}
		}

		return reports;
	}

	function createBorrowReport(loan: Loan, used: number, want: number): ShareReport {
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
		reserveUnknown(amount, hasEarlierUse) {
			ledger.reserveUnknown(amount, entitlement, hasEarlierUse);
		},
		getEntitlement: () => entitlement,
		createBorrowReports,
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

/** Requests an equal part of the deficit from each other availability zone; returns loans in proportion to their amounts. */
function getLoanWant(amount: number, borrowed: number, deficit: number, zoneCount: number): number {
	if (deficit >= borrowed) {
		return amount + ((deficit - borrowed) / zoneCount);
	}

	return borrowed > 0 ? amount * Math.max(0, deficit) / borrowed : 0;
}
