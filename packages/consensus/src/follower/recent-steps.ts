import {mergeChanges} from '../content/merge-changes.js';
import type {ObjectChange} from '../content/object-change.js';
import {maxRecentBytes, maxRecentSteps} from './follower-timings.js';

/** The changes of the last steps from one version in force to the next. */
export type RecentSteps = {
	addStep(fromVersion: number, changes: readonly ObjectChange[]): void;
	/** Finds the merged changes from a version to the last one, or undefined if no kept step starts there. */
	findChangesSince(version: number): ObjectChange[] | undefined;
};

type Step = {fromVersion: number; changes: readonly ObjectChange[]; sizeBytes: number};

/** Creates a memory that is bounded in steps and bytes. */
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
