import type {Container} from 'inversify';
import {tokens} from '../composition/tokens.js';

/**
 * Gets the availability zones of all daemons and backend servers that this daemon knows, also of those that are down.
 * @param container - The container of the daemon.
 */
export function getKnownZones(container: Container): string[] {
	const {members} = container.get(tokens.membership).getStatus();
	const {backendServers} = container.get(tokens.dispatcher).getStatus();
	const {seeds} = container.get(tokens.settings).peers;
	return [container.get(tokens.identity), ...members, ...backendServers, ...seeds].map(({availabilityZone}) => availabilityZone);
}
