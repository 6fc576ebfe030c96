import type {
	EventLog, Member, MetricSink, PeerMessage, PeerNetwork, RandomSource, TimerService,
} from '@camphortack/core';
import type {RecordLog} from '@camphortack/storage';
import type {ConfigurationContent} from '../content/configuration-content.js';
import type {VersionHistory} from '../content/version-history.js';
import type {DocumentResult, NumberedDocument} from '../publish/document-schemas.js';
import type {EvacuationResult, Evacuations} from '../publish/evacuation-schemas.js';
import type {PublishRequest, PublishResult} from '../publish/publish-schemas.js';
import type {SendDecision} from '../publish/request-forwarder.js';
import type {KeeperRecord} from './keeper-set.js';
import type {KeeperTimings} from './keeper-timings.js';

export type KeeperOptions = {
	/** The id of the daemon that runs the keeper. */
	ownId: string;
	availabilityZone: string;
	/** An open log for this keeper only. The caller closes it. */
	log: RecordLog;
	peers: PeerNetwork;
	timers: TimerService;
	random: RandomSource;
	events: EventLog;
	metrics: MetricSink;
	/** The daemons that run the initial keepers. Must be the same list at each of them. */
	initialKeeperIds: readonly string[];
	/** The maximum number of voters, odd; further keepers are learners. */
	maxVoters?: number;
	/** Whether this keeper may bootstrap the cluster; false once the cluster has had its first start. */
	canBootstrap?: boolean;
	/** A voter that does not respond for this long is replaced by a learner that is up to date. Voters are never replaced if omitted. */
	voterReplacementMs?: number;
	timings?: KeeperTimings;
};

export type KeeperRole = 'leader' | 'candidate' | 'follower' | 'learner' | 'joining';

/** The status of a keeper as operators see it. */
export type KeeperStatus = {
	identity: string;
	/** Undefined until the keeper is a member of a cluster. */
	clusterId: string | undefined;
	/** Whether this keeper, with its current disk, took part in the bootstrap of the cluster. */
	isFounder: boolean;
	role: KeeperRole;
	/** The daemon that runs the leader, if known. */
	leaderId: string | undefined;
	term: number;
	lastIndex: number;
	commitIndex: number;
	/** The latest committed version known to this keeper. */
	version: number;
	keepers: readonly KeeperRecord[];
	/** Time since the last contact with the leader or, at the leader, with a majority. */
	quorumAgeMs: number;
};

/** Called with a version that is committed and durable on this keeper. */
export type KeeperListener = (content: ConfigurationContent) => void;

/** Called with a document that is committed and durable on this keeper. */
export type DocumentListener = (document: NumberedDocument) => void;

/** Called with the evacuations that are committed and durable on this keeper. */
export type EvacuationListener = (evacuations: Evacuations) => void;

/** A consensus replica: one of the daemons that replicate the configuration with Raft. */
export type Keeper = {
	/** Handles a peer message whose kind starts with `consensus.`. */
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	/** Sets the live daemons. A keeper that is not a member of the set yet asks the keepers among them to add it. */
	setMembers(members: ReadonlyArray<Pick<Member, 'id' | 'roles'>>): void;
	/** Publishes a set of objects. `onResult` is called exactly once, within a bounded time, unless the keeper is stopped. */
	publish(request: PublishRequest, onResult: (result: PublishResult) => void): void;
	/** Stores a document through consensus. `onResult` is called once, within a bounded time, unless the keeper is stopped. */
	putDocument(document: NumberedDocument, onResult: (result: DocumentResult) => void): void;
	/** Finds the newest committed document known to this keeper. Call `confirm` first to make sure that there is no newer one. */
	findDocument(): NumberedDocument | undefined;
	/** Calls the listener with the current document, if it can be served yet, and with each later one. */
	addDocumentListener(listener: DocumentListener): void;
	/**
	 * Stores through consensus whether an availability zone is evacuated. `onResult` is called once, within a bounded time,
	 * unless the keeper is stopped. Orders take effect in the order of the log.
	 */
	setEvacuation(
		availabilityZone: string, isEvacuated: boolean, onResult: (result: EvacuationResult) => void, decideSend?: () => SendDecision,
	): void;
	/** Finds the newest committed evacuations known to this keeper. */
	findEvacuations(): Evacuations;
	/** Calls the listener with the current evacuations, if there was an order and they can be served yet, and with each later change. */
	addEvacuationListener(listener: EvacuationListener): void;
	/** Calls the listener with the current version, if it can be served yet, and with each later one. */
	addListener(listener: KeeperListener): void;
	/** Checks with the leader that this keeper is up to date. The result is true only if the keeper holds every version committed before the call. */
	confirm(onEnd: (isConfirmed: boolean) => void): void;
	/** Whether this keeper was confirmed since its start and is the only one in its availability zone. */
	isSoleConfirmedInZone(): boolean;
	getHistory(): VersionHistory;
	/** Removes a keeper from the set. Only the leader accepts this. */
	removeKeeper(keeperId: string): 'accepted' | 'not-leader' | 'unknown-keeper';
	getStatus(): KeeperStatus;
	/** Starts to give back what this keeper holds: its leadership, and its vote if a learner can take it over. It responds until it is stopped. */
	startLeaving(): void;
	/**
	 * Whether a keeper that is leaving holds nothing any more that another one can take over. Without a learner that is ready, or
	 * may become so, it keeps its vote for its next start.
	 */
	hasLeft(): boolean;
	/** Cancels all timers. The log stays open. */
	stop(): void;
};
