import {z} from 'zod';
import type {ConfigurationObjects} from '@camphortack/configuration';
import {applyChanges} from './apply-changes.js';
import {mergeChanges} from './merge-changes.js';
import {objectChangeSchema, type ObjectChange} from './object-change.js';

/** The maximum number of versions in a history. */
export const maxHistoryVersions = 1000;
/** The maximum size of the changes in a history. */
export const maxHistoryBytes = 4_194_304;

/** The record of a published version. */
export const versionRecordSchema = z.object({
	version: z.int(),
	publishId: z.string(),
	author: z.string(),
	digest: z.number(),
	changes: z.array(objectChangeSchema),
	/** The changes that revert to the previous version. */
	inverse: z.array(objectChangeSchema),
	sizeBytes: z.int(),
});

export type VersionRecord = z.infer<typeof versionRecordSchema>;

/** The most recent versions, bounded in number and size. */
export type VersionHistory = {
	addVersion(record: VersionRecord): void;
	/** Gets the retained records, oldest first. */
	getRecords(): readonly VersionRecord[];
	findVersion(version: number): VersionRecord | undefined;
	findPublish(publishId: string): VersionRecord | undefined;
	/** Finds the merged changes from one version to a later one, or undefined if they are no longer retained. */
	findChangesBetween(fromVersion: number, toVersion: number): ObjectChange[] | undefined;
	/** Finds the objects of an older version, given those of the latest one. */
	findObjects(version: number, lastObjects: ConfigurationObjects): ConfigurationObjects | undefined;
};

/**
 * Creates a version history.
 * @param records - The initial records, oldest first.
 */
export function createVersionHistory(records: readonly VersionRecord[] = []): VersionHistory {
	let retained: VersionRecord[] = [];
	const byPublishId = new Map<string, VersionRecord>();
	let sizeBytes = 0;

	function addVersion(record: VersionRecord): void {
		retained.push(record);
		byPublishId.set(record.publishId, record);
		sizeBytes += record.sizeBytes;
		while (retained.length > 1 && (retained.length > maxHistoryVersions || sizeBytes > maxHistoryBytes)) {
			dropOldest();
		}
	}

	function dropOldest(): void {
		const oldest = retained[0]!;
		retained = retained.slice(1);
		byPublishId.delete(oldest.publishId);
		sizeBytes -= oldest.sizeBytes;
	}

	function findRecordsSince(version: number): VersionRecord[] | undefined {
		const first = retained[0]?.version;
		return first === undefined || version < first - 1 || version > retained.at(-1)!.version ? undefined : retained.slice(version - first + 1);
	}

	for (const record of records) {
		addVersion(record);
	}

	return {
		addVersion,
		getRecords: () => retained,
		findVersion: version => (retained[0] === undefined ? undefined : retained[version - retained[0].version]),
		findPublish: publishId => byPublishId.get(publishId),
		findChangesBetween(fromVersion, toVersion) {
			const since = findRecordsSince(fromVersion)?.slice(0, toVersion - fromVersion);
			return since?.length === toVersion - fromVersion ? mergeChanges(since.map(record => record.changes)) : undefined;
		},
		findObjects(version, lastObjects) {
			const since = findRecordsSince(version);
			return since === undefined ? undefined : applyChanges(lastObjects, mergeChanges(since.toReversed().map(record => record.inverse)));
		},
	};
}
