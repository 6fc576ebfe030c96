import type {
	EventLog, Member, MetricSink, PeerMessage, PeerNetwork, RandomSource, TimerService,
} from '@camphortack/core';

/** The address at which a daemon listens for its peers. */
export type MemberAddress = {
	id: string;
	host: string;
	port: number;
};

/** A daemon listed in the settings. */
export type MembershipSeed = MemberAddress & {
	availabilityZone: string;
};

export type MembershipOptions = {
	/** This daemon. Its incarnation is unique to this process. */
	ownMember: Member;
	/** The daemons to contact on joining. The list may include this daemon. */
	seeds: readonly MembershipSeed[];
	peers: PeerNetwork;
	timers: TimerService;
	random: RandomSource;
	metrics: MetricSink;
	events: EventLog;
	/** Called on creation with this daemon alone, and on each change of the live daemons. */
	onMembersChanged: (members: readonly Member[]) => void;
	/** Called when the address of a daemon becomes known or changes. */
	onAddress: (address: MemberAddress) => void;
};

/** The status of a daemon, for operators. */
export type MemberStatus = {
	id: string;
	incarnation: string | undefined;
	availabilityZone: string;
	/** Whether the daemon is live and its availability zone is reachable. */
	isAlive: boolean;
	state: 'alive' | 'suspect' | 'dead' | 'left' | 'never-heard';
};

/** The status of an availability zone, for operators. */
export type ZoneStatus = {
	availabilityZone: string;
	isReachable: boolean;
	liveDaemons: number;
};

export type MembershipStatus = {
	members: MemberStatus[];
	zones: ZoneStatus[];
};

/**
 * Tracks the live daemons. It detects failures within its own availability zone and learns the members of other zones from
 * their gateways.
 */
export type Membership = {
	/** Handles a peer message whose kind starts with `membership.`. */
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	/** Records that a message of any kind has arrived from a daemon, which then needs no ping. */
	recordReceived(peerId: string): void;
	/** Gets the live daemons of all availability zones, including this one. An unreachable zone keeps its last known daemons. */
	getMembers(): readonly Member[];
	getStatus(): MembershipStatus;
	/** Announces that this daemon leaves, and calls `onEnd` once the announcement is complete. */
	startLeaving(onEnd: () => void): void;
	/** Cancels all timers and stops sending. */
	stop(): void;
};
