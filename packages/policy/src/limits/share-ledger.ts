import type {TimerService} from '@camphortack/core';
import type {LimitDimension} from './limit-dimensions.js';
import {clockDriftFactor, leaseMs, takeoverMarginMs} from './limit-constants.js';
import type {LedgerMessage, ShareReport} from './limit-messages.js';

/** The amounts of one dimension that a share manager has leased out to each client. */
export type ShareLedger = {
	/**
	 * Applies a report and grants a share.
	 * @param shareClient - The client that sent the report.
	 * @param sequence - The sequence number of the request.
	 * @param report - What the client holds and requests.
	 * @param capacity - The total amount that may be leased out.
	 * @returns The amount granted, or undefined if the request is not newer than the last one of the client.
	 */
	grantShare(shareClient: ShareClient, sequence: number, report: ShareReport, capacity: number): number | undefined;
	/**
	 * Withholds an amount as unknown, because another share manager may have leased it out.
	 * @param amount - The amount.
	 * @param capacity - The total amount that may be leased out.
	 * @param hasEarlierUse - Whether uses started by a lost daemon may continue. If not, the wait covers only live daemons,
	 * which report their shares.
	 */
	reserveUnknown(amount: number, capacity: number, hasEarlierUse: boolean): void;
	/** Merges the ledger of another share manager, which no longer leases out shares. */
	addLedger(message: LedgerMessage): void;
	getClients(): LedgerMessage['clients'];
	getUnknown(): number;
	/** Whether the previous share manager may still be active, so that no client's share may grow. */
	isUnconfirmed(): boolean;
	getCommitted(): number;
	/** Gets the total requested by the daemons of the own availability zone. */
	getLocalWant(): number;
	/** Gets the amount lent to other availability zones. */
	getLent(): number;
};

/** The holder of a share. */
export type ShareClient = {
	/** Identifies the daemon, its incarnation and, for a loan, its tenure as share manager. */
	readonly clientKey: string;
	/** Whether the share is used in another availability zone. */
	readonly isForeign: boolean;
};

type Grant = {
	sequence: number;
	amount: number;
};

type Client = {
	readonly isForeign: boolean;
	lastSequence: number;
	/** The claim when the client became known: the maximum granted while the ledger is unconfirmed. */
	initialClaim: number;
	/** The claim in the last report. */
	claim: number;
	/** Grants that the client may still be using. */
	grants: Grant[];
	committed: number;
	want: number;
	reportedAtMs: number;
};

type WaitingClient = {
	clientKey: string;
	need: number;
};

/** The interval of the sweep for clients with expired leases. */
const sweepIntervalMs = 1000;
/** The fair share under contention is computed again after this time. */
const fairShareLifetimeMs = 200;
const roundingTolerance = 1e-9;

/**
 * Creates an empty ledger.
 * @param timers - The timer service.
 * @param dimension - The dimension that is leased out.
 */
