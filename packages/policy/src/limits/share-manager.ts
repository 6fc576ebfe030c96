import type {PeerMessage, RandomSource, TimerService} from '@camphortack/core';
import type {GrantedShare} from './leased-share.js';
import type {LimitDimension} from './limit-dimensions.js';
import type {LedgerMessage, LimitMessage, ShareReport} from './limit-messages.js';
import {createManagedDimension, type ManagedDimension} from './managed-dimension.js';
import type {RequestLog} from './request-log.js';
import type {ShareClient} from './share-ledger.js';
import type {ZoneManagers} from './zone-managers.js';

/** Manages the dimensions whose shares this daemon leases out, and the pending transfers of ledgers to other daemons. */
export type ShareManager = {
	/** Starts managing or transfers dimensions after a change of the members or of the configuration. */
	assignDimensions(dimensions: Iterable<LimitDimension>): void;
	/** Discards the state of all ledgers, because other daemons may have taken over the dimensions. */
	resetDimensions(): void;
	/** Updates the amounts that this side of the availability zone may use. */
	updateEntitlements(isIncreaseKnown: boolean): void;
	grantShare(client: ShareClient, sequence: number, report: ShareReport): number | undefined;
	handleLedger(fromPeerId: string, message: LedgerMessage): void;
	handleLedgerReceived(transferId: string): void;
	adoptBorrowed(key: string, zone: string, grant: GrantedShare): void;
	/** Sends the requests to other availability zones and the ledger transfers that are due. */
	sendDue(): void;
	findManaged(key: string): ManagedDimension | undefined;
};

export type ShareManagerOptions = {
	ownId: string;
	ownZone: string;
	incarnation: string;
	timers: TimerService;
	random: RandomSource;
	managers: ZoneManagers;
	requests: RequestLog;
	send: (peerId: string, message: PeerMessage & LimitMessage) => void;
	getEntitlement: (dimension: LimitDimension) => number;
	/** Gets the possible use of a dimension that this daemon starts to manage. */
	getEarlierUse: (dimension: LimitDimension) => EarlierUse;
};

/**
 * `none`: no other daemon leases out or uses the dimension. `concurrent`: live daemons may, and they will report.
 * `possible`: daemons that are gone may have started uses that still count.
 */
export type EarlierUse = 'none' | 'concurrent' | 'possible';

type Transfer = {
	message: LedgerMessage;
	sentAtMs: number;
	startedAtMs: number;
};

type ManagedEntry = {
	dimension: LimitDimension;
	readonly managed: ManagedDimension;
};

const transferIntervalMs = 1000;
/** A ledger is resent for this long; by then the new share manager has waited until every lease expired. */
const transferLifetimeMs = 60_000;

export function createShareManager(options: ShareManagerOptions): ShareManager {
	const {ownId, ownZone, timers, random, managers, requests, send} = options;
	const managedByKey = new Map<string, ManagedEntry>();
	const transfers = new Map<string, Transfer>();

	function assignDimensions(dimensions: Iterable<LimitDimension>): void {
		const declared = new Map([...dimensions].map(dimension => [dimension.key, dimension]));
		for (const [key, {managed}] of managedByKey) {
			const dimension = declared.get(key);
			if (dimension === undefined) {
				managedByKey.delete(key);
			} else if (managers.findManager(key, ownZone) !== ownId) {
				startTransfer(key, managed);
			}
		}

		for (const dimension of declared.values()) {
			assignDimension(dimension);
		}
	}

	function assignDimension(dimension: LimitDimension): void {
		const present = managedByKey.get(dimension.key);
		if (present !== undefined) {
			const isWindowUnchanged = present.dimension.windowMs === dimension.windowMs;
			present.dimension = dimension;
			if (!isWindowUnchanged) {
				startManaging(dimension, 'possible');
			}
		} else if (managers.findManager(dimension.key, ownZone) === ownId) {
			startManaging(dimension, options.getEarlierUse(dimension));
		}
	}

	function startManaging(dimension: LimitDimension, earlierUse: EarlierUse): void {
		const managed = createManagedDimension(timers, random, dimension);
		const entitlement = options.getEntitlement(dimension);
		managed.setEntitlement(entitlement);
		if (earlierUse !== 'none') {
			managed.reserveUnknown(entitlement, earlierUse === 'possible');
		}

		managedByKey.set(dimension.key, {dimension, managed});
	}

	function startTransfer(key: string, managed: ManagedDimension): void {
		managedByKey.delete(key);
		const message = managed.createLedgerMessage();
		transfers.set(message.transferId, {message, sentAtMs: -Infinity, startedAtMs: timers.getNowMs()});
	}

	function resetDimensions(): void {
		for (const {dimension} of managedByKey.values()) {
			startManaging(dimension, 'possible');
		}
	}

	function updateEntitlements(isIncreaseKnown: boolean): void {
		for (const {dimension, managed} of managedByKey.values()) {
			const increase = options.getEntitlement(dimension) - managed.getEntitlement();
			managed.setEntitlement(managed.getEntitlement() + increase);
			if (increase > 0 && !isIncreaseKnown) {
				managed.reserveUnknown(increase, true);
			}
		}
	}

	function handleLedger(fromPeerId: string, message: LedgerMessage): void {
		const managed = managedByKey.get(message.key)?.managed;
		if (managed !== undefined) {
			managed.addLedger(message);
			send(fromPeerId, {kind: 'limits.ledger-received', transferId: message.transferId});
		}
	}

	function sendDue(): void {
		sendTransfers();
		sendBorrowReports();
	}

	function sendTransfers(): void {
		const nowMs = timers.getNowMs();
		for (const [transferId, transfer] of transfers) {
			const manager = managers.findManager(transfer.message.key, ownZone);
			if (nowMs >= transfer.startedAtMs + transferLifetimeMs) {
				transfers.delete(transferId);
			} else if (manager === ownId) {
				handleLedger(ownId, transfer.message);
				transfers.delete(transferId);
			} else if (manager !== undefined && nowMs >= transfer.sentAtMs + transferIntervalMs) {
				transfer.sentAtMs = nowMs;
				send(manager, transfer.message);
			}
		}
	}

	function sendBorrowReports(): void {
		const otherZones = [...managers.getZones()].filter(zone => zone !== ownZone);
		const reportsByPeer = new Map<string, ShareReport[]>();
		for (const [key, {managed}] of managedByKey) {
			for (const {zone, report} of managed.createBorrowReports(otherZones)) {
				const peerId = managers.findManager(key, zone)!;
				const reports = reportsByPeer.get(peerId) ?? [];
				reports.push(report);
				reportsByPeer.set(peerId, reports);
			}
		}

		for (const [peerId, reports] of reportsByPeer) {
			send(peerId, {
				kind: 'limits.request',
				incarnation: options.incarnation,
				isForeign: true,
				sequence: requests.addRequest(),
				reports,
			});
		}
	}

	return {
		assignDimensions,
		resetDimensions,
		updateEntitlements,
		grantShare: (client, sequence, report) => managedByKey.get(report.key)?.managed.grantShare(client, sequence, report),
		handleLedger,
		handleLedgerReceived(transferId) {
			transfers.delete(transferId);
		},
		adoptBorrowed(key, zone, grant) {
			managedByKey.get(key)?.managed.adoptBorrowed(zone, grant);
		},
		sendDue,
		findManaged: key => managedByKey.get(key)?.managed,
	};
}
