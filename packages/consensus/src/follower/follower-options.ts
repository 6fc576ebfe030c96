import type {Configuration} from '@camphortack/configuration';
import type {
	EventLog, Member, MetricSink, PeerMessage, PeerNetwork, RandomSource, TimerService,
} from '@camphortack/core';
import type {RecordLog} from '@camphortack/storage';
import type {Keeper} from '../keeper/keeper-options.js';
import type {PublishRequest, PublishResult} from '../publish/publish-schemas.js';

export type ConfigurationFollowerOptions = {
	ownId: string;
	availabilityZone: string;
	peers: PeerNetwork;
	timers: TimerService;
	random: RandomSource;
	events: EventLog;
	metrics: MetricSink;
	/** A log of its own, opened, at a daemon that has a disk but no keeper. */
	log?: RecordLog;
	/** The keeper in the same process, if there is one; then versions come from it. */
	keeper?: Keeper;
	/** Called with each version that comes into force; versions only rise. */
	onConfiguration: (configuration: Configuration) => void;
};

export type ConfigurationFollowerStatus = {
	/** 0 before anything is in force. */
	version: number;
	digest: number;
	/** The daemon that the configuration comes from; undefined at a keeper. */
	sourceId: string | undefined;
	/** How long ago a keeper that can reach a majority was heard, directly or through others. */
	keeperAgeMs: number;
	isStale: boolean;
	subscriberCount: number;
};

/** Brings the published configuration to one daemon and on to those that subscribe to it. */
export type ConfigurationFollower = {
	/** Handles a peer message whose kind starts with `configuration.`. */
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	/** Sets the live daemons: those of this availability zone and the keepers of all. */
	setMembers(members: readonly Member[]): void;
	/** Gets what is in force here, or undefined before the first version. */
	getConfiguration(): Configuration | undefined;
	/** Publishes through any keeper. `onResult` is called exactly once, after a bounded time, unless the follower is stopped. */
	publish(request: PublishRequest, onResult: (result: PublishResult) => void): void;
	getStatus(): ConfigurationFollowerStatus;
	/** Ends all timers. The log stays open. */
	stop(): void;
};
