import {z} from 'zod';
import {configurationObjectsSchema} from '@camphortack/configuration';
import type {RecordLog} from '@camphortack/storage';
import {applyToContent} from '../content/apply-changes.js';
import {emptyContent, type ConfigurationContent} from '../content/configuration-content.js';
import {objectChangeSchema, type ObjectChange} from '../content/object-change.js';
import {maxFollowerRecords} from './follower-timings.js';

const contentSchema = z.object({version: z.int(), digest: z.number(), objects: configurationObjectsSchema});
const stepSchema = z.object({fromVersion: z.int(), version: z.int(), changes: z.array(objectChangeSchema)});

/** Persists the received content of a daemon with a disk, so that the daemon does not return to an older version when it restarts. */
export type ContentStore = {
	/** Gets the content that was stored when the log was opened; version 0 if there was none. */
	getStored(): ConfigurationContent;
	/** Stores a step. `onSynced` is called immediately on a daemon without a disk. */
	addStep(fromVersion: number, changes: readonly ObjectChange[], after: ConfigurationContent, onSynced: () => void): void;
};

/**
 * Creates a store on top of a log, or one that stores nothing.
 * @param log - The log, or undefined on a daemon without a disk.
 */
export function createContentStore(log: RecordLog | undefined): ContentStore {
	const stored = log === undefined ? emptyContent : readStored(log);
	let recordCount = log?.getRecords().length ?? 0;

	return {
		getStored: () => stored,
		addStep(fromVersion, changes, after, onSynced) {
			if (log === undefined) {
				onSynced();
			} else if (fromVersion === 0 || recordCount >= maxFollowerRecords) {
				recordCount = 0;
				log.writeSnapshot(after, onSynced);
			} else {
				recordCount++;
				log.append({fromVersion, version: after.version, changes}, onSynced);
			}
		},
	};
}

function readStored(log: RecordLog): ConfigurationContent {
	const snapshot = log.getSnapshot();
	let content: ConfigurationContent = snapshot === undefined ? emptyContent : contentSchema.parse(snapshot);
	for (const record of log.getRecords()) {
		const {version, changes} = stepSchema.parse(record);
		content = applyToContent(content, version, changes);
	}

	return content;
}