export function createShareLedger(timers: TimerService, dimension: LimitDimension): ShareLedger {
	const clients = new Map<string, Client>();
	const waitingClients = new Map<string, WaitingClient>();
	const clientExpiryMs = ((leaseMs + dimension.holdMs + dimension.windowMs) * clockDriftFactor * clockDriftFactor) + takeoverMarginMs;
	let unknown = 0;
	let unknownUntilMs = 0;
	let unconfirmedUntilMs = 0;
	let committedTotal = 0;
	let localWant = 0;
	let sweptAtMs = 0;
	let cachedFairShare = {amount: 0, capacity: 0, setAtMs: -Infinity};

	function sweep(): void {
		const nowMs = timers.getNowMs();
		if (nowMs < sweptAtMs + sweepIntervalMs) {
			return;
		}

		sweptAtMs = nowMs;
		unknown = nowMs >= unknownUntilMs ? 0 : unknown;
		for (const [clientKey, client] of clients) {
			if (nowMs >= client.reportedAtMs + clientExpiryMs) {
				removeClient(clientKey, client);
			} else if (nowMs >= client.reportedAtMs + (2 * leaseMs)) {
				setWant(client, 0);
				waitingClients.delete(clientKey);
			}
		}
	}

	function removeClient(clientKey: string, client: Client): void {
		setWant(client, 0);
		committedTotal -= client.committed;
		clients.delete(clientKey);
		waitingClients.delete(clientKey);
	}

	function setWant(client: Client, want: number): void {
		localWant += client.isForeign ? 0 : want - client.want;
		client.want = want;
	}

	function setCommitted(client: Client): void {
		const committed = Math.max(client.claim, ...client.grants.map(grant => grant.amount));
		committedTotal += committed - client.committed;
		client.committed = committed;
	}

	function addClient(clientKey: string, isForeign: boolean): Client {
		const client: Client = {
			isForeign,
			lastSequence: 0,
			initialClaim: 0,
			claim: 0,
			grants: [],
			committed: 0,
			want: 0,
			reportedAtMs: timers.getNowMs(),
		};
		clients.set(clientKey, client);
		return client;
	}

	function grantShare(shareClient: ShareClient, sequence: number, report: ShareReport, capacity: number): number | undefined {
		sweep();
		const {clientKey, isForeign} = shareClient;
		const isNew = !clients.has(clientKey);
		const client = clients.get(clientKey) ?? addClient(clientKey, isForeign);
		if (sequence <= client.lastSequence) {
			return undefined;
		}

		applyReport(client, sequence, report);
		if (isNew) {
			client.initialClaim = client.claim;
			unknown = Math.max(0, unknown - client.claim);
		}

		const amount = getGrantAmount(clientKey, client, report, capacity);
		client.grants.push({sequence, amount});
		setCommitted(client);
		return amount;
	}

	function applyReport(client: Client, sequence: number, report: ShareReport): void {
		client.lastSequence = sequence;
		client.claim = report.claim;
		client.grants = client.grants.filter(grant => grant.sequence > report.adopted);
		client.reportedAtMs = timers.getNowMs();
		setWant(client, report.want);
		setCommitted(client);
	}

	function getGrantAmount(clientKey: string, client: Client, report: ShareReport, capacity: number): number {
		const free = capacity - unknown - (committedTotal - client.committed);
		const target = client.isForeign ? capacity - localWant : getLocalTarget(clientKey, client, report, capacity);
		const maxAmount = isUnconfirmed() ? client.initialClaim : Infinity;
		const amount = Math.max(0, Math.min(report.want, target, free, maxAmount));
		return dimension.isWhole ? Math.floor(amount + roundingTolerance) : amount;
	}

	/** Under contention no client gets more than the fair share, except one client at a time whose job needs more. */
	function getLocalTarget(clientKey: string, client: Client, report: ShareReport, capacity: number): number {
		if (localWant <= capacity || capacity <= 0) {
			waitingClients.delete(clientKey);
			return Math.max(0, capacity);
		}

		const fairShare = getFairShare(capacity);
		if (report.need > fairShare && report.need <= capacity) {
			waitingClients.set(clientKey, {clientKey, need: report.need});
		} else {
			waitingClients.delete(clientKey);
		}

		const [first] = waitingClients.values();
		if (first === undefined) {
			return fairShare;
		}

		return first.clientKey === clientKey
			? Math.max(fairShare, Math.min(capacity, client.claim + first.need))
			: Math.floor(fairShare * Math.max(0, 1 - (first.need / capacity)));
	}

	/** Gets the max-min fair share: the cap at which the requested amounts add up to the capacity. */
	function getFairShare(capacity: number): number {
		const nowMs = timers.getNowMs();
		if (cachedFairShare.capacity !== capacity || nowMs >= cachedFairShare.setAtMs + fairShareLifetimeMs) {
			cachedFairShare = {amount: getMaxMinFairShare(getLocalWants(), capacity), capacity, setAtMs: nowMs};
		}

		return dimension.isWhole ? Math.ceil(cachedFairShare.amount) : cachedFairShare.amount;
	}

	function getLocalWants(): number[] {
		return [...clients.values()].filter(client => !client.isForeign && client.want > 0).map(client => client.want);
	}

	function reserveUnknown(amount: number, capacity: number, hasEarlierUse: boolean): void {
		unknown = Math.min(unknown + amount, Math.max(0, capacity - committedTotal));
		unconfirmedUntilMs = timers.getNowMs() + (leaseMs * clockDriftFactor * clockDriftFactor) + takeoverMarginMs;
		unknownUntilMs = hasEarlierUse ? timers.getNowMs() + clientExpiryMs : Math.max(unknownUntilMs, unconfirmedUntilMs);
	}

	function isUnconfirmed(): boolean {
		return timers.getNowMs() < unconfirmedUntilMs;
	}

	function addLedger(message: LedgerMessage): void {
		if (message.isUnconfirmed) {
			return;
		}

		if (message.entitlement >= unknown) {
			unconfirmedUntilMs = 0;
		}

		if (message.unknown > 0) {
			unknownUntilMs = timers.getNowMs() + clientExpiryMs;
		}

		unknown = Math.max(0, unknown - message.entitlement) + message.unknown;
		for (const {clientKey, isForeign, committed} of message.clients) {
			const client = clients.get(clientKey) ?? addClient(clientKey, isForeign);
			client.claim = Math.max(client.claim, committed);
			client.initialClaim = Math.max(client.initialClaim, committed);
			setCommitted(client);
		}
	}

	function getLent(): number {
		let lent = 0;
		for (const client of clients.values()) {
			lent += client.isForeign ? client.committed : 0;
		}

		return lent;
	}

	return {
		grantShare,
		reserveUnknown,
		addLedger,
		getClients: () => [...clients].map(([clientKey, {isForeign, committed}]) => ({clientKey, isForeign, committed})),
		getUnknown: () => unknown,
		isUnconfirmed,
		getCommitted: () => committedTotal,
		getLocalWant: () => localWant,
		getLent,
	};
}

function getMaxMinFairShare(wants: number[], capacity: number): number {
	let remaining = capacity;
	let count = wants.length;
	for (const want of wants.toSorted((one, other) => one - other)) {
		if (want >= remaining / count) {
			return remaining / count;
		}

		remaining -= want;
		count--;
	}

	return capacity;
}
