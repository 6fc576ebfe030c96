import type {EntryProcess} from '../ports/server-recorder.js';
import type {EntryList} from './entry-list.js';

/** The submissions of an open job whose callers wait for its result. */
export type WaitingSubmissions = {
	/** Adds a submission as the latest one, also if it was added before, with the number of its last message if that has one. */
	add(submissionId: string, entry: EntryProcess, sequence?: number): void;
	remove(submissionId: string): void;
	/** Removes the submissions that a process sent before a list of its open jobs, which does not name the job. Returns whether there were any. */
	removeUnlisted(list: EntryList): boolean;
	/** Removes the submissions of an entry daemon; if an incarnation is given, those of its earlier processes. Returns whether there were any. */
	removeEntry(entryId: string, currentIncarnation?: string): boolean;
	/** Finds the entry daemon of the latest submission; undefined if nobody waits. */
	findLastEntryId(): string | undefined;
	/** Gets the processes that wait, each once for each of its submissions. */
	getEntries(): Iterable<EntryProcess>;
};

type WaitingEntry = EntryProcess & {
	/** The number of the last message of the submission. */
	sequence: number;
};

/**
 * Creates the submissions of a job that nobody waits for.
 *
 * @example
 * ```ts
 * const waiting = createWaitingSubmissions();
 * waiting.add('first', {entryId: 'entry-1', incarnation: 'one'});
 * waiting.add('second', {entryId: 'entry-2', incarnation: 'one'});
 * waiting.remove('second');
 * waiting.findLastEntryId(); // 'entry-1'
 * ```
 */
export function createWaitingSubmissions(): WaitingSubmissions {
	/** The entry daemons by submission, the latest last. */
	const entries = new Map<string, WaitingEntry>();

	function removeWhere(isRemoved: (entry: WaitingEntry) => boolean): boolean {
		const countBefore = entries.size;
		for (const [submissionId, entry] of entries) {
			if (isRemoved(entry)) {
				entries.delete(submissionId);
			}
		}

		return entries.size < countBefore;
	}

	return {
		add(submissionId, {entryId, incarnation}, sequence = Number.POSITIVE_INFINITY) {
			const known = entries.get(submissionId)?.sequence ?? sequence;
			entries.delete(submissionId);
			entries.set(submissionId, {entryId, incarnation, sequence: Math.max(known, sequence)});
		},
		remove(submissionId) {
			entries.delete(submissionId);
		},
		removeUnlisted(list) {
			return removeWhere(entry => entry.entryId === list.entryId && entry.incarnation === list.incarnation && entry.sequence < list.sequence);
		},
		removeEntry(entryId, currentIncarnation) {
			return removeWhere(entry => {
				const isEarlier = currentIncarnation === undefined || (entry.incarnation !== undefined && entry.incarnation !== currentIncarnation);
				return entry.entryId === entryId && isEarlier;
			});
		},
		findLastEntryId: () => [...entries.values()].at(-1)?.entryId,
		getEntries: () => entries.values(),
	};
}
