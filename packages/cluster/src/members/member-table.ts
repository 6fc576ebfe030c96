import type {TimerService} from '@camphortack/core';
import {memberRetentionMs, memberTimeoutMs} from '../cluster-timings.js';
import type {ClusterMessageOf} from '../messages/cluster-messages.js';

/** Another daemon, as its last heartbeat showed it. */
export type ClusterMember = ClusterMessageOf<'cluster.heartbeat'> & {
	id: string;
	heardAtMs: number;
};

/** The daemons of the deployment that are or were heard. */
export type MemberTable = {
	/** Notes a heartbeat. Returns true if the daemon is new or has restarted. */
	addHeartbeat(memberId: string, heartbeat: ClusterMessageOf<'cluster.heartbeat'>): boolean;
	/** Notes a daemon that was only named by another one. */
	addContact(memberId: string): void;
	/** Gets every daemon that heartbeats go to. */
	getContactIds(): string[];
	findMember(memberId: string): ClusterMember | undefined;
	/** Gets the time since a daemon was heard; infinite if it never was. */
	getSilenceMs(memberId: string): number;
	/** Gets the daemons that are heard now. */
	getAliveMembers(): ClusterMember[];
	/** Whether all daemons that are always contacted are heard now. */
	hearsAllSeeds(): boolean;
	/** Gets the daemons that count towards majorities: heard lately, and not gone on purpose. */
	getCountedMembers(): ClusterMember[];
};

/**
 * Creates the book.
 * @param ownId - This daemon, which the book leaves out.
 * @param seedIds - Daemons that are always contacted.
 * @param timers - The time.
 */
export function createMemberTable(ownId: string, seedIds: readonly string[], timers: TimerService): MemberTable {
	const members = new Map<string, ClusterMember>();
	const contacts = new Map<string, number>();
	const otherSeedIds = new Set(seedIds.filter(id => id !== ownId));

	function isAlive(member: ClusterMember): boolean {
		return timers.getNowMs() - member.heardAtMs < memberTimeoutMs;
	}

	function isCounted(member: ClusterMember): boolean {
		return isAlive(member) || (!member.isLeaving && timers.getNowMs() - member.heardAtMs < memberRetentionMs);
	}

	return {
		addHeartbeat(memberId, heartbeat) {
			const known = members.get(memberId);
			members.set(memberId, {...heartbeat, id: memberId, heardAtMs: timers.getNowMs()});
			contacts.set(memberId, timers.getNowMs());
			return known?.incarnation !== heartbeat.incarnation;
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
			return member === undefined ? Number.POSITIVE_INFINITY : timers.getNowMs() - member.heardAtMs;
		},
		getAliveMembers: () => [...members.values()].filter(member => isAlive(member)),
		hearsAllSeeds: () => [...otherSeedIds].every(id => members.has(id) && isAlive(members.get(id)!)),
		getCountedMembers: () => [...members.values()].filter(member => isCounted(member)),
	};
}
