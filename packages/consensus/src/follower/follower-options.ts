import type {Configuration} from '@camphortack/configuration';
import type {
	EventLog, Member, MetricSink, PeerMessage, PeerNetwork, RandomSource, TimerService,
} from '@camphortack/core';
import type {RecordLog} from '@camphortack/storage';
import type {Keeper} from '../keeper/keeper-options.js';
import type {Evacuations} from '../publish/evacuation-schemas.js';
import type {PublishRequest, PublishResult} from '../publish/publish-schemas.js';

export type ConfigurationFollowerOptions = {
	ownId: string;
	availabilityZone: string;
	peers: PeerNetwork;
	timers: TimerService;
	random: RandomSource;
	events: EventLog;
	metrics: MetricSink;
	/** An open log for this follower only, on a daemon that has a disk but no keeper. */
	log?: RecordLog;
	/** The keeper in the same process, if there is one. Versions then come from it. */
	keeper?: Keeper;
	/** Called with each version that becomes active. Versions only increase. */
	onConfiguration: (configuration: Configuration) => void;
	/**
	 * Called with the availability zones in which no task may start, on each change, and before the configuration becomes
	 * active. Includes the zone of this daemon while a keeper that has just started checks whether its evacuations are up to date.
	 */
	onClosedZones?: (availabilityZones: readonly string[]) => void;
};

export type ConfigurationFollowerStatus = {
	/** The active version; 0 if there is none yet. */
	version: number;
	digest: number;
	/** The daemon that the configuration comes from; undefined on a keeper. */
	sourceId: string | undefined;
	/** Time since the last contact, direct or through other daemons, with a keeper that can reach a majority. */
	keeperAgeMs: number;
	isStale: boolean;
	subscriberCount: number;
};

/** Receives the published configuration on a daemon and distributes it to its subscribers. */
export type ConfigurationFollower = {
	/** Handles a peer message whose kind starts with `configuration.`. */
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	/** Sets the live daemons: those of this availability zone and the keepers of all zones. */
	setMembers(members: readonly Member[]): void;
	/** Gets the active configuration, or undefined before the first version. */
	getConfiguration(): Configuration | undefined;
	/** Publishes through any keeper. `onResult` is called exactly once, within a bounded time, unless the follower is stopped. */
	publish(request: PublishRequest, onResult: (result: PublishResult) => void): void;
	/** Gets the newest evacuations known to this daemon. */
	getEvacuations(): Evacuations;
	/** Takes evacuations that another daemon knows, unless their revision is not higher. */
	setEvacuations(evacuations: Evacuations): void;
	getStatus(): ConfigurationFollowerStatus;
	/** Cancels all timers. The log stays open. */
	stop(): void;
};
