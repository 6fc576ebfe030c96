import {
	heartbeatMs, linkSilenceMs, memberListIntervalMs, placerHeartbeatMs,
} from '../cluster-timings.js';
import type {ClusterOptions} from '../cluster-options.js';
import type {PlacerView} from '../election/placer-view.js';
import type {ClusterMessageOf} from '../messages/cluster-messages.js';
import type {MemberBook} from './member-book.js';

/** What a heartbeat says besides who sends it. */
export type HeartbeatContent = {
	shard: string;
	loadMs: number | undefined;
	view: PlacerView;
	hearsPlacer: boolean;
	isLeaving: boolean;
	configurationNumber: number;
};

/** Sends the signs of life of this daemon, and takes care of links that fail silently. */
export type Heartbeats = {
	/** Sends to every contact now. */
	sendAll(): void;
	/** Sends if it is time to. */
	sendIfDue(): void;
	/** Answers a daemon that is new. */
	greet(memberId: string): void;
	/** Looks at what a heartbeat says of the way back. */
	noteSilence(memberId: string, silenceMs: number | undefined): void;
};

export type HeartbeatsOptions = Pick<ClusterOptions, 'availabilityZone' | 'isKeeper' | 'peers' | 'timers' | 'resetLink' | 'onContacts'> & {
	members: MemberBook;
	incarnation: string;
	getContent: () => HeartbeatContent;
	isPlacing: () => boolean;
};

/**
 * Creates the sender.
 * @param options - The links and what there is to say.
 */
export function createHeartbeats(options: HeartbeatsOptions): Heartbeats {
	const {availabilityZone, isKeeper, peers, timers, members, incarnation, getContent, isPlacing} = options;
	const startedAtMs = timers.getNowMs();
	const linkResetAtMs = new Map<string, number>();
	let listSentAtMs = Number.NEGATIVE_INFINITY;
	let sentAtMs = Number.NEGATIVE_INFINITY;

	function getAliveIds(): string[] {
		return members.getAliveMembers().map(member => member.id);
	}

	function getHeartbeat(silenceMs: number | undefined, memberIds: string[] | undefined): ClusterMessageOf<'cluster.heartbeat'> {
		const {view, ...content} = getContent();
		return {
			kind: 'cluster.heartbeat',
			availabilityZone,
			isKeeper,
			incarnation,
			upMs: Math.round(timers.getNowMs() - startedAtMs),
			...view,
			...content,
			silenceMs: silenceMs !== undefined && Number.isFinite(silenceMs) ? Math.round(silenceMs) : undefined,
			memberIds,
		};
	}

	function takeListIfDue(): string[] | undefined {
		const nowMs = timers.getNowMs();
		if (nowMs - listSentAtMs < memberListIntervalMs) {
			return undefined;
		}

		listSentAtMs = nowMs;
		return getAliveIds();
	}

	function sendAll(): void {
		sentAtMs = timers.getNowMs();
		const contactIds = members.getContactIds();
		options.onContacts(contactIds, members.getAliveMembers().filter(member => member.isKeeper).map(member => member.id));
		const memberIds = takeListIfDue();
		const isSilent = (id: string) => members.getSilenceMs(id) > heartbeatMs * 2;
		peers.sendToAll(contactIds.filter(id => !isSilent(id)), getHeartbeat(undefined, memberIds));
		for (const silentId of contactIds.filter(id => isSilent(id))) {
			resetSilentLink(silentId);
			peers.send(silentId, getHeartbeat(members.getSilenceMs(silentId), memberIds));
		}
	}

	/** What waits in a link to a daemon that does not answer would arrive late and out of date. */
	function resetSilentLink(memberId: string): void {
		const heardAtMs = timers.getNowMs() - members.getSilenceMs(memberId);
		resetLinkSince(memberId, heardAtMs);
	}

	function resetLinkSince(memberId: string, quietSinceMs: number): void {
		const nowMs = timers.getNowMs();
		const sinceMs = Math.max(quietSinceMs, linkResetAtMs.get(memberId) ?? startedAtMs);
		if (nowMs - sinceMs > linkSilenceMs) {
			linkResetAtMs.set(memberId, nowMs);
			options.resetLink(memberId);
		}
	}

	return {
		sendAll,
		sendIfDue() {
			if (timers.getNowMs() - sentAtMs >= (isPlacing() ? placerHeartbeatMs : heartbeatMs)) {
				sendAll();
			}
		},
		greet(memberId) {
			// The others hear of the new daemon with the next heartbeat.
			listSentAtMs = Number.NEGATIVE_INFINITY;
			peers.send(memberId, getHeartbeat(undefined, getAliveIds()));
		},
		noteSilence(memberId, silenceMs) {
			if (silenceMs !== undefined && silenceMs > linkSilenceMs) {
				// That daemon is heard but does not hear this one: the way there is broken.
				resetLinkSince(memberId, Number.NEGATIVE_INFINITY);
			}
		},
	};
}
