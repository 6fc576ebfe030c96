import type {StatusResponse} from '../api/api-schemas.js';
import {formatLimits} from './format-limits.js';
import {formatTable} from './format-table.js';

const maxBackendServerRows = 40;

/**
 * Formats the status of a daemon as an overview that fits on one screen.
 * @param status - The status, as reported by the daemon.
 */
export function formatStatus(status: StatusResponse): string {
	return [
		formatDaemon(status),
		formatProblems(status),
		formatZones(status),
		formatBackendServers(status),
		formatLimits(status.limits),
	].join('\n\n');
}

function formatDaemon({daemon, configuration, evacuations, keepers, dispatcher}: StatusResponse): string {
	const state = [daemon.isReady ? 'ready' : 'not ready', ...(daemon.isDraining ? ['draining'] : [])].join(', ');
	return [
		`daemon         ${daemon.id} in ${daemon.availabilityZone} (${daemon.roles.join(', ')}): ${state}`,
		`configuration  ${configuration.version === undefined ? 'none in force' : `version ${configuration.version} in force`}${configuration.isStale ? ', stale' : ''}`,
		`keepers        ${formatKeepers(keepers)}`,
		...(evacuations === undefined || evacuations.revision === 0 ? [] : [`evacuated      ${formatEvacuations(evacuations)}`]),
		`work           ${dispatcher.openJobs} open jobs, ${dispatcher.runningTasks} tasks running, ${dispatcher.queuedTasks} queued (${dispatcher.queuedBytes} bytes)`,
	].join('\n');
}

/** The revision shows whether a daemon knows the newest order. Without any order, there is nothing to show. */
function formatEvacuations({availabilityZones, revision}: NonNullable<StatusResponse['evacuations']>): string {
	return `${availabilityZones.length === 0 ? 'no availability zone' : availabilityZones.join(', ')} (revision ${revision})`;
}

function formatKeepers(keepers: StatusResponse['keepers']): string {
	if (keepers === undefined) {
		return 'none: standalone daemon';
	}

	const leader = keepers.leaderId === undefined ? 'no leader known' : `leader ${keepers.leaderId}, term ${keepers.term ?? '?'}`;
	return `${leader}${keepers.isLeader ? ' (this daemon)' : ''}`;
}

/** Lists unreachable, stale, dead, ejected and leaving parts of the system. */
function formatProblems(status: StatusResponse): string {
	const problems = getProblems(status);
	return problems.length === 0 ? 'no problems' : ['problems:', ...problems.map(problem => `  ${problem}`)].join('\n');
}

function getProblems({configuration, keepers, members, dispatcher}: StatusResponse): string[] {
	const deadZones = getZones(members).filter(zone => members.every(member => member.availabilityZone !== zone || !member.isAlive));
	const deadMembers = members.filter(member => !member.isAlive && !deadZones.includes(member.availabilityZone));
	return [
		...(keepers?.isReachable ?? true ? [] : ['the keepers are unreachable: nothing can be published through this daemon']),
		...(configuration.isStale ? ['the configuration may be outdated; the current version stays in force'] : []),
		...deadZones.map(zone => `availability zone ${zone}: no daemon is alive`),
		...deadMembers.map(member => `daemon ${member.id} in ${member.availabilityZone} is not alive`),
		...dispatcher.backendServers.filter(server => server.isEjected).map(server => `backend server ${server.id} is ejected`),
		...dispatcher.backendServers.filter(server => server.isLeaving).map(server => `backend server ${server.id} is leaving`),
	];
}

function formatZones({members, dispatcher}: StatusResponse): string {
	const rows = getZones([...members, ...dispatcher.backendServers]).map(zone => {
		const zoneMembers = members.filter(member => member.availabilityZone === zone);
		const servers = dispatcher.backendServers.filter(server => server.availabilityZone === zone);
		const aliveCount = zoneMembers.filter(member => member.isAlive).length;
		return [zone, `${aliveCount} of ${zoneMembers.length}`, String(servers.length), String(getSlots(servers))];
	});
	return formatTable(['zone', 'daemons alive', 'backend servers', 'slots'], rows);
}

function formatBackendServers({dispatcher}: StatusResponse): string {
	const servers = dispatcher.backendServers;
	if (servers.length === 0) {
		return 'no backend server has announced itself';
	}

	const rows = servers.slice(0, maxBackendServerRows).map(server => [
		server.id,
		server.availabilityZone,
		String(server.slots),
		String(server.heldSlots),
		String(server.busySlots),
		server.managerId ?? '?',
		[...(server.isEjected ? ['ejected'] : []), ...(server.isLeaving ? ['leaving'] : [])].join(', '),
	]);
	const table = formatTable(['backend server', 'zone', 'slots', 'held here', 'busy here', 'slot manager', 'state'], rows);
	const rest = servers.length - maxBackendServerRows;
	return rest > 0 ? `${table}\n... and ${rest} more (--json lists all)` : table;
}

function getZones(entries: ReadonlyArray<{availabilityZone: string}>): string[] {
	return [...new Set(entries.map(entry => entry.availabilityZone))].toSorted();
}

function getSlots(servers: StatusResponse['dispatcher']['backendServers']): number {
	let slots = 0;
	for (const server of servers) {
		slots += server.slots;
	}

	return slots;
}
