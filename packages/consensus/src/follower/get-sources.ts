import type {Member} from '@camphortack/core';
import {getHash} from '../utils/get-hash.js';

/** The daemons that a daemon receives the configuration from. */
export type Sources = {
	/** The daemons to subscribe to, nearest ancestor in the tree first. */
	regular: readonly string[];
	/** The keepers that a daemon without a configuration subscribes to. */
	starting: readonly string[];
};

/**
 * Gets the sources of a daemon. The daemons of an availability zone form a tree: its keepers at the root, then the
 * others ordered by rendezvous hash. In a zone without a keeper, the root is one daemon that subscribes to keepers in other zones.
 * @param ownId - The id of the daemon.
 * @param availabilityZone - The availability zone of the daemon.
 * @param members - The live daemons.
 * @param fanOut - The number of children of each daemon in the tree.
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

/** Walks up the tree. The first positions of the order are roots; the others are assigned to parents in order, `fanOut` to each. */
function getAncestors(order: readonly string[], ownId: string, rootCount: number, fanOut: number): string[] {
	const ancestors: string[] = [];
	let position = order.indexOf(ownId);
	while (position >= rootCount) {
		position = Math.floor((position - rootCount) / fanOut);
		ancestors.push(order[position]!);
	}

	return ancestors;
}
