import type {
	BackendServerAnnouncement, Member, TimerService, TimerSubscription,
} from '@camphortack/core';
import {maxServersPerMessage, type SendDispatchMessage} from '../messages/dispatch-messages.js';
import type {BackendServerRecord} from './backend-server-record.js';
import type {BackendServerTable} from './backend-server-table.js';
import {createManagerSelector} from './manager-selector.js';
import type {SlotManagers} from './slot-managers.js';

export type ServerDirectoryOptions = {
	ownId: string;
	availabilityZone: string;
	timers: TimerService;
	table: BackendServerTable;
	managers: SlotManagers;
	send: SendDispatchMessage;
	/** Called when a backend server is added or has changed. */
	onChanged: (server: BackendServerRecord) => void;
};

/** Propagates changes of backend servers to the daemons of their availability zone. */
export type ServerDirectory = {
	setMembers(members: readonly Member[]): void;
	/** Handles an announcement that a backend server sent to this daemon. */
	announce(announcement: BackendServerAnnouncement): void;
	/** Handles announcements that another daemon forwarded. */
	handleServers(peerId: string, announcements: readonly BackendServerAnnouncement[]): void;
	handleRenewal(backendServerId: string, incarnation: string): void;
	/** Handles the farewell that a backend server sent to this daemon. */
	remove(backendServerId: string, incarnation: string): void;
	handleServerLeft(backendServerId: string, incarnation: string, reason: 'farewell' | 'expired'): void;
	/** Tells the daemons of the availability zone that a backend server has expired. */
	broadcastExpiry(server: BackendServerRecord): void;
};

/** The maximum number of renewals forwarded to the manager per time to live. */
const forwardsPerTimeToLive = 2;
const broadcastDelayMs = 20;

export function createServerDirectory(options: ServerDirectoryOptions): ServerDirectory {
	const {ownId, availabilityZone, timers, table, managers, send} = options;
	let members: readonly Member[] = [];
	const changedServers = new Set<BackendServerRecord>();
	let broadcastTimer: TimerSubscription | undefined;
	let knownPeers = new Map<string, string>();

	function setMembers(newMembers: readonly Member[]): void {
		members = newMembers;
		const peers = members.filter(member => member.availabilityZone === availabilityZone && member.id !== ownId);
		for (const peer of peers) {
			if (knownPeers.get(peer.id) !== peer.incarnation) {
				sendManagedServers(peer.id);
			}
		}

		knownPeers = new Map(peers.map(peer => [peer.id, peer.incarnation]));
	}

	/** Sends the backend servers that this daemon manages to a daemon that joined. */
	function sendManagedServers(peerId: string): void {
		const managed = [...table.getAll()].filter(server => server.managerId === ownId);
		sendAnnouncements([peerId], managed.flatMap(server => [server, ...table.getOtherIncarnations(server.id)]));
	}

	/** Batches changes, so that a rack of backend servers that starts causes only one message per daemon. */
	function scheduleBroadcast(server: BackendServerRecord): void {
		changedServers.add(server);
		broadcastTimer ??= timers.addTimer(broadcastDelayMs, () => {
			broadcastTimer = undefined;
			sendAnnouncements(managers.getPeerIds(), [...changedServers]);
			changedServers.clear();
		});
	}

	function sendAnnouncements(peerIds: readonly string[], servers: readonly BackendServerRecord[]): void {
		const staying = servers.filter(server => !server.isLeaving);
		for (let start = 0; start < staying.length; start += maxServersPerMessage) {
			const announcements = staying.slice(start, start + maxServersPerMessage).map(server => server.announcement);
			for (const peerId of peerIds) {
				send(peerId, {kind: 'dispatch.servers', announcements});
			}
		}
	}

	function announce(announcement: BackendServerAnnouncement): void {
		if (announcement.availabilityZone !== availabilityZone) {
			forwardToZone(announcement);
			return;
		}

		const {server, isChanged, isInUse} = table.announce(announcement, true);
		if (!isChanged) {
			forwardRenewal(server);
			return;
		}

		if (isInUse) {
			handleChange(server);
		}

		scheduleBroadcast(server);
	}

	function handleChange(server: BackendServerRecord): void {
		managers.assign(server);
		options.onChanged(server);
	}

	function forwardToZone(announcement: BackendServerAnnouncement): void {
		const zoneMembers = members.filter(member => member.availabilityZone === announcement.availabilityZone);
		const managerId = createManagerSelector(zoneMembers.map(member => member.id)).getManagerId(announcement.id);
		if (managerId !== '') {
			send(managerId, {kind: 'dispatch.servers', announcements: [announcement]});
		}
	}

	function forwardRenewal(server: BackendServerRecord): void {
		const nowMs = timers.getNowMs();
		const managerId = table.findServer(server.id)?.managerId ?? '';
		const isDue = nowMs - server.lastForwardedMs >= server.announcement.timeToLiveMs / forwardsPerTimeToLive;
		if (managerId !== ownId && managerId !== '' && isDue) {
			server.lastForwardedMs = nowMs;
			send(managerId, {
				kind: 'dispatch.server-renewed',
				backendServerId: server.id,
				incarnation: server.announcement.incarnation,
			});
		}
	}

	function handleServers(peerId: string, announcements: readonly BackendServerAnnouncement[]): void {
		for (const announcement of announcements.filter(announced => announced.availabilityZone === availabilityZone)) {
			const {server, isChanged, isInUse} = table.announce(announcement, false);
			if (isChanged && isInUse) {
				handleChange(server);
			}

			if (isChanged && !knownPeers.has(peerId)) {
				scheduleBroadcast(server);
			}
		}
	}

	function handleRenewal(backendServerId: string, incarnation: string): void {
		const server = table.findIncarnation(backendServerId, incarnation);
		if (server !== undefined) {
			table.markSeen(server);
		}
	}

	function remove(backendServerId: string, incarnation: string): void {
		const isKnown = table.findServer(backendServerId) !== undefined;
		if (table.markLeaving(backendServerId, incarnation)) {
			broadcastToZone({
				kind: 'dispatch.server-left', backendServerId, incarnation, reason: 'farewell',
			});
		} else if (!isKnown) {
			sendFarewellToOtherZones(backendServerId, incarnation);
		}
	}

	/** Forwards the farewell of a backend server of another zone, because only the daemons of its own zone know it. */
	function sendFarewellToOtherZones(backendServerId: string, incarnation: string): void {
		for (const member of members) {
			if (member.availabilityZone !== availabilityZone) {
				send(member.id, {
					kind: 'dispatch.server-left', backendServerId, incarnation, reason: 'farewell',
				});
			}
		}
	}

	function broadcastToZone(message: Parameters<SendDispatchMessage>[1]): void {
		for (const peerId of managers.getPeerIds()) {
			send(peerId, message);
		}
	}

	return {
		setMembers,
		announce,
		handleServers,
		handleRenewal,
		remove,
		handleServerLeft(backendServerId, incarnation, reason) {
			if (reason === 'farewell') {
				table.markLeaving(backendServerId, incarnation);
			} else {
				table.removeUnmanaged(backendServerId, incarnation);
			}
		},
		broadcastExpiry(server) {
			broadcastToZone({
				kind: 'dispatch.server-left',
				backendServerId: server.id,
				incarnation: server.announcement.incarnation,
				reason: 'expired',
			});
		},
	};
}
