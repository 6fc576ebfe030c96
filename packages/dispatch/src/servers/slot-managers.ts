import type {Member, TimerService, TimerSubscription} from '@camphortack/core';
import type {ReleaseMessage, SendDispatchMessage} from '../messages/dispatch-messages.js';
import type {BackendServerRecord} from './backend-server-record.js';
import type {BackendServerTable} from './backend-server-table.js';
import {createManagerSelector, type ManagerSelector} from './manager-selector.js';

export type SlotManagersOptions = {
	ownId: string;
	availabilityZone: string;
	leaseDurationMs: number;
	timers: TimerService;
	table: BackendServerTable;
	send: SendDispatchMessage;
	/** Called when the set of slot managers has changed. */
	onChange: () => void;
};

/** Assigns the slots of each backend server to a daemon of the availability zone, and determines from when it may use them. */
export type SlotManagers = {
	setMembers(members: readonly Member[]): void;
	/** Sets the manager of a new or changed backend server. */
	assign(server: BackendServerRecord): void;
	/** Excludes a draining daemon from the selection. */
	markDraining(peerId: string, incarnation: string): void;
	handleRelease(peerId: string, message: ReleaseMessage): void;
	/** Reports a freed slot to the manager if another daemon now manages the backend server. */
	reportFreedSlot(server: BackendServerRecord): void;
	/** Waits for leases that other daemons may have acquired while this daemon was disconnected. */
	restartLeaseWaits(): void;
	/** Gets the ids of the other live daemons of the availability zone. */
	getPeerIds(): readonly string[];
};

/** The maximum ratio by which the clocks of two daemons may drift apart during a lease. */
const maxClockDriftRatio = 0.01;
const releaseDelayMs = 20;

/**
 * Creates the slot managers of the availability zone, as seen by one daemon.
 * A new manager waits until the leases of the previous manager must have expired, unless that one has released its slots.
 * @param options - The identity of the daemon and the services that the slot managers depend on.
 */
export function createSlotManagers(options: SlotManagersOptions): SlotManagers {
	const {ownId, availabilityZone, timers, table} = options;
	const takeoverDelayMs = options.leaseDurationMs * (1 + maxClockDriftRatio);
	const draining = new Map<string, string>();
	const pendingReleases = new Map<string, Set<BackendServerRecord>>();
	let members: readonly Member[] = [];
	let selector: ManagerSelector = createManagerSelector([]);
	let previousSelector: ManagerSelector = selector;
	let changedAtMs = Number.NEGATIVE_INFINITY;
	let releaseTimer: TimerSubscription | undefined;

	function setMembers(newMembers: readonly Member[]): void {
		members = newMembers.filter(member => member.availabilityZone === availabilityZone && member.roles.includes('entry'));
		update();
	}

	function update(): void {
		const ids = getCandidates();
		if (ids.join(' ') === selector.daemonIds.join(' ')) {
			return;
		}

		previousSelector = selector.daemonIds.length === 0 ? createManagerSelector(ids.filter(id => id !== ownId)) : selector;
		selector = createManagerSelector(ids);
		changedAtMs = timers.getNowMs();
		for (const server of table.getAll()) {
			reassignServer(server);
		}

		options.onChange();
	}

	/** Gets the daemons that may manage slots: draining ones only if no other daemon is left. */
	function getCandidates(): string[] {
		const staying = members.filter(member => draining.get(member.id) !== member.incarnation);
		return (staying.length > 0 ? staying : members).map(member => member.id).toSorted((left, right) => left < right ? -1 : 1);
	}

	function reassignServer(server: BackendServerRecord): void {
		const managerId = selector.getManagerId(server.id);
		if (managerId === server.managerId) {
			return;
		}

		const previousManagerId = server.managerId;
		server.managerId = managerId;
		if (previousManagerId === ownId && managerId !== '') {
			scheduleRelease(server);
		}

		if (managerId === ownId) {
			takeOver(server, previousManagerId);
		}

		table.refresh(server);
	}

	function takeOver(server: BackendServerRecord, previousManagerId: string): void {
		server.lastSeenMs = timers.getNowMs();
		if (previousManagerId === '' || previousManagerId === ownId) {
			server.managedFromMs = timers.getNowMs();
			return;
		}

		waitForLeases(server, takeoverDelayMs);
	}

	function waitForLeases(server: BackendServerRecord, delayMs: number): void {
		server.managedFromMs = timers.getNowMs() + delayMs;
		table.refresh(server);
		timers.addTimer(delayMs, () => {
			table.refresh(server);
		});
	}

	function assign(server: BackendServerRecord): void {
		server.managerId = selector.getManagerId(server.id);
		const previousManagerId = previousSelector.getManagerId(server.id);
		const remainingMs = changedAtMs + takeoverDelayMs - timers.getNowMs();
		const mayBeInUse = remainingMs > 0 && previousManagerId !== '' && previousManagerId !== ownId;
		if (server.managerId === ownId && mayBeInUse) {
			waitForLeases(server, remainingMs);
		} else {
			server.managedFromMs = timers.getNowMs();
		}

		table.refresh(server);
	}

	/** Batches releases, so that a change causes one message per new manager. */
	function scheduleRelease(server: BackendServerRecord): void {
		const released = pendingReleases.get(server.managerId) ?? new Set();
		released.add(server);
		pendingReleases.set(server.managerId, released);
		releaseTimer ??= timers.addTimer(releaseDelayMs, sendReleases);
	}

	function sendReleases(): void {
		releaseTimer = undefined;
		for (const [managerId, released] of pendingReleases) {
			const servers = [...released].map(server => ({
				backendServerId: server.id,
				incarnation: server.announcement.incarnation,
				busySlots: server.busySlots,
			}));
			options.send(managerId, {kind: 'dispatch.release', servers});
		}

		pendingReleases.clear();
	}

	function handleRelease(peerId: string, message: ReleaseMessage): void {
		for (const {backendServerId, incarnation, busySlots} of message.servers) {
			const server = table.findServer(backendServerId);
			if (server?.managerId === ownId && server.announcement.incarnation === incarnation) {
				server.foreignBusySlots.set(peerId, busySlots);
				server.managedFromMs = Math.min(server.managedFromMs, timers.getNowMs());
				table.refresh(server);
			}
		}
	}

	return {
		setMembers,
		assign,
		markDraining(peerId, incarnation) {
			draining.set(peerId, incarnation);
			update();
		},
		handleRelease,
		reportFreedSlot(server) {
			if (server.managerId !== ownId && server.managerId !== '' && table.findServer(server.id) === server) {
				scheduleRelease(server);
			}
		},
		restartLeaseWaits() {
			for (const server of table.getAll()) {
				if (server.managerId === ownId) {
					waitForLeases(server, takeoverDelayMs);
				}
			}
		},
		getPeerIds: () => members.map(member => member.id).filter(id => id !== ownId),
	};
}
