import type {BackendServerDescription} from '@camphortack/placement';
import {joinSettlingMs, reportIntervalMs, reportTimeoutMs} from '../cluster-timings.js';
import type {ClusterOptions} from '../cluster-options.js';
import type {ClusterMember, MemberTable} from '../members/member-table.js';
import type {ClusterMessageOf} from '../messages/cluster-messages.js';
import type {ServerRegistry} from './server-registry.js';

/** Replicates the registry: broadcasts the reports of backend servers to the daemons that need them. */
export type RegistryReplicator = {
	/** Handles a heartbeat of a backend server; calls back with whether the daemons that must know of it do. */
	report(description: BackendServerDescription, onEnd: (isAcknowledged: boolean) => void): void;
	/** Handles a report forwarded by another daemon. */
	handleReport(fromId: string, message: ClusterMessageOf<'cluster.server-report'>): void;
	handleAcknowledgement(reportId: string): void;
	/** Sends a daemon that was silent the reports of this daemon that it missed because it did not count as alive. */
	sendMissedReports(member: ClusterMember, silentSinceMs: number): void;
	/** Adds the descriptions of another daemon's registry. */
	addDescriptions(fromId: string, descriptions: readonly BackendServerDescription[]): void;
	/**
	 * Removes a backend server that has left, and broadcasts that. A deregistration names no incarnation and may
	 * arrive late, after another one has started under the same id, so it counts only for a backend server that drains.
	 */
	removeServer(serverId: string): void;
	handleServerLeft(serverId: string, bornMs: number): void;
	/** Replaces a description that the backend server has refuted by that of the incarnation in use, and broadcasts that. */
	replaceRefuted(known: BackendServerDescription, refuted: BackendServerDescription): void;
};

export type RegistryReplicatorOptions = Pick<ClusterOptions, 'ownId' | 'availabilityZone' | 'isKeeper' | 'peers' | 'timers' | 'random' | 'events' | 'metrics' | 'maxBackendServers'> & {
	registry: ServerRegistry;
	members: MemberTable;
	/** Gets the id of the placer for the backend servers of an availability zone. */
	getPlacerId: (availabilityZone: string) => string;
	/** Whether a daemon needs the descriptions of the backend servers of an availability zone. */
	needsServersOf: (member: ClusterMember, availabilityZone: string) => boolean;
	/** Whether each availability zone has a placer of its own. */
	isDivided: () => boolean;
	/** Called after the registry has changed. */
	onChange: () => void;
};

/**
 * Creates the replicator.
 * @param options - The registry, the member table and the links.
 */
