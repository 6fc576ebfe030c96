import type {Configuration} from '@camphortack/configuration';
import type {
	EventLog, Member, MetricSink, PeerMessage, PeerNetwork, RandomSource, RefusalCode, TimerService,
} from '@camphortack/core';
import type {LimitResource} from './limit-dimensions.js';

/** The use of the declared limits that a job requests. */
export type LimitRequest = {
	jobId: string;
	customer: string;
	service: string;
	pool: string;
	taskCount: number;
	expectedWorkerSeconds: number;
};

export type LimitDecision = {isAdmitted: true} | {isAdmitted: false; code: RefusalCode; retryAfterMs: number};

/** Enforces the declared limits with the shares of them that this daemon has leased. */
export type Limiter = {
	/** Takes the use of the job from every limit that applies, all or none. */
	admitJob(request: LimitRequest): LimitDecision;
	/** Admits a job like `admitJob`, but waits up to 50 ms for a share that other daemons could give up. */
	requestAdmission(request: LimitRequest, onDecision: (decision: LimitDecision) => void): void;
	/**
	 * Reserves more worker-seconds for a running task that will exceed its reservation.
	 * @returns False if the task must be stopped now.
	 */
	extendTask(jobId: string, workerSeconds: number): boolean;
	/** Releases the reservation of a task that ended and charges its actual use. */
	endTask(jobId: string, usedWorkerSeconds: number): void;
	/** Releases everything reserved for a task that never started. */
	releaseTask(jobId: string): void;
	/** Releases the rest of a job. Its tasks that have not been reported must definitely not have started. */
	closeJob(jobId: string): void;
};

/** The limiter with the operations that the daemon calls. */
export type DistributedLimiter = Limiter & {
	setConfiguration(configuration: Configuration): void;
	/** Sets the live daemons of all availability zones, including this one. */
	setMembers(members: readonly Member[]): void;
	/** Handles a peer message whose kind starts with `limits.`. Malformed messages are counted and dropped. */
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	/** Transfers the dimensions that this daemon manages to other daemons before a planned stop. */
	startLeaving(): void;
	getStatus(): LimiterStatus;
	stop(): void;
};

export type LimitStatus = {
	limit: string;
	resource: LimitResource;
	/** The amount that may be held at once in all availability zones together. */
	capacity: number;
	share: number;
	held: number;
	managerId?: string;
	/** Set only if this daemon is the share manager. */
	managed?: {entitlement: number; borrowed: number; lent: number};
};

export type LimiterStatus = {
	malformedMessages: number;
	limits: LimitStatus[];
};

export type DistributedLimiterOptions = {
	ownId: string;
	/** Unique for each start of the process. */
	incarnation: string;
	availabilityZone: string;
	metrics: MetricSink;
	events: EventLog;
	timers: TimerService;
	random: RandomSource;
	peers: PeerNetwork;
	/** The number of entry daemons configured for this availability zone. */
	minZoneMembers?: number;
	/** Whether tasks started by an earlier process, of this daemon or of another one in its zone, may still run or count. */
	earlierUse?: 'possible' | 'none';
	/**
	 * Whether the whole system is known to start for the first time, so that no limit has been used yet.
	 * Called when the first configuration and the members are known.
	 */
	isFirstStart?: () => boolean;
	/** The maximum time that a started task may run. */
	maxTaskRunTimeMs?: number;
};
