import type {RunRecord} from './fake-server.js';

/**
 * Gets the pairs of overlapping runs of the same task.
 * @param records - The runs.
 * @param nowMs - The time until which runs that have not ended are counted.
 */
export function findOverlaps(records: readonly RunRecord[], nowMs: number): Array<[RunRecord, RunRecord]> {
	const overlaps: Array<[RunRecord, RunRecord]> = [];
	const byTask = new Map<string, RunRecord[]>();
	for (const record of records) {
		byTask.set(record.taskName, [...(byTask.get(record.taskName) ?? []), record]);
	}

	for (const runs of byTask.values()) {
		const sorted = runs.toSorted((left, right) => left.startedAtMs - right.startedAtMs);
		for (const [position, run] of sorted.entries()) {
			const next = sorted[position + 1];
			if (next !== undefined && next.startedAtMs < (run.endedAtMs ?? nowMs)) {
				overlaps.push([run, next]);
			}
		}
	}

	return overlaps;
}
