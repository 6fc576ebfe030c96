const maxWatched = 8;

/**
 * Gets the daemons that this one watches: the one before it in the ring of names, and, while that one does not answer,
 * the one before that, and so on, so that neighbours that die together are found together.
 * @param liveIds - The live daemons of the availability zone, in the order of their names.
 * @param ownId - This daemon.
 * @param isUnresponsive - Whether a daemon does not answer pings at present.
 */
export function getWatchedIds(liveIds: readonly string[], ownId: string, isUnresponsive: (id: string) => boolean): string[] {
	const ownIndex = liveIds.indexOf(ownId);
	const watchedIds: string[] = [];
	for (let distance = 1; distance < liveIds.length && distance <= maxWatched; distance++) {
		const id = liveIds[(ownIndex - distance + liveIds.length) % liveIds.length]!;
		watchedIds.push(id);
		if (!isUnresponsive(id)) {
			break;
		}
	}

	return watchedIds;
}
