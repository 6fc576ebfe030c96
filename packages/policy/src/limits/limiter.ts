import type {Configuration} from '@camphortack/configuration';
import type {
	Member, PeerMessage, PeerNetwork, RandomSource, RefusalCode, TimerService,
} from '@camphortack/core';
import type {LimitResource} from './limit-dimensions.js';

/** What a job asks of the declared limits. */
export type LimitRequest = {
	jobId: string;
	customer: string;
	service: string;
	pool: string;
	taskCount: number;
	expectedWorkerSeconds: number;
};

export type LimitDecision = {isAdmitted: true} | {isAdmitted: false; code: RefusalCode; retryAfterMs: number};

/** The shares of the declared limits that this daemon holds under leases. */
export type Limiter = {
	/** Takes the job's use out of every limit that applies, all or none. */
	admitJob(request: LimitRequest): LimitDecision;
	/** Admits a job as `admitJob` does, but waits up to 50 ms for a share that other daemons could spare. */
	requestAdmission(request: LimitRequest, onDecision: (decision: LimitDecision) => void): void;
	/**
	 * Reserves more worker-seconds for a running task that will outrun what is reserved for it.
	 * @returns False if the task must be stopped now.
	 */
	extendTask(jobId: string, workerSeconds: number): boolean;
	/** Gives back what a task that ended no longer holds, and charges what it really used. */
	endTask(jobId: string, usedWorkerSeconds: number): void;
	/** Gives back what a task that never started held. */
	releaseTask(jobId: string): void;
	/** Gives back what is left of a job: all of its tasks that have not been reported certainly did not start. */
	closeJob(jobId: string): void;
};

/** The limit book as the daemon drives it. */
export type DistributedLimiter = Limiter & {
	setConfiguration(configuration: Configuration): void;
	/** Sets the live daemons of all availability zones, this one included. */
	setMembers(members: readonly Member[]): void;
	/** Handles a peer message whose kind starts with `limits.`. A malformed one is counted and dropped. */
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	/** Hands over what this daemon manages, before a planned stop. */
	startLeaving(): void;
	getStatus(): LimiterStatus;
	stop(): void;
};

export type LimitStatus = {
	limit: string;
	resource: LimitResource;
	/** What may be held at once in all availability zones together. */
	capacity: number;
	share: number;
	held: number;
	managerId?: string;
	/** Only where this daemon is the share manager. */
	managed?: {entitlement: number; borrowed: number; lent: number};
};

export type LimiterStatus = {
	malformedMessages: number;
	limits: LimitStatus[];
};

export type DistributedLimiterOptions = {
	ownId: string;
	/** Fresh for each start of the process. */
	incarnation: string;
	availabilityZone: string;
	timers: TimerService;
	random: RandomSource;
	peers: PeerNetwork;
	/** The number of entry daemons that the settings name for this availability zone. */
	minZoneMembers?: number;
	/** Whether tasks of an earlier process, of this daemon or of its availability zone, may still run or count. */
	earlierUse?: 'possible' | 'none';
	/**
	 * Whether the whole system is known to start for the first time, so that no limit was ever used.
	 * Asked when the first configuration and the members are known.
	 */
	isFirstStart?: () => boolean;
	/** The longest time that a started task may go on. */
	maxHoldMs?: number;
};
