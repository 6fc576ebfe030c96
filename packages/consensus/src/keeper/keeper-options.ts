import type {
	EventLog, Member, MetricSink, PeerMessage, PeerNetwork, RandomSource, TimerService,
} from '@camphortack/core';
import type {RecordLog} from '@camphortack/storage';
import type {ConfigurationContent} from '../content/configuration-content.js';
import type {VersionHistory} from '../content/version-history.js';
import type {DocumentResult, NumberedDocument} from '../publish/document-schemas.js';
import type {PublishRequest, PublishResult} from '../publish/publish-schemas.js';
import type {KeeperRecord} from './keeper-set.js';
import type {KeeperTimings} from './keeper-timings.js';

export type KeeperOptions = {
	/** The id of the daemon that runs the keeper. */
	ownId: string;
	availabilityZone: string;
	/** A log of its own, opened; the opener closes it. */
	log: RecordLog;
	peers: PeerNetwork;
	timers: TimerService;
	random: RandomSource;
	events: EventLog;
	metrics: MetricSink;
	/** The daemons that run the first keepers, the same list at each of them. */
	initialKeeperIds: readonly string[];
	/** The most voters, odd; further keepers are learners. */
	maxVoters?: number;
	/** Whether this keeper may form the cluster; false once it has had its first start. */
	canBootstrap?: boolean;
	/** A voter that is silent for this long gives its place to a learner that has everything; never, if left out. */
	voterReplacementMs?: number;
	timings?: KeeperTimings;
};

export type KeeperRole = 'leader' | 'candidate' | 'follower' | 'learner' | 'joining';

/** What an operator sees of a keeper. */
export type KeeperStatus = {
	identity: string;
	/** Undefined until the keeper has received its place in a cluster. */
	clusterId: string | undefined;
	/** Whether this keeper, with this disk, took part in the cluster's first start. */
	isFounder: boolean;
	role: KeeperRole;
	/** The daemon that leads, if known. */
	leaderId: string | undefined;
	term: number;
	lastIndex: number;
	commitIndex: number;
	/** The agreed version known here. */
	version: number;
	keepers: readonly KeeperRecord[];
	/** Time since the leader was heard, or, at the leader, since a majority was. */
	quorumAgeMs: number;
};

/** A version that is durable here and agreed, with what led to it. */
export type KeeperListener = (content: ConfigurationContent) => void;

/** An agreed document that is durable here. */
export type DocumentListener = (document: NumberedDocument) => void;

/** One of the daemons that agree on the configuration. */
export type Keeper = {
	/** Handles a peer message whose kind starts with `consensus.`. */
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	/** Sets the live daemons; keepers among them are asked for a place if this one has none. */
	setMembers(members: ReadonlyArray<Pick<Member, 'id' | 'roles'>>): void;
	/** Publishes a set. `onResult` is called exactly once, after a bounded time, unless the keeper is stopped. */
	publish(request: PublishRequest, onResult: (result: PublishResult) => void): void;
	/** Stores a document by agreement. `onResult` is called once, after a bounded time, unless the keeper is stopped. */
	putDocument(document: NumberedDocument, onResult: (result: DocumentResult) => void): void;
	/** Finds the newest document known here to be agreed; ask `confirm` first to be sure that there is no newer one. */
	findDocument(): NumberedDocument | undefined;
	/** Calls back with the current document, if there is one to serve, and with each later one. */
	addDocumentListener(listener: DocumentListener): void;
	/** Calls back with the current version, if there is one to serve, and with each later one. */
	addListener(listener: KeeperListener): void;
	/** Asks the leader whether this keeper is up to date; true only if it then holds every version agreed before the call. */
	confirm(onEnd: (isConfirmed: boolean) => void): void;
	/** Whether it was confirmed since its start, and is the only keeper of its availability zone. */
	isSoleConfirmedInZone(): boolean;
	getHistory(): VersionHistory;
	/** Removes a keeper from the set; only the leader can. */
	removeKeeper(keeperId: string): 'accepted' | 'not-leader' | 'unknown-keeper';
	getStatus(): KeeperStatus;
	/** Hands leadership over. */
	startLeaving(): void;
	/** Ends all timers. The log stays open. */
	stop(): void;
};
