import type {Member} from '@camphortack/core';
import {getHash} from '../utils/get-hash.js';

/** From whom a daemon takes the configuration. */
export type Sources = {
	/** Where to subscribe, the nearest in the tree first. */
	regular: readonly string[];
	/** The keepers that a daemon without a configuration asks. */
	starting: readonly string[];
};

/**
 * Gets the sources of a daemon. The daemons of an availability zone form a tree: its keepers at the root, then the
 * others in the order of rendezvous hashes. A zone without a keeper has one daemon at the root that asks keepers elsewhere.
 * @param ownId - The daemon.
 * @param availabilityZone - Its availability zone.
 * @param members - The live daemons.
 * @param fanOut - How many daemons each daemon sends to.
 */
export function getSources(ownId: string, availabilityZone: string, members: readonly Member[], fanOut: number): Sources {
	const inZone = members.filter(member => member.availabilityZone === availabilityZone);
	const zoneKeepers = sortByHash(inZone.filter(member => isKeeper(member)), availabilityZone);
	const otherIds = inZone.filter(member => !isKeeper(member) && member.id !== ownId);
	const others = sortByHash([...otherIds, {id: ownId}], availabilityZone);
	const distantKeepers = zoneKeepers.length > 0 ? [] : sortByHash(members.filter(member => isKeeper(member)), availabilityZone);
	const ancestors = getAncestors([...zoneKeepers, ...others], ownId, Math.max(1, zoneKeepers.length), fanOut);
	return {
		regular: [...ancestors, ...distantKeepers],
		starting: zoneKeepers.length > 0 ? zoneKeepers : distantKeepers,
	};
}

function isKeeper(member: Member): boolean {
	return member.roles.includes('keeper');
}

function sortByHash(members: ReadonlyArray<{id: string}>, availabilityZone: string): string[] {
	const weighted = members.map(({id}) => ({id, weight: getHash(`${availabilityZone} ${id}`)}));
	return weighted.toSorted((left, right) => left.weight - right.weight).map(({id}) => id);
}

/** Walks up the tree whose first places are roots and whose other places hang below them in order. */
function getAncestors(order: readonly string[], ownId: string, rootCount: number, fanOut: number): string[] {
	const ancestors: string[] = [];
	let position = order.indexOf(ownId);
	while (position >= rootCount) {
		position = Math.floor((position - rootCount) / fanOut);
		ancestors.push(order[position]!);
	}

	return ancestors;
}
