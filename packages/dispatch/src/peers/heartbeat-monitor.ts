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
 * Tells whether this daemon is heard and hears. A daemon that has heard no other one for the duration of a lease
 * may not know that a backend server leaves, or that another daemon has taken its slots over.
 */
export type HeartbeatMonitor = {
	setMembers(members: readonly Member[]): void;
	recordSent(peerId: string): void;
	recordReceived(peerId: string): void;
	/** Whether the leases of this daemon hold: it heard another daemon lately, or there is none. */
	isConnected(): boolean;
	stop(): void;
};

const heartbeatsPerLease = 2.1;

/**
 * Creates the heartbeats. Each daemon sends to the next one of its zone, and only when it has sent it nothing else.
 * @param options - The daemon's place and ports.
 */
export function createHeartbeatMonitor(options: HeartbeatMonitorOptions): HeartbeatMonitor {
	const {ownId, availabilityZone, leaseDurationMs, timers, metrics} = options;
	const intervalMs = leaseDurationMs / heartbeatsPerLease;
	let successorId: string | undefined;
	let hasZonePeer = false;
	let hadPeers = false;
	let zonePeerIds: ReadonlySet<string> = new Set();
	let heardMs = timers.getNowMs();
	let sentMs = timers.getNowMs();

	function setMembers(members: readonly Member[]): void {
		const entries = members.filter(member => member.roles.includes('entry'));
		const zoneMembers = entries.filter(member => member.availabilityZone === availabilityZone);
		const hadZonePeer = hasZonePeer;
		hasZonePeer = zoneMembers.length > 1;
		zonePeerIds = new Set(zoneMembers.map(member => member.id));
		hadPeers ||= entries.length > 1;
		const newSuccessorId = findSuccessor(ownId, hasZonePeer ? zoneMembers : entries);
		if (newSuccessorId !== successorId || hadZonePeer !== hasZonePeer) {
			successorId = newSuccessorId;
			heardMs = Math.max(heardMs, hadZonePeer ? heardMs : timers.getNowMs());
			sentMs = Number.NEGATIVE_INFINITY;
			timer.cancel();
			timer = schedule();
		}
	}

	function schedule(): TimerSubscription {
		const dueMs = Math.max(sentMs + intervalMs - timers.getNowMs(), 0);
		return timers.addTimer(successorId === undefined ? intervalMs : dueMs, () => {
			if (successorId !== undefined && timers.getNowMs() >= sentMs + intervalMs) {
				beat(successorId);
			}

			timer = schedule();
		});
	}

	function beat(peerId: string): void {
		sentMs = timers.getNowMs();
		metrics.increment('dispatch-heartbeat');
		options.send(peerId, {kind: 'dispatch.heartbeat', needsReply: !hasZonePeer, loads: options.getLoads()});
	}

	let timer = schedule();
	return {
		setMembers,
		recordSent(peerId) {
			if (peerId === successorId) {
				sentMs = timers.getNowMs();
			}
		},
		recordReceived(peerId) {
			if (!hasZonePeer || zonePeerIds.has(peerId)) {
				heardMs = timers.getNowMs();
			}
		},
		isConnected: () => !hadPeers || timers.getNowMs() - heardMs <= leaseDurationMs,
		stop() {
			timer.cancel();
		},
	};
}

/** Finds the next daemon in the order of names. */
function findSuccessor(ownId: string, members: readonly Member[]): string | undefined {
	const ids = members.map(member => member.id).toSorted((left, right) => left < right ? -1 : 1);
	const next = ids[(ids.indexOf(ownId) + 1) % ids.length];
	return next === ownId ? undefined : next;
}
