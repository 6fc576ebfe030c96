const maxWatched = 8;

/**
 * Gets the daemons that this one watches: its predecessor in the ring of ids and, while that one is unresponsive, the
 * predecessor of that one, and so on. Adjacent daemons that die together are thus detected at the same time.
 * @param liveIds - The live daemons of the availability zone, sorted by id.
 * @param ownId - The id of this daemon.
 * @param isUnresponsive - Whether a daemon currently leaves pings unanswered.
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
