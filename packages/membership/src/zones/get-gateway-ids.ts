import {hashText} from '@camphortack/core';
import {gatewaysPerZone} from '../membership-timings.js';

/**
 * Gets the daemons of an availability zone that link it to another one, by rendezvous hashing over the pair. Each pair has
 * others, so that the work is spread, and when one dies only its links move.
 * @param liveIds - The live daemons of the availability zone.
 * @param otherZone - The availability zone to link to.
 */
export function getGatewayIds(liveIds: readonly string[], otherZone: string): string[] {
	const scored = liveIds.map(id => ({id, score: hashText(`${otherZone} ${id}`)}));
	return scored.toSorted((left, right) => right.score - left.score).slice(0, gatewaysPerZone).map(({id}) => id);
}
