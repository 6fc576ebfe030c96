import {
	replyIntervalMs, heartbeatMs, linkTimeoutMs, memberListIntervalMs, placerHeartbeatMs,
} from '../cluster-timings.js';
import type {ClusterOptions} from '../cluster-options.js';
import type {PlacerView} from '../election/placer-view.js';
import type {ClusterMessageOf} from '../messages/cluster-messages.js';
import type {ClusterMember, MemberTable} from './member-table.js';
import {needsHeartbeats, type HeartbeatPeer} from './needs-heartbeats.js';

/** The variable fields of a heartbeat. */
export type HeartbeatContent = {
	shard: string;
	loadMs: number | undefined;
	/** Set only on a daemon that places or has placed. */
	registryDigest?: string;
	view: PlacerView;
	hearsPlacer: boolean;
	isLeaving: boolean;
	configurationNumber: number;
	evacuationRevision: number;
};

/** Sends this daemon's heartbeats, and resets links that fail silently. */
export type HeartbeatSender = {
	/** Sends a heartbeat immediately to every daemon that this one exchanges heartbeats with. */
	sendAll(): void;
	/** Sends heartbeats if the interval has passed. */
	sendIfDue(): void;
	/** Replies to a new daemon with a heartbeat that includes the list of members. */
	replyToNewMember(memberId: string): void;
	/** Replies, at a limited rate, to a daemon that sends heartbeats although this one sends it none: its view is stale. */
	replyIfDue(memberId: string): void;
	/** Handles the time for which another daemon has not heard this one, as its heartbeat reports it. */
	handleReportedSilence(memberId: string, silenceMs: number | undefined): void;
};

export type HeartbeatSenderOptions = Pick<ClusterOptions, 'availabilityZone' | 'isKeeper' | 'cpuMillicores' | 'peers' | 'timers' | 'resetLink' | 'onContacts'> & {
	members: MemberTable;
	incarnation: string;
	getContent: () => HeartbeatContent;
	isPlacing: () => boolean;
	/** Whether each availability zone has a placer of its own. */
	isDivided: () => boolean;
};

/**
 * Creates the sender.
 * @param options - The links, the member table and the content of the heartbeats.
 */
