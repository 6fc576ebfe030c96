import type {TimerService} from '@camphortack/core';
import {memberRetentionMs, memberTimeoutMs} from '../cluster-timings.js';
import type {ClusterMessageOf} from '../messages/cluster-messages.js';

/** The state of another daemon according to its last heartbeat. */
export type ClusterMember = ClusterMessageOf<'cluster.heartbeat'> & {
	id: string;
	/** When its current process was first heard. */
	joinedAtMs: number;
	lastHeartbeatAtMs: number;
};

/** The other daemons known to this one, from their own heartbeats or from the member lists of others. */
export type MemberTable = {
	/** Records a heartbeat. Returns true if the daemon is new or has restarted. */
	addHeartbeat(memberId: string, heartbeat: ClusterMessageOf<'cluster.heartbeat'>): boolean;
	/** Adds a daemon that has not sent a heartbeat to this one, such as one named by another daemon. */
	addContact(memberId: string): void;
	/** Gets the daemons to contact: the seeds, and those that recently sent a heartbeat or were named by another daemon. */
	getContactIds(): string[];
	findMember(memberId: string): ClusterMember | undefined;
	/** Gets the time since the last heartbeat of a daemon; infinite if there was none. */
	getSilenceMs(memberId: string): number;
	/** Gets the daemons that take jobs of callers, of those whose heartbeats stopped at most a time ago, and for how long they have been up. */
	getEntries(maxSilenceMs: number): Array<{id: string; upMs: number; silenceMs: number}>;
	/** Whether a daemon of an availability zone has ever sent a heartbeat to this one. */
	hasZone(availabilityZone: string): boolean;
	/** Gets the daemons with a recent heartbeat. */
	getAliveMembers(): ClusterMember[];
	/** Whether all seeds are alive. */
	hearsAllSeeds(): boolean;
	/** Gets the daemons that count towards majorities: those alive, and those whose heartbeats stopped recently without a planned stop. */
	getCountedMembers(): ClusterMember[];
};

/**
 * Creates an empty table.
 * @param ownId - The id of this daemon, which is not part of the table.
 * @param seedIds - Daemons that are always contacted.
 * @param timers - The source of time.
 */
export function createMemberTable(ownId: string, seedIds: readonly string[], timers: TimerService): MemberTable {
	const members = new Map<string, ClusterMember>();
	const contacts = new Map<string, number>();
	const otherSeedIds = new Set(seedIds.filter(id => id !== ownId));

	function isAlive(member: ClusterMember): boolean {
		return timers.getNowMs() - member.lastHeartbeatAtMs < memberTimeoutMs;
	}

	function isCounted(member: ClusterMember): boolean {
		return isAlive(member) || (!member.isLeaving && timers.getNowMs() - member.lastHeartbeatAtMs < memberRetentionMs);
	}

	return {
		addHeartbeat(memberId, heartbeat) {
			const nowMs = timers.getNowMs();
			const known = members.get(memberId);
			const isNew = known?.incarnation !== heartbeat.incarnation;
			const joinedAtMs = isNew ? nowMs : known.joinedAtMs;
			members.set(memberId, {
				...heartbeat, id: memberId, joinedAtMs, lastHeartbeatAtMs: nowMs,
			});
			contacts.set(memberId, nowMs);
			return isNew;
		},
		addContact(memberId) {
			if (memberId !== ownId && !contacts.has(memberId)) {
				contacts.set(memberId, timers.getNowMs());
			}
		},
		getContactIds() {
			const oldestMs = timers.getNowMs() - memberRetentionMs;
			for (const [id, atMs] of contacts) {
				if (atMs < oldestMs) {
					contacts.delete(id);
				}
			}

			return [...new Set([...otherSeedIds, ...contacts.keys()])];
		},
		findMember: memberId => members.get(memberId),
		getSilenceMs(memberId) {
			const member = members.get(memberId);
			return member === undefined ? Number.POSITIVE_INFINITY : timers.getNowMs() - member.lastHeartbeatAtMs;
		},
		getEntries: maxSilenceMs => [...members.values()]
			.filter(({isKeeper, lastHeartbeatAtMs}) => !isKeeper && timers.getNowMs() - lastHeartbeatAtMs < maxSilenceMs)
			.map(({id, upMs, lastHeartbeatAtMs}) => {
				const silenceMs = timers.getNowMs() - lastHeartbeatAtMs;
				return {id, upMs: upMs + silenceMs, silenceMs};
			}),
		hasZone: availabilityZone => [...members.values()].some(member => member.availabilityZone === availabilityZone),
		getAliveMembers: () => [...members.values()].filter(member => isAlive(member)),
		hearsAllSeeds: () => [...otherSeedIds].every(id => members.has(id) && isAlive(members.get(id)!)),
		getCountedMembers: () => [...members.values()].filter(member => isCounted(member)),
	};
}
