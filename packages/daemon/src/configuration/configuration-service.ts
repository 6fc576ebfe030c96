import type {Configuration, ConfigurationObjects} from '@camphortack/configuration';

/** What an operator asks to publish. */
export type PublishRequest = {
	/** The version that the operator edited. */
	baseVersion: number;
	/** Fresh for each publish; a resend carries the same one and gets the first result. */
	publishId: string;
	author: string;
	objects: ConfigurationObjects;
};

/** What became of a publish. */
export type PublishAnswer
	= | {kind: 'published'; version: number}
		| {kind: 'conflict'; version: number; author?: string; objects?: ConfigurationObjects}
	/** Nothing was or will be published. */
		| {kind: 'rejected'; message: string}
	/** No majority could be reached. */
		| {kind: 'no-majority'; message: string}
	/** It may still come into force; a resend with the same id tells. */
		| {kind: 'unknown'; message: string};

/** One published version. */
export type HistoryEntry = {
	version: number;
	publishId: string;
	author: string;
};

/** The operators' way to the agreed configuration. */
export type ConfigurationDesk = {
	publish(request: PublishRequest, onAnswer: (answer: PublishAnswer) => void): void;
	/** Finds the version in force on this daemon. */
	findConfiguration(): Configuration | undefined;
	/** Finds the published versions that are kept; undefined at a daemon that is no keeper. */
	findHistory(): Promise<HistoryEntry[] | undefined>;
	findVersion(version: number): Promise<Configuration | undefined>;
};
