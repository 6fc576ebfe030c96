import type {PeerMessage} from '@camphortack/core';
import type {BackendServerDescription, JobOutcome} from '@camphortack/placement';
import type {NumberedDocument} from './configuration/latest-document.js';
import type {Evacuations} from './evacuations/evacuations.js';
import type {JobSubscription} from './entry/job-submitter.js';
import type {EntryJob} from './entry/open-job.js';

/** The state of the cluster as this daemon sees it, for operators. */
export type ClusterStatus = {
	term: number;
	placerId: string;
	hearsPlacer: boolean;
	aliveMemberIds: string[];
	serverCount: number;
	openJobCount: number;
};

/** This daemon's membership in the cluster of a deployment. */
export type Cluster = {
	handlePeerMessage(fromId: string, message: PeerMessage): void;
	/** Submits a job and subscribes to its result, which is delivered once. */
	submit(job: EntryJob, onResult: (result: JobOutcome) => void): JobSubscription;
	/** Cancels a job; calls back with whether the placer confirmed it in time. */
	cancel(jobId: string, onEnd: (isConfirmed: boolean) => void): void;
	/** Gets the number of accepted jobs of a queue that have not started, as far as this daemon knows. */
	getPendingCount(queueName: string): number;
	/**
	 * Records the heartbeat of a backend server. Calls back with true once the daemons that must know of it do; for a
	 * draining backend server, that includes the placer, which must acknowledge the report.
	 */
	reportServer(description: BackendServerDescription, onEnd: (isAcknowledged: boolean) => void): void;
	/** Records that the known incarnation of a backend server has ended. */
	removeServer(serverId: string): void;
	/** Adds daemons to contact. */
	addContacts(contactIds: readonly string[]): void;
	/** Applies a committed configuration if it is newer, and propagates it to the other daemons. */
	setConfiguration(document: NumberedDocument): void;
	getConfiguration(): NumberedDocument | undefined;
	/** Applies the evacuations that the keepers have agreed on, if their revision is higher, and propagates them to the other daemons. */
	setEvacuations(evacuations: Evacuations): void;
	getEvacuations(): Evacuations;
	/**
	 * Whether all daemons that are heard are of a version that knows evacuations. Earlier placers start tasks in an evacuated zone,
	 * and earlier keepers cannot read a log with an order.
	 */
	areEvacuationsSupported(): boolean;
	/** Whether a daemon or a backend server of an availability zone is known. */
	isZoneKnown(availabilityZone: string): boolean;
	getStatus(): ClusterStatus;
	/**
	 * Announces to the other daemons that this one is leaving, so that another placer is elected.
	 * @param remainingMs - How long callers still get answers; without a limit if it is missing.
	 */
	startLeaving(remainingMs?: number): void;
	/** Stops taking part, and answers the callers of all open jobs. */
	stop(): void;
};
