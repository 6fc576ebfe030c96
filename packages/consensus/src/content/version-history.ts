import {z} from 'zod';
import type {ConfigurationObjects} from '@camphortack/configuration';
import {applyChanges} from './apply-changes.js';
import {mergeChanges} from './merge-changes.js';
import {objectChangeSchema, type ObjectChange} from './object-change.js';

/** The most versions that a history keeps. */
export const mostHistoryVersions = 1000;
/** The most bytes of changes that a history keeps. */
export const mostHistoryBytes = 4_194_304;

/** What is kept of a published version. */
export const versionRecordSchema = z.object({
	version: z.int(),
	publishId: z.string(),
	author: z.string(),
	digest: z.number(),
	changes: z.array(objectChangeSchema),
	/** The changes that lead back to the version before. */
	inverse: z.array(objectChangeSchema),
	sizeBytes: z.int(),
});

export type VersionRecord = z.infer<typeof versionRecordSchema>;

/** The last versions, bounded in number and bytes. */
export type VersionHistory = {
	addVersion(record: VersionRecord): void;
	/** Gets the kept records, oldest first. */
	getRecords(): readonly VersionRecord[];
	findVersion(version: number): VersionRecord | undefined;
	findPublish(publishId: string): VersionRecord | undefined;
	/** Finds the merged changes that lead from one version to a later one, or undefined if they are not kept. */
	findChangesBetween(fromVersion: number, toVersion: number): ObjectChange[] | undefined;
	/** Finds the objects of an old version, given those of the last one. */
	findObjects(version: number, lastObjects: ConfigurationObjects): ConfigurationObjects | undefined;
};

/**
 * Creates a history.
 * @param records - The records to start with, oldest first.
 */
export function createVersionHistory(records: readonly VersionRecord[] = []): VersionHistory {
	let kept: VersionRecord[] = [];
	const byPublishId = new Map<string, VersionRecord>();
	let sizeBytes = 0;

	function addVersion(record: VersionRecord): void {
		kept.push(record);
		byPublishId.set(record.publishId, record);
		sizeBytes += record.sizeBytes;
		while (kept.length > 1 && (kept.length > mostHistoryVersions || sizeBytes > mostHistoryBytes)) {
			dropOldest();
		}
	}

	function dropOldest(): void {
		const oldest = kept[0]!;
		kept = kept.slice(1);
		byPublishId.delete(oldest.publishId);
		sizeBytes -= oldest.sizeBytes;
	}

	function findSince(version: number): VersionRecord[] | undefined {
		const first = kept[0]?.version;
		return first === undefined || version < first - 1 || version > kept.at(-1)!.version ? undefined : kept.slice(version - first + 1);
	}

	for (const record of records) {
		addVersion(record);
	}

	return {
		addVersion,
		getRecords: () => kept,
		findVersion: version => (kept[0] === undefined ? undefined : kept[version - kept[0].version]),
		findPublish: publishId => byPublishId.get(publishId),
		findChangesBetween(fromVersion, toVersion) {
			const since = findSince(fromVersion)?.slice(0, toVersion - fromVersion);
			return since?.length === toVersion - fromVersion ? mergeChanges(since.map(record => record.changes)) : undefined;
		},
		findObjects(version, lastObjects) {
			const since = findSince(version);
			return since === undefined ? undefined : applyChanges(lastObjects, mergeChanges(since.toReversed().map(record => record.inverse)));
		},
	};
}
