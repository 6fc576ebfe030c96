import type {Configuration, ConfigurationObjects} from '@camphortack/configuration';

/** A request of an operator to publish a configuration. */
export type PublishRequest = {
	/** The version on which the changes are based. */
	baseVersion: number;
	/** Unique for each publish. A retry carries the same id and gets the result of the first request. */
	publishId: string;
	author: string;
	objects: ConfigurationObjects;
};

/** The result of a publish request. */
export type PublishAnswer
	= | {kind: 'published'; version: number}
		| {kind: 'conflict'; version: number; author?: string; objects?: ConfigurationObjects}
	/** Nothing was published, and nothing will be. */
		| {kind: 'rejected'; message: string}
	/** No majority of keepers could be reached. */
		| {kind: 'no-majority'; message: string}
	/** The version may still come into force; a retry with the same publish id returns the result. */
		| {kind: 'unknown'; message: string};

/** A published version. */
export type HistoryEntry = {
	version: number;
	publishId: string;
	author: string;
};

/** Gives operators access to the replicated configuration. */
export type ConfigurationService = {
	publish(request: PublishRequest, onAnswer: (answer: PublishAnswer) => void): void;
	/** Finds the version that is in force on this daemon. */
	findConfiguration(): Configuration | undefined;
	/** Finds the published versions in the history; undefined if this daemon is not a keeper. */
	findHistory(): Promise<HistoryEntry[] | undefined>;
	findVersion(version: number): Promise<Configuration | undefined>;
};
