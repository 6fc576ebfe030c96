import type {
	EventLog, Member, MetricSink, PeerMessage, PeerNetwork, RandomSource, TimerService,
} from '@camphortack/core';

/** Where a daemon can be reached. */
export type MemberAddress = {
	id: string;
	host: string;
	port: number;
};

/** A daemon that the settings name. */
export type MembershipSeed = MemberAddress & {
	availabilityZone: string;
};

export type MembershipOptions = {
	/** This daemon. Its incarnation is fresh for each start of the process. */
	ownMember: Member;
	/** The daemons to contact first; this one may be among them. */
	seeds: readonly MembershipSeed[];
	peers: PeerNetwork;
	timers: TimerService;
	random: RandomSource;
	metrics: MetricSink;
	events: EventLog;
	/** Called at once with this daemon alone, and on each change of the live daemons. */
	onMembersChanged: (members: readonly Member[]) => void;
	/** Called when the address of a daemon is learnt or changes. */
	onAddress: (address: MemberAddress) => void;
};

/** A daemon as an operator sees it. */
export type MemberStatus = {
	id: string;
	incarnation: string | undefined;
	availabilityZone: string;
	/** Whether it is live and its availability zone is reachable. */
	isAlive: boolean;
	state: 'alive' | 'suspect' | 'dead' | 'left' | 'never-heard';
};

/** An availability zone as an operator sees it. */
export type ZoneStatus = {
	availabilityZone: string;
	isReachable: boolean;
	liveDaemons: number;
};

export type MembershipStatus = {
	members: MemberStatus[];
	zones: ZoneStatus[];
};

/** Knows which daemons are alive. Within the own availability zone it finds out, other zones tell. */
export type Membership = {
	/** Handles a peer message whose kind starts with `membership.`. */
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	/** Notes a sign of life: a message of any part. It saves a ping. */
	recordReceived(peerId: string): void;
	/** Gets the live daemons of all availability zones, this one included; an unreachable zone keeps its last ones. */
	getMembers(): readonly Member[];
	getStatus(): MembershipStatus;
	/** Says farewell; `onEnd` is called once the other daemons have been told. */
	startLeaving(onEnd: () => void): void;
	/** Ends all timers and sends nothing more. */
	stop(): void;
};
