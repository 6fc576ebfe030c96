import type {JobHandover} from '@camphortack/placement';
import {isSameView, type PlacerView} from '../election/placer-view.js';
import type {RecordedPlacer} from '../records/server-records.js';

/** The submissions of a job to placers that may have started its tasks. */
export type JobSubmissions = {
	add(view: PlacerView, placer: {incarnation: string; usesRecords: boolean}): void;
	/** Records that the last submission was sent again. One copy may reach the placer after a restart, the other one before. */
	repeatLast(): void;
	/** Whether the last submission is the one to an incarnation of the placer of a term. */
	isLast(view: PlacerView, incarnation: string): boolean;
	/** Whether there are submissions. */
	hasAny(): boolean;
	/** Gets the placers of all submissions. */
	getPlacers(): SubmittedPlacers;
	/** The same without the last submission. */
	getEarlierPlacers(): SubmittedPlacers;
	/** Whether a submission was sent to the placer of a term. */
	hasView(view: PlacerView): boolean;
	/** Whether there are more submissions than the last one. */
	hasEarlier(): boolean;
	/** Whether the only submission is the one to the placer of a term. */
	isOnly(view: PlacerView): boolean;
	/** Removes the submission to a placer that has not started the job. Returns false if nothing is proven. */
	removeNotBegun(view: PlacerView): boolean;
	/** Removes all submissions, because each placer has refused the job. */
	clear(): void;
};

/** The placers to which a job was submitted. */
export type SubmittedPlacers = {
	/** Each incarnation once. */
	placers: JobHandover['placers'];
	/** What is known of the backend servers that each of them may have used. */
	recorded: readonly RecordedPlacer[];
};

type Submission = RecordedPlacer & {
	incarnation: string;
	isRepeated: boolean;
};

/**
 * Creates the submissions of a job that was not sent to any placer. As long as there are none, the job certainly has not
 * started. If a job was sent to one placer twice in one term, its word may be about either of them and proves nothing.
 *
 * @example
 * ```ts
 * const submissions = createJobSubmissions();
 * submissions.add({term: 1, placerId: 'first'}, {incarnation: 'one', usesRecords: true});
 * submissions.removeNotBegun({term: 1, placerId: 'first'}); // true
 * submissions.hasAny(); // false
 * ```
 */
export function createJobSubmissions(): JobSubmissions {
	let submissions: Submission[] = [];

	return {
		add(view, {incarnation, usesRecords}) {
			submissions.push({
				view, incarnation, usesRecords, isRepeated: false,
			});
		},
		repeatLast() {
			submissions.at(-1)!.isRepeated = true;
		},
		isLast(view, incarnation) {
			const last = submissions.at(-1);
			return last !== undefined && incarnation !== '' && last.incarnation === incarnation && isSameView(last.view, view);
		},
		hasAny: () => submissions.length > 0,
		getPlacers: () => ({placers: getPlacers(submissions), recorded: submissions}),
		getEarlierPlacers: () => ({placers: getPlacers(submissions.slice(0, -1)), recorded: submissions.slice(0, -1)}),
		hasView: view => submissions.some(submission => isSameView(submission.view, view)),
		hasEarlier: () => submissions.length > 1,
		isOnly: view => submissions.length === 1 && isSameView(submissions[0]!.view, view),
		removeNotBegun(view) {
			const [found, ...more] = submissions.filter(submission => isSameView(submission.view, view));
			const isProven = found !== undefined && more.length === 0 && !found.isRepeated;
			submissions = isProven ? submissions.filter(submission => submission !== found) : submissions;
			return isProven;
		},
		clear() {
			submissions = [];
		},
	};
}

function getPlacers(submissions: readonly Submission[]): JobHandover['placers'] {
	const placers: JobHandover['placers'] = [];
	for (const {view: {placerId}, incarnation} of submissions) {
		if (!placers.some(placer => placer.placerId === placerId && placer.incarnation === incarnation)) {
			placers.push({placerId, incarnation});
		}
	}

	return placers;
}
