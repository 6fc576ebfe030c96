/** The submissions of an open job whose callers wait for its result. */
export type WaitingSubmissions = {
	/** Adds a submission as the latest one, also if it was added before. */
	add(submissionId: string, entryId: string): void;
	remove(submissionId: string): void;
	/** Removes the submissions of an entry daemon. */
	removeEntry(entryId: string): void;
	/** Finds the entry daemon of the latest submission; undefined if nobody waits. */
	findLastEntryId(): string | undefined;
};

/**
 * Creates the submissions of a job that nobody waits for.
 *
 * @example
 * ```ts
 * const waiting = createWaitingSubmissions();
 * waiting.add('first', 'entry-1');
 * waiting.add('second', 'entry-2');
 * waiting.remove('second');
 * waiting.findLastEntryId(); // 'entry-1'
 * ```
 */
export function createWaitingSubmissions(): WaitingSubmissions {
	/** The entry daemons by submission, the latest last. */
	const entryIds = new Map<string, string>();

	return {
		add(submissionId, entryId) {
			entryIds.delete(submissionId);
			entryIds.set(submissionId, entryId);
		},
		remove(submissionId) {
			entryIds.delete(submissionId);
		},
		removeEntry(entryId) {
			for (const [submissionId, otherId] of entryIds) {
				if (otherId === entryId) {
					entryIds.delete(submissionId);
				}
			}
		},
		findLastEntryId: () => [...entryIds.values()].at(-1),
	};
}
