import type {Configuration} from '@camphortack/configuration';
import type {
	BackendServerAnnouncement, EventLog, Job, JobOutcome, Member, MetricSink, PeerMessage, PeerNetwork, RandomSource, TimerService,
} from '@camphortack/core';
import type {Limiter} from '@camphortack/policy';
import type {JobExplanation} from '../explaining/explain-job.js';
import type {TaskEvent, TaskStarter} from './task-starter.js';

export type DispatcherOptions = {
	ownId: string;
	/** Unique to each start of the process. */
	incarnation: string;
	availabilityZone: string;
	timers: TimerService;
	random: RandomSource;
	metrics: MetricSink;
	events: EventLog;
	peers: PeerNetwork;
	starter: TaskStarter;
	limits: Limiter;
	/** How long a daemon that receives nothing from other daemons keeps using its slots. */
	leaseDurationMs?: number;
};

/** The status of a backend server as seen by this daemon. */
export type BackendServerStatus = {
	id: string;
	availabilityZone: string;
	slots: number;
	/** The daemon that manages its slots. */
	managerId: string;
	heldSlots: number;
	busySlots: number;
	isEjected: boolean;
	isLeaving: boolean;
};

export type DispatcherStatus = {
	queuedTasks: number;
	queuedBytes: number;
	runningTasks: number;
	openJobs: number;
	isDraining: boolean;
	backendServers: BackendServerStatus[];
};

/** Runs jobs on the slots that this daemon manages. Sockets and clocks are injected. */
export type Dispatcher = {
	setConfiguration(configuration: Configuration): void;
	/** Sets the live daemons of all availability zones, including this daemon. */
	setMembers(members: readonly Member[]): void;
	/** Sets the availability zones in which no task may start, because they are evacuated. */
	setClosedZones(availabilityZones: readonly string[]): void;
	announceBackendServer(announcement: BackendServerAnnouncement): void;
	/** Stops placing tasks on a backend server that is leaving. */
	removeBackendServer(backendServerId: string, incarnation: string): void;
	/** Does the same on behalf of an operator, for any incarnation; returns false if the backend server is unknown. */
	drainBackendServer(backendServerId: string): boolean;
	/** Runs a job. `onEnd` is called exactly once. The caller has checked that the id is new. */
	submitJob(job: Job, onEnd: (outcome: JobOutcome) => void): void;
	/** Explains where a job would go now, without running it. */
	explainJob(job: Job): JobExplanation;
	/** Cancels a job; returns false if it is not open on this daemon. */
	cancelJob(jobId: string): boolean;
	handleTaskEvent(event: TaskEvent): void;
	/** Handles a peer message whose kind starts with `dispatch.`. */
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	/** Refuses new jobs and releases slots as they become idle. */
	startDraining(): void;
	getStatus(): DispatcherStatus;
};
