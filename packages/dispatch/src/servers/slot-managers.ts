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
	/** Called when the slots that this daemon may use have changed. */
	onChange: () => void;
};

/** Which daemon of the availability zone uses the slots of each backend server, and from when. */
export type SlotManagers = {
	setMembers(members: readonly Member[]): void;
	/** Sets the manager of a backend server that is new. */
	assign(server: BackendServerRecord): void;
	/** Takes a daemon out of the choice because it stops soon. */
	markDraining(peerId: string, incarnation: string): void;
	handleRelease(peerId: string, message: ReleaseMessage): void;
	/** Reports a slot that fell free on a backend server that another daemon manages now. */
	reportFreedSlot(server: BackendServerRecord): void;
	/** Waits for the leases that others may have been given while this daemon heard nobody. */
	restartLeaseWaits(): void;
	/** Gets the other live daemons of the zone. */
	getPeerIds(): readonly string[];
};

/** A lessee's clock and a manager's may differ by this share. */
const clockDrift = 0.01;
const releaseDelayMs = 20;

/**
 * Creates the slot managers of the zone, as one daemon sees them.
 * A new manager waits until the leases of the earlier one must have ended, unless that one released its slots.
 * @param options - The daemon's place and ports.
 */
export function createSlotManagers(options: SlotManagersOptions): SlotManagers {
	const {ownId, availabilityZone, timers, table} = options;
	const takeoverMs = options.leaseDurationMs * (1 + clockDrift);
	const draining = new Map<string, string>();
	const pendingReleases = new Map<string, Set<BackendServerRecord>>();
	let members: readonly Member[] = [];
	let choice: ManagerSelector = createManagerSelector([]);
	let earlierChoice: ManagerSelector = choice;
	let changedAtMs = Number.NEGATIVE_INFINITY;
	let releaseTimer: TimerSubscription | undefined;

	function setMembers(newMembers: readonly Member[]): void {
		members = newMembers.filter(member => member.availabilityZone === availabilityZone && member.roles.includes('entry'));
		update();
	}

	function update(): void {
		const ids = getCandidates();
		if (ids.join(' ') === choice.daemonIds.join(' ')) {
			return;
		}

		earlierChoice = choice.daemonIds.length === 0 ? createManagerSelector(ids.filter(id => id !== ownId)) : choice;
		choice = createManagerSelector(ids);
		changedAtMs = timers.getNowMs();
		for (const server of table.getAll()) {
			moveServer(server);
		}

		options.onChange();
	}

	/** A daemon that drains manages nothing, unless no other one is left. */
	function getCandidates(): string[] {
		const staying = members.filter(member => draining.get(member.id) !== member.incarnation);
		return (staying.length > 0 ? staying : members).map(member => member.id).toSorted((left, right) => left < right ? -1 : 1);
	}

	function moveServer(server: BackendServerRecord): void {
		const managerId = choice.getManagerId(server.id);
		if (managerId === server.managerId) {
			return;
		}

		const earlierManagerId = server.managerId;
		server.managerId = managerId;
		if (earlierManagerId === ownId && managerId !== '') {
			addRelease(server);
		}

		if (managerId === ownId) {
			takeOver(server, earlierManagerId);
		}

		table.refresh(server);
	}

	function takeOver(server: BackendServerRecord, earlierManagerId: string): void {
		server.lastSeenMs = timers.getNowMs();
		if (earlierManagerId === '' || earlierManagerId === ownId) {
			server.managedFromMs = timers.getNowMs();
			return;
		}

		waitForLeases(server, takeoverMs);
	}

	function waitForLeases(server: BackendServerRecord, delayMs: number): void {
		server.managedFromMs = timers.getNowMs() + delayMs;
		table.refresh(server);
		timers.addTimer(delayMs, () => {
			table.refresh(server);
		});
	}

	function assign(server: BackendServerRecord): void {
		server.managerId = choice.getManagerId(server.id);
		const earlierManagerId = earlierChoice.getManagerId(server.id);
		const remainingMs = changedAtMs + takeoverMs - timers.getNowMs();
		const mayBeInUse = remainingMs > 0 && earlierManagerId !== '' && earlierManagerId !== ownId;
		if (server.managerId === ownId && mayBeInUse) {
			waitForLeases(server, remainingMs);
		} else {
			server.managedFromMs = timers.getNowMs();
		}

		table.refresh(server);
	}

	/** Releases go out together, so that a change costs one message for each new manager. */
	function addRelease(server: BackendServerRecord): void {
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
				addRelease(server);
			}
		},
		restartLeaseWaits() {
			for (const server of table.getAll()) {
				if (server.managerId === ownId) {
					waitForLeases(server, takeoverMs);
				}
			}
		},
		getPeerIds: () => members.map(member => member.id).filter(id => id !== ownId),
	};
}
