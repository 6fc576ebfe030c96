import type {
	Member, MetricSink, TimerService, TimerSubscription,
} from '@camphortack/core';
import type {PoolLoad, SendDispatchMessage} from '../messages/dispatch-messages.js';

export type HeartbeatMonitorOptions = {
	ownId: string;
	availabilityZone: string;
	leaseDurationMs: number;
	timers: TimerService;
	metrics: MetricSink;
	send: SendDispatchMessage;
	getLoads: () => PoolLoad[];
};

/**
 * Sends heartbeats and checks whether this daemon is connected. A daemon that has received nothing for the duration of a
 * lease may not know that a backend server is leaving, or that another daemon has taken over its slots.
 */
export type HeartbeatMonitor = {
	setMembers(members: readonly Member[]): void;
	recordSent(peerId: string): void;
	recordReceived(peerId: string): void;
	/** Whether the leases of this daemon are valid: it heard from another daemon within a lease, or never had a peer. */
	isConnected(): boolean;
	stop(): void;
};

const heartbeatsPerLease = 2.1;

/**
 * Creates the heartbeat monitor. Each daemon sends heartbeats to its successor in the availability zone, and only when it
 * has sent it no other message. A daemon that is alone in its zone sends them to its successor among all daemons.
 * @param options - The identity of the daemon and the services that the monitor depends on.
 */
export function createHeartbeatMonitor(options: HeartbeatMonitorOptions): HeartbeatMonitor {
	const {ownId, availabilityZone, leaseDurationMs, timers, metrics} = options;
	const intervalMs = leaseDurationMs / heartbeatsPerLease;
	let successorId: string | undefined;
	let hasZonePeer = false;
	let hasHadPeers = false;
	let zonePeerIds: ReadonlySet<string> = new Set();
	let lastReceivedMs = timers.getNowMs();
	let lastSentMs = timers.getNowMs();

	function setMembers(members: readonly Member[]): void {
		const entries = members.filter(member => member.roles.includes('entry'));
		const zoneMembers = entries.filter(member => member.availabilityZone === availabilityZone);
		const hadZonePeer = hasZonePeer;
		hasZonePeer = zoneMembers.length > 1;
		zonePeerIds = new Set(zoneMembers.map(member => member.id));
		hasHadPeers ||= entries.length > 1;
		const newSuccessorId = findSuccessor(ownId, hasZonePeer ? zoneMembers : entries);
		if (newSuccessorId !== successorId || hadZonePeer !== hasZonePeer) {
			successorId = newSuccessorId;
			lastReceivedMs = Math.max(lastReceivedMs, hadZonePeer ? lastReceivedMs : timers.getNowMs());
			lastSentMs = Number.NEGATIVE_INFINITY;
			timer.cancel();
			timer = schedule();
		}
	}

	function schedule(): TimerSubscription {
		const dueMs = Math.max(lastSentMs + intervalMs - timers.getNowMs(), 0);
		return timers.addTimer(successorId === undefined ? intervalMs : dueMs, () => {
			if (successorId !== undefined && timers.getNowMs() >= lastSentMs + intervalMs) {
				sendHeartbeat(successorId);
			}

			timer = schedule();
		});
	}

	function sendHeartbeat(peerId: string): void {
		lastSentMs = timers.getNowMs();
		metrics.increment('dispatch-heartbeat');
		options.send(peerId, {kind: 'dispatch.heartbeat', needsReply: !hasZonePeer, loads: options.getLoads()});
	}

	let timer = schedule();
	return {
		setMembers,
		recordSent(peerId) {
			if (peerId === successorId) {
				lastSentMs = timers.getNowMs();
			}
		},
		recordReceived(peerId) {
			if (!hasZonePeer || zonePeerIds.has(peerId)) {
				lastReceivedMs = timers.getNowMs();
			}
		},
		isConnected: () => !hasHadPeers || timers.getNowMs() - lastReceivedMs <= leaseDurationMs,
		stop() {
			timer.cancel();
		},
	};
}

/** Finds the next daemon in the cyclic order of ids. */
function findSuccessor(ownId: string, members: readonly Member[]): string | undefined {
	const ids = members.map(member => member.id).toSorted((left, right) => left < right ? -1 : 1);
	const next = ids[(ids.indexOf(ownId) + 1) % ids.length];
	return next === ownId ? undefined : next;
}
