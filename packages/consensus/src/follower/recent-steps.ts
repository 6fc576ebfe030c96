import {mergeChanges} from '../content/merge-changes.js';
import type {ObjectChange} from '../content/object-change.js';
import {maxRecentBytes, maxRecentSteps} from './follower-timings.js';

/** The most recent steps: the changes from one active version to the next. */
export type RecentSteps = {
	addStep(fromVersion: number, changes: readonly ObjectChange[]): void;
	/** Finds the merged changes from a version to the latest one, or undefined if no retained step starts at that version. */
	findChangesSince(version: number): ObjectChange[] | undefined;
};

type Step = {fromVersion: number; changes: readonly ObjectChange[]; sizeBytes: number};

/** Creates an empty list of recent steps that is bounded in number and size. */
export function createRecentSteps(): RecentSteps {
	let steps: Step[] = [];
	let sizeBytes = 0;

	function dropOldest(): void {
		sizeBytes -= steps[0]!.sizeBytes;
		steps = steps.slice(1);
	}

	return {
		addStep(fromVersion, changes) {
			const step = {fromVersion, changes, sizeBytes: JSON.stringify(changes).length};
			steps.push(step);
			sizeBytes += step.sizeBytes;
			while (steps.length > 0 && (steps.length > maxRecentSteps || sizeBytes > maxRecentBytes)) {
				dropOldest();
			}
		},
		findChangesSince(version) {
			const first = steps.findIndex(step => step.fromVersion === version);
			return first === -1 ? undefined : mergeChanges(steps.slice(first).map(step => step.changes));
		},
	};
}