export function createRegistryReplicator(options: RegistryReplicatorOptions): RegistryReplicator {
	const {ownId, availabilityZone: ownZone, peers, timers, random, events, maxBackendServers = Number.POSITIVE_INFINITY, registry, members, getPlacerId, needsServersOf, onChange} = options;
	const reportedAtMs = new Map<string, number>();
	const sentToNewMembersAtMs = new Map<string, number>();
	const pendingReports = new Map<string, (isAcknowledged: boolean) => void>();

	function addDescription(description: BackendServerDescription): 'new' | 'changed' | 'same' | 'stale' {
		const change = registry.addDescription(description);
		if (change === 'new') {
			events.write('backend-server-announced', {
				server: description.id, born: description.bornMs, availabilityZone: description.availabilityZone, state: description.state,
			});
		} else if (change === 'changed') {
			events.write('backend-server-changed', {server: description.id, state: description.state, sequence: description.sequence});
		}

		if (change === 'new' || change === 'changed') {
			onChange();
		}

		return change;
	}

	function getReceiverIds(availabilityZone: string): string[] {
		return members.getAliveMembers().filter(member => needsServersOf(member, availabilityZone)).map(member => member.id);
	}

	function broadcast({id}: BackendServerDescription, reportId?: string): void {
		const description = registry.findDescription(id)!;
		reportedAtMs.set(description.id, timers.getNowMs());
		const placerId = getPlacerId(description.availabilityZone);
		const otherIds = getReceiverIds(description.availabilityZone).filter(id => reportId === undefined || id !== placerId);
		peers.sendToAll(otherIds, {kind: 'cluster.server-report', description});
		if (reportId !== undefined) {
			peers.send(placerId, {kind: 'cluster.server-report', description, reportId});
		}
	}

	/**
	 * Sends a description again to daemons that had only just joined when it was last sent, or joined since: links may not
	 * have been open yet, so that they may have missed it, or the answer to their request for the registry. After a restart of
	 * all daemons, a placer would otherwise know only some of its backend servers until the next regular report.
	 */
	function sendToNewMembers(description: BackendServerDescription): void {
		const {id, availabilityZone} = description;
		const lastSentAtMs = Math.max(reportedAtMs.get(id) ?? Number.NEGATIVE_INFINITY, sentToNewMembersAtMs.get(id) ?? Number.NEGATIVE_INFINITY);
		const receivers = members.getAliveMembers().filter(member => member.joinedAtMs + joinSettlingMs > lastSentAtMs && needsServersOf(member, availabilityZone));
		if (receivers.length > 0) {
			sentToNewMembersAtMs.set(id, timers.getNowMs());
			peers.sendToAll(receivers.map(receiver => receiver.id), {kind: 'cluster.server-report', description});
		}
	}

	/** Broadcasts a description and waits until the placer acknowledges it. */
	function broadcastAndWait(description: BackendServerDescription, onEnd: (isAcknowledged: boolean) => void): void {
		const placerId = getPlacerId(description.availabilityZone);
		if (placerId === ownId || placerId === '') {
			broadcast(description);
			onEnd(true);
			return;
		}

		const reportId = random.getIdentifier();
		const timer = timers.addTimer(reportTimeoutMs, () => {
			end(false);
		});
		const end = (isAcknowledged: boolean) => {
			timer.cancel();
			if (pendingReports.delete(reportId)) {
				onEnd(isAcknowledged);
			}
		};

		pendingReports.set(reportId, end);
		broadcast(description, reportId);
	}

	/**
	 * Passes a report of a backend server of the own zone on to the entry daemons of the zone. A keeper of another zone hears
	 * them only while it is a placer, and cannot send it to them itself otherwise.
	 */
	function forwardWithinZone(fromId: string, description: BackendServerDescription): void {
		const sender = members.findMember(fromId);
		const reachesEntries = sender === undefined || sender.availabilityZone === ownZone || sender.placerId === fromId;
		if (!options.isKeeper || !options.isDivided() || description.availabilityZone !== ownZone || reachesEntries) {
			return;
		}

		const entries = members.getAliveMembers().filter(member => !member.isKeeper && member.availabilityZone === ownZone);
		peers.sendToAll(entries.map(({id}) => id), {kind: 'cluster.server-report', description});
	}

	/**
	 * Lets the daemons that may become the next placer, and those that submit jobs, learn of a backend server before this placer starts
	 * tasks there. The daemon that sent the description may not hear them. One of them that it did reach gets it twice.
	 */
	function passOnIfPlacing(fromId: string, description: BackendServerDescription): void {
		const {availabilityZone} = description;
		if (getPlacerId(availabilityZone) !== ownId) {
			return;
		}

		const receivers = members.getAliveMembers().filter(member => member.id !== fromId && (!options.isDivided() || member.availabilityZone === availabilityZone));
		peers.sendToAll(receivers.map(({id}) => id), {kind: 'cluster.server-report', description});
	}

	function handleServerLeft(serverId: string, bornMs: number): void {
		registry.removeServer(serverId, bornMs);
		reportedAtMs.delete(serverId);
		sentToNewMembersAtMs.delete(serverId);
		events.write('backend-server-left', {server: serverId, born: bornMs});
		onChange();
	}

	return {
		report(description, onEnd) {
			if (registry.getCount() >= maxBackendServers && registry.findDescription(description.id) === undefined) {
				options.metrics.increment('limit-backend-servers');
				onEnd(false);
				return;
			}

			const change = addDescription(description);
			if (change !== 'stale' && description.state === 'draining') {
				broadcastAndWait(description, onEnd);
				return;
			}

			// Where capacities change, a message about a smaller one may have been lost: every heartbeat is passed on.
			const isDue = registry.isCapacityVariable(description.service)
				|| timers.getNowMs() - (reportedAtMs.get(description.id) ?? Number.NEGATIVE_INFINITY) >= reportIntervalMs;
			if (change === 'new' || change === 'changed' || (change === 'same' && isDue)) {
				broadcast(description);
			} else if (change === 'same') {
				sendToNewMembers(description);
			}

			onEnd(true);
		},
		handleReport(fromId, {description, reportId}) {
			const change = addDescription(description);
			if (change === 'new') {
				passOnIfPlacing(fromId, description);
			}

			if (change !== 'stale') {
				forwardWithinZone(fromId, description);
			}

			if (reportId !== undefined) {
				peers.send(fromId, {kind: 'cluster.server-report-noted', reportId});
			}
		},
		sendMissedReports(member, silentSinceMs) {
			for (const [serverId, atMs] of reportedAtMs) {
				const description = atMs >= silentSinceMs ? registry.findDescription(serverId) : undefined;
				if (description !== undefined && needsServersOf(member, description.availabilityZone)) {
					peers.send(member.id, {kind: 'cluster.server-report', description});
				}
			}
		},
		handleAcknowledgement(reportId) {
			pendingReports.get(reportId)?.(true);
		},
		addDescriptions(fromId, descriptions) {
			for (const description of descriptions) {
				if (addDescription(description) === 'new') {
					passOnIfPlacing(fromId, description);
				}
			}
		},
		removeServer(serverId) {
			const description = registry.findDescription(serverId);
			if (description === undefined) {
				return;
			}

			if (description.state === 'ready') {
				events.write('backend-deregistration-ignored', {server: serverId, born: description.bornMs});
				return;
			}

			handleServerLeft(serverId, description.bornMs);
			peers.sendToAll(getReceiverIds(description.availabilityZone), {kind: 'cluster.server-left', serverId, bornMs: description.bornMs});
		},
		handleServerLeft,
		replaceRefuted(known, {id, bornMs}) {
			registry.removeServer(id, bornMs);
			events.write('backend-server-refuted', {server: id, born: bornMs, inUse: known.bornMs});
			peers.sendToAll(getReceiverIds(known.availabilityZone), {kind: 'cluster.server-left', serverId: id, bornMs});
			if (addDescription(known) !== 'stale') {
				broadcast(known);
			}
		},
	};
}
