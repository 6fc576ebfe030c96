import {memberTimeoutMs, registryRefreshIntervalMs, reportIntervalMs} from '../cluster-timings.js';
import type {ClusterOptions} from '../cluster-options.js';
import type {ClusterMember, MemberTable} from '../members/member-table.js';
import type {ClusterMessage, ClusterMessageOf} from '../messages/cluster-messages.js';
import type {RegistryReplicator} from './registry-replicator.js';
import type {ServerRegistry} from './server-registry.js';

/** Exchanges registries of backend servers with daemons that are new or were silent. */
export type RegistryExchange = {
	/** Requests the registry of a new daemon if it has one that this daemon lacks. */
	requestRegistry(fromId: string, heartbeat: ClusterMessageOf<'cluster.heartbeat'>): void;
	/** Requests the registry of a placer that has differed from the own one for a while: a report may not have reached this daemon. */
	refreshRegistry(fromId: string, heartbeat: ClusterMessageOf<'cluster.heartbeat'>): void;
	/** Sends a daemon the descriptions of the backend servers that it needs, or all of them if the daemon is not known yet. */
	answerRequest(fromId: string): void;
	/** Sends a daemon that was silent the reports that it missed. */
	sendMissedReports(memberId: string, silenceMs: number): void;
};

export type RegistryExchangeOptions = Pick<ClusterOptions, 'availabilityZone' | 'isKeeper' | 'timers'> & {
	registry: ServerRegistry;
	members: MemberTable;
	replicator: RegistryReplicator;
	/** Whether each availability zone has a placer of its own. */
	isDivided: () => boolean;
	needsServersOf: (member: ClusterMember, availabilityZone: string) => boolean;
	getDigest: () => string;
	/** Whether another daemon receives the reports of all backend servers that a placer on this daemon may use. */
	isInShard: (memberId: string) => boolean;
	send: (toId: string, message: ClusterMessage) => void;
};

/**
 * Creates the exchange.
 * @param options - The registry, the members and the function that sends a message to a daemon.
 */
export function createRegistryExchange(options: RegistryExchangeOptions): RegistryExchange {
	const {timers, registry, members, replicator, isDivided, needsServersOf, getDigest, isInShard, send} = options;
	/** When the registry of a placer was last the same as the own one, or was requested. */
	const comparedAtMs = new Map<string, number>();

	return {
		// Any daemon may become the placer and then needs the registry. Keepers have all of it, so other daemons are asked only
		// if no keeper is heard, or only keepers that have restarted since and have not received the repeated reports yet.
		requestRegistry(fromId, {isKeeper, availabilityZone, upMs}) {
			const isRemote = isDivided() && availabilityZone !== options.availabilityZone;
			const keepers = members.getAliveMembers().filter(member => member.isKeeper);
			const areKeepersNew = !isRemote && keepers.every(keeper => keeper.upMs < Math.min(upMs, reportIntervalMs));
			if (isKeeper ? options.isKeeper || !isRemote : keepers.length === 0 || areKeepersNew) {
				send(fromId, {kind: 'cluster.registry-request'});
			}
		},
		refreshRegistry(fromId, {registryDigest, placerId}) {
			if (registryDigest === undefined || placerId !== fromId || !isInShard(fromId)) {
				return;
			}

			const nowMs = timers.getNowMs();
			const isDue = nowMs - (comparedAtMs.get(fromId) ?? Number.NEGATIVE_INFINITY) >= registryRefreshIntervalMs;
			if (registryDigest === getDigest() || isDue) {
				comparedAtMs.set(fromId, nowMs);
			}

			if (registryDigest !== getDigest() && isDue) {
				send(fromId, {kind: 'cluster.registry-request'});
			}
		},
		answerRequest(fromId) {
			const member = members.findMember(fromId);
			const descriptions = registry.getDescriptions().filter(({availabilityZone}) => member === undefined || needsServersOf(member, availabilityZone));
			send(fromId, {kind: 'cluster.registry', descriptions, digest: getDigest()});
		},
		sendMissedReports(memberId, silenceMs) {
			if (silenceMs >= memberTimeoutMs) {
				replicator.sendMissedReports(members.findMember(memberId)!, timers.getNowMs() - silenceMs);
			}
		},
	};
}