export function createHeartbeatSender(options: HeartbeatSenderOptions): HeartbeatSender {
	const {availabilityZone, isKeeper, cpuMillicores, peers, timers, members, incarnation, getContent, isPlacing, isDivided} = options;
	const startedAtMs = timers.getNowMs();
	const linkResetAtMs = new Map<string, number>();
	let memberListSentAtMs = Number.NEGATIVE_INFINITY;
	let sentAtMs = Number.NEGATIVE_INFINITY;
	let sentToRemoteZonesAtMs = Number.NEGATIVE_INFINITY;
	const repliedAtMs = new Map<string, number>();

	function getAliveIds(): string[] {
		return members.getAliveMembers().map(member => member.id);
	}

	function getHeartbeat(silenceMs: number | undefined, memberIds: string[] | undefined): ClusterMessageOf<'cluster.heartbeat'> {
		const {view, ...content} = getContent();
		return {
			kind: 'cluster.heartbeat',
			availabilityZone,
			isKeeper,
			cpuMillicores,
			incarnation,
			upMs: Math.round(timers.getNowMs() - startedAtMs),
			usesRecords: true,
			...view,
			...content,
			silenceMs: silenceMs !== undefined && Number.isFinite(silenceMs) ? Math.round(silenceMs) : undefined,
			memberIds,
		};
	}

	function takeMemberListIfDue(includesRemoteZones: boolean): string[] | undefined {
		const nowMs = timers.getNowMs();
		if (!includesRemoteZones || nowMs - memberListSentAtMs < memberListIntervalMs) {
			return undefined;
		}

		memberListSentAtMs = nowMs;
		return getAliveIds();
	}

	function isLocalKeeper(member: ClusterMember): boolean {
		return member.isKeeper && member.availabilityZone === availabilityZone;
	}

	/** Gets the receivers of a heartbeat. They include daemons that were never heard, so that these discover this one. */
	function getReceiverIds(contactIds: readonly string[], includesRemoteZones: boolean): string[] {
		const own = {availabilityZone, isKeeper, isPlacing: isPlacing()};
		const scope = {isDivided: isDivided(), hearsLocalKeeper: isKeeper || members.getAliveMembers().some(member => isLocalKeeper(member))};
		return contactIds.filter(id => {
			const member = members.findMember(id);
			if (member === undefined) {
				return true;
			}

			const isLocal = !scope.isDivided || member.availabilityZone === availabilityZone;
			return (isLocal || includesRemoteZones) && needsHeartbeats(own, getHeartbeatPeer(member), scope);
		});
	}

	function sendAll(): void {
		send(true);
	}

	function send(includesRemoteZones: boolean): void {
		sentAtMs = timers.getNowMs();
		sentToRemoteZonesAtMs = includesRemoteZones ? sentAtMs : sentToRemoteZonesAtMs;
		const contactIds = members.getContactIds();
		options.onContacts(contactIds, members.getAliveMembers().filter(member => member.isKeeper).map(member => member.id));
		const receiverIds = getReceiverIds(contactIds, includesRemoteZones);
		const memberIds = takeMemberListIfDue(includesRemoteZones);
		const isSilent = (id: string) => members.getSilenceMs(id) > heartbeatMs * 2;
		peers.sendToAll(receiverIds.filter(id => !isSilent(id)), getHeartbeat(undefined, memberIds));
		for (const silentId of receiverIds.filter(id => isSilent(id))) {
			resetSilentLink(silentId);
			peers.send(silentId, getHeartbeat(members.getSilenceMs(silentId), memberIds));
		}
	}

	/** Resets the link to a silent daemon, since the messages queued in it would arrive late and stale. */
	function resetSilentLink(memberId: string): void {
		const lastHeartbeatAtMs = timers.getNowMs() - members.getSilenceMs(memberId);
		resetLinkIfSilentSince(memberId, lastHeartbeatAtMs);
	}

	function resetLinkIfSilentSince(memberId: string, silentSinceMs: number): void {
		const nowMs = timers.getNowMs();
		const sinceMs = Math.max(silentSinceMs, linkResetAtMs.get(memberId) ?? startedAtMs);
		if (nowMs - sinceMs > linkTimeoutMs) {
			linkResetAtMs.set(memberId, nowMs);
			options.resetLink(memberId);
		}
	}

	return {
		sendAll,
		sendIfDue() {
			const nowMs = timers.getNowMs();
			if (nowMs - sentAtMs >= (isPlacing() ? placerHeartbeatMs : heartbeatMs)) {
				send(nowMs - sentToRemoteZonesAtMs >= heartbeatMs);
			}
		},
		replyToNewMember(memberId) {
			// Makes the next heartbeat include the list of members, so that the other daemons learn of the new one.
			memberListSentAtMs = Number.NEGATIVE_INFINITY;
			peers.send(memberId, getHeartbeat(undefined, getAliveIds()));
		},
		replyIfDue(memberId) {
			const nowMs = timers.getNowMs();
			const isReceiver = getReceiverIds([memberId], true).length > 0;
			if (!isReceiver && nowMs - (repliedAtMs.get(memberId) ?? Number.NEGATIVE_INFINITY) >= replyIntervalMs) {
				repliedAtMs.set(memberId, nowMs);
				peers.send(memberId, getHeartbeat(undefined, undefined));
			}
		},
		handleReportedSilence(memberId, silenceMs) {
			if (silenceMs !== undefined && silenceMs > linkTimeoutMs) {
				// Heartbeats of that daemon arrive here, but those of this daemon do not arrive there: the outgoing direction fails.
				resetLinkIfSilentSince(memberId, Number.NEGATIVE_INFINITY);
			}
		},
	};
}

function getHeartbeatPeer({id, availabilityZone, isKeeper, placerId}: ClusterMember): HeartbeatPeer {
	return {availabilityZone, isKeeper, isPlacing: placerId === id};
}
