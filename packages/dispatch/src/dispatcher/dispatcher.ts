import type {Configuration} from '@camphortack/configuration';
import type {
	BackendServerAnnouncement, EventLog, Job, JobOutcome, Member, MetricSink, PeerMessage, PeerNetwork, RandomSource, TimerService,
} from '@camphortack/core';
import type {Limiter} from '@camphortack/policy';
import type {TaskEvent, TaskStarter} from './task-starter.js';

export type DispatcherOptions = {
	ownId: string;
	/** Fresh for each start of the process. */
	incarnation: string;
	availabilityZone: string;
	timers: TimerService;
	random: RandomSource;
	metrics: MetricSink;
	events: EventLog;
	peers: PeerNetwork;
	starter: TaskStarter;
	limits: Limiter;
	/** How long a daemon that hears no other one goes on using its slots. */
	leaseDurationMs?: number;
};

/** What a backend server looks like from this daemon. */
export type BackendServerStatus = {
	id: string;
	availabilityZone: string;
	slots: number;
	/** The daemon that leases out its slots. */
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

/** Runs jobs on the slots that this daemon holds. Knows no socket and no clock. */
export type Dispatcher = {
	setConfiguration(configuration: Configuration): void;
	/** Sets the live daemons of all availability zones, this one included. */
	setMembers(members: readonly Member[]): void;
	announceBackendServer(announcement: BackendServerAnnouncement): void;
	/** Ends new work for a backend server that leaves. */
	removeBackendServer(backendServerId: string, incarnation: string): void;
	/** Does the same for an operator, whatever its incarnation; false if it is not known here. */
	drainBackendServer(backendServerId: string): boolean;
	/** Runs a job. `onEnd` is called exactly once. The id has been checked to be new. */
	submitJob(job: Job, onEnd: (outcome: JobOutcome) => void): void;
	/** Cancels a job; false if it is not open here. */
	cancelJob(jobId: string): boolean;
	handleTaskEvent(event: TaskEvent): void;
	/** Handles a peer message whose kind starts with `dispatch.`. */
	handlePeerMessage(fromPeerId: string, message: PeerMessage): void;
	/** Refuses new jobs, hands slots back as they fall idle. */
	startDraining(): void;
	getStatus(): DispatcherStatus;
};
