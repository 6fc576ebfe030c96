import type {EntryList, PlacementMessageOf} from '@camphortack/placement';

/** The newest list of open jobs of each entry daemon. */
export type EntryLists = {
	/** Adds a list. Returns it unless it is older than another one of the same process, or does not name all open jobs. */
	addList(entryId: string, message: PlacementMessageOf<'placement.open-jobs'>): EntryList | undefined;
	/** Whether a submission arrives after a newer list that does not name its job: the entry daemon no longer waits for it. */
	isOutdated(entryId: string, message: PlacementMessageOf<'placement.submit'>): boolean;
	/** Forgets the list of an entry daemon that has timed out. */
	removeEntry(entryId: string): void;
};

/**
 * Creates empty lists. Messages may be lost, doubled and overtake each other, so that a list says nothing about later submissions.
 *
 * @example
 * ```ts
 * const lists = createEntryLists();
 * lists.addList('entry-1', {kind: 'placement.open-jobs', jobIds: ['job'], incarnation: 'one', sequence: 7});
 * lists.isOutdated('entry-1', submissionOfAnotherJobWithSequence6); // true
 * ```
 */
export function createEntryLists(): EntryLists {
	const lists = new Map<string, EntryList>();

	return {
		addList(entryId, {incarnation, sequence, jobIds, otherJobIds = []}) {
			if (incarnation === undefined || sequence === undefined) {
				return undefined;
			}

			const known = lists.get(entryId);
			if (known?.incarnation === incarnation && known.sequence >= sequence) {
				return undefined;
			}

			const list = {
				entryId, incarnation, sequence, jobIds: new Set([...jobIds, ...otherJobIds]),
			};
			lists.set(entryId, list);
			return list;
		},
		isOutdated(entryId, {incarnation, sequence, request}) {
			const list = lists.get(entryId);
			if (list === undefined || list.incarnation !== incarnation || sequence === undefined) {
				return false;
			}

			return sequence < list.sequence && !list.jobIds.has(request.jobId);
		},
		removeEntry(entryId) {
			lists.delete(entryId);
		},
	};
}
