import type {TimerService} from '@camphortack/core';
import type {LimitDimension} from './limit-dimensions.js';
import {clockDriftFactor, leaseMs, takeoverMarginMs} from './limit-constants.js';
import type {LedgerMessage, ShareReport} from './limit-messages.js';

/** What a share manager has leased out of one dimension, and to whom. */
export type ShareLedger = {
	/**
	 * Takes a report and grants a share.
	 * @param shareClient - Who reports.
	 * @param sequence - The sequence of the request.
	 * @param report - What the client holds and wants.
	 * @param capacity - What may be leased out in all.
	 * @returns The amount granted, or undefined if the request is older than one already seen.
	 */
	grantShare(shareClient: ShareClient, sequence: number, report: ShareReport, capacity: number): number | undefined;
	/**
	 * Counts an amount as unknown, since someone else may have leased it out.
	 * @param amount - The amount.
	 * @param capacity - What may be leased out in all.
	 * @param hasEarlierUse - Whether uses of a daemon that is gone may go on; else only daemons that report are waited for.
	 */
	freeze(amount: number, capacity: number, hasEarlierUse: boolean): void;
	/** Takes in what another share manager had leased out; it leases out no more. */
	addLedger(message: LedgerMessage): void;
	getClients(): LedgerMessage['clients'];
	getUnknown(): number;
	/** Whether the share manager before this one may still be at work, so that nobody's share may grow. */
	isUnconfirmed(): boolean;
	getCommitted(): number;
	/** Gets what the own availability zone's daemons want in all. */
	getLocalWant(): number;
	/** Gets what is leased out to other availability zones. */
	getLent(): number;
};

/** Who holds a share. */
export type ShareClient = {
	/** The daemon, its incarnation and, for a loan, its time as share manager. */
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
	/** What it held when it became known: the most that it gets while the ledger is unconfirmed. */
	firstClaim: number;
	/** What it held when it last reported. */
	claim: number;
	/** Grants that it may still be using. */
	grants: Grant[];
	committed: number;
	want: number;
	reportedAtMs: number;
};

type Waiting = {
	clientKey: string;
	need: number;
};

/** Clients whose lease has ended are looked for this often. */
const sweepIntervalMs = 1000;
/** The level of contention is worked out anew after this time. */
const levelLifetimeMs = 200;
const tolerance = 1e-9;

/**
 * Creates an empty ledger.
 * @param timers - The timer service.
 * @param dimension - What is leased out.
 */
export function createShareLedger(timers: TimerService, dimension: LimitDimension): ShareLedger {
	const clients = new Map<string, Client>();
	const waiting = new Map<string, Waiting>();
	const endingMs = ((leaseMs + dimension.holdMs + dimension.lagMs) * clockDriftFactor * clockDriftFactor) + takeoverMarginMs;
	let unknown = 0;
	let frozenUntilMs = 0;
	let unconfirmedUntilMs = 0;
	let committedTotal = 0;
	let localWant = 0;
	let sweptAtMs = 0;
	let level = {amount: 0, capacity: 0, setAtMs: -Infinity};

	function sweep(): void {
		const nowMs = timers.getNowMs();
		if (nowMs < sweptAtMs + sweepIntervalMs) {
			return;
		}

		sweptAtMs = nowMs;
		unknown = nowMs >= frozenUntilMs ? 0 : unknown;
		for (const [clientKey, client] of clients) {
			if (nowMs >= client.reportedAtMs + endingMs) {
				removeClient(clientKey, client);
			} else if (nowMs >= client.reportedAtMs + (2 * leaseMs)) {
				setWant(client, 0);
				waiting.delete(clientKey);
			}
		}
	}

	function removeClient(clientKey: string, client: Client): void {
		setWant(client, 0);
		committedTotal -= client.committed;
		clients.delete(clientKey);
		waiting.delete(clientKey);
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
			firstClaim: 0,
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

		takeReport(client, sequence, report);
		if (isNew) {
			client.firstClaim = client.claim;
			unknown = Math.max(0, unknown - client.claim);
		}

		const amount = getGrantAmount(clientKey, client, report, capacity);
		client.grants.push({sequence, amount});
		setCommitted(client);
		return amount;
	}

	function takeReport(client: Client, sequence: number, report: ShareReport): void {
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
		const most = isUnconfirmed() ? client.firstClaim : Infinity;
		const amount = Math.max(0, Math.min(report.want, target, free, most));
		return dimension.isWhole ? Math.floor(amount + tolerance) : amount;
	}

	/** Under contention nobody gets more than the level, but for one client at a time whose job is larger than that. */
	function getLocalTarget(clientKey: string, client: Client, report: ShareReport, capacity: number): number {
		if (localWant <= capacity || capacity <= 0) {
			waiting.delete(clientKey);
			return Math.max(0, capacity);
		}

		const level = getLevel(capacity);
		if (report.need > level && report.need <= capacity) {
			waiting.set(clientKey, {clientKey, need: report.need});
		} else {
			waiting.delete(clientKey);
		}

		const [first] = waiting.values();
		if (first === undefined) {
			return level;
		}

		return first.clientKey === clientKey
			? Math.max(level, Math.min(capacity, client.claim + first.need))
			: Math.floor(level * Math.max(0, 1 - (first.need / capacity)));
	}

	/** Gets the level at which the wants, cut off there, add up to the capacity. */
	function getLevel(capacity: number): number {
		const nowMs = timers.getNowMs();
		if (level.capacity !== capacity || nowMs >= level.setAtMs + levelLifetimeMs) {
			level = {amount: findLevel(getLocalWants(), capacity), capacity, setAtMs: nowMs};
		}

		return dimension.isWhole ? Math.ceil(level.amount) : level.amount;
	}

	function getLocalWants(): number[] {
		return [...clients.values()].filter(client => !client.isForeign && client.want > 0).map(client => client.want);
	}

	function freeze(amount: number, capacity: number, hasEarlierUse: boolean): void {
		unknown = Math.min(unknown + amount, Math.max(0, capacity - committedTotal));
		unconfirmedUntilMs = timers.getNowMs() + (leaseMs * clockDriftFactor * clockDriftFactor) + takeoverMarginMs;
		frozenUntilMs = hasEarlierUse ? timers.getNowMs() + endingMs : Math.max(frozenUntilMs, unconfirmedUntilMs);
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
			frozenUntilMs = timers.getNowMs() + endingMs;
		}

		unknown = Math.max(0, unknown - message.entitlement) + message.unknown;
		for (const {clientKey, isForeign, committed} of message.clients) {
			const client = clients.get(clientKey) ?? addClient(clientKey, isForeign);
			client.claim = Math.max(client.claim, committed);
			client.firstClaim = Math.max(client.firstClaim, committed);
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
		freeze,
		addLedger,
		getClients: () => [...clients].map(([clientKey, {isForeign, committed}]) => ({clientKey, isForeign, committed})),
		getUnknown: () => unknown,
		isUnconfirmed,
		getCommitted: () => committedTotal,
		getLocalWant: () => localWant,
		getLent,
	};
}

function findLevel(wants: number[], capacity: number): number {
	let left = capacity;
	let count = wants.length;
	for (const want of wants.toSorted((one, other) => one - other)) {
		if (want >= left / count) {
			return left / count;
		}

		left -= want;
		count--;
	}

	return capacity;
}
