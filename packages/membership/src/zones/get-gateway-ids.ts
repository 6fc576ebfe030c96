import {hashText} from '@camphortack/core';
import {gatewaysPerZone} from '../membership-timings.js';

/**
 * Gets the gateways of an availability zone to another one, by rendezvous hashing over the zone and the daemon. The
 * gateways differ between zone pairs, which distributes the load, and the death of a gateway moves only its own links.
 * @param liveIds - The live daemons of the availability zone.
 * @param otherZone - The availability zone to link to.
 */
export function getGatewayIds(liveIds: readonly string[], otherZone: string): string[] {
	const scored = liveIds.map(id => ({id, score: hashText(`${otherZone} ${id}`)}));
	return scored.toSorted((left, right) => right.score - left.score).slice(0, gatewaysPerZone).map(({id}) => id);
}
