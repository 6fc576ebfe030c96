import process from 'node:process';
import type {MembershipStatus} from '@camphortack/membership';
import type {Container} from 'inversify';
import {tokens} from '../composition/tokens.js';
import {getLimitStatuses} from './get-limit-statuses.js';

/**
 * Gets the status that `camphortack status` prints.
 * @param container - The container of the daemon.
 * @param isDraining - Whether a graceful shutdown has begun.
 */
export function getDaemonStatus(container: Container, isDraining: boolean): Record<string, unknown> {
	const {id, incarnation, availabilityZone} = container.get(tokens.identity);
	const {roles} = container.get(tokens.settings).daemon;
	const follower = container.get(tokens.follower).getStatus();
	const {version, isStale, sourceId, keeperAgeMs} = follower;
	return {
		daemon: {
			id, incarnation, availabilityZone, roles, isDraining, isReady: !isDraining && version > 0,
		},
		configuration: {
			version, isStale, sourceId, keeperAgeMs,
		},
		evacuations: container.get(tokens.follower).getEvacuations(),
		keepers: getKeeperStatus(container),
		...getMembershipStatus(container),
		dispatcher: container.get(tokens.dispatcher).getStatus(),
		limits: getLimitStatuses(container.get(tokens.limits)),
		resources: getResourceUsage(),
		counters: container.get(tokens.metrics).getValues(),
	};
}

/** Gets the members and availability zones, without the daemons that left the cluster in an orderly way. */
function getMembershipStatus(container: Container): Pick<MembershipStatus, 'members' | 'zones'> {
	const {members, zones} = container.get(tokens.membership).getStatus();
	return {members: members.filter(member => member.state !== 'left'), zones};
}

function getResourceUsage(): {processorTimeMs: number; memoryBytes: number} {
	const {user, system} = process.cpuUsage();
	const microsecondsPerMillisecond = 1000;
	return {
		processorTimeMs: (user + system) / microsecondsPerMillisecond,
		memoryBytes: process.memoryUsage.rss(),
	};
}

function getKeeperStatus(container: Container): Record<string, unknown> {
	const status = container.get(tokens.keeper)?.getStatus();
	const {isStale} = container.get(tokens.follower).getStatus();
	return {
		leaderId: status?.leaderId,
		term: status?.term,
		isLeader: status?.role === 'leader',
		isReachable: !isStale,
		role: status?.role,
		ids: status?.keepers.map(keeper => keeper.keeperId),
	};
}
