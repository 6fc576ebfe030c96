import type {PeerMessage} from '@camphortack/core';
import type {BackendServerDescription, JobOutcome} from '@camphortack/placement';
import type {NumberedDocument} from './configuration/latest-document.js';
import type {EntryJob, JobSubscription} from './entry/job-submitter.js';

/** What a daemon shows of its place in the deployment. */
export type ClusterStatus = {
	term: number;
	placerId: string;
	hearsPlacer: boolean;
	aliveMemberIds: string[];
	serverCount: number;
	openJobCount: number;
};

/** This daemon's part in the deployment. */
export type Cluster = {
	handlePeerMessage(fromId: string, message: PeerMessage): void;
	/** Hands a job in; the result comes once. */
	submit(job: EntryJob, onResult: (result: JobOutcome) => void): JobSubscription;
	cancel(jobId: string, onEnd: (isConfirmed: boolean) => void): void;
	/** Gets the accepted jobs of a queue of which nothing has started, as known here. */
	getPendingCount(queueName: string): number;
	/**
	 * Notes the heartbeat of a backend server. Calls back with true once everybody who must know of it does: for one
	 * that has begun to leave this includes the placer.
	 */
	reportServer(description: BackendServerDescription, onEnd: (isAcknowledged: boolean) => void): void;
	/** Notes that an incarnation of a backend server has ended, whichever is known. */
	removeServer(serverId: string): void;
	/** Contacts further daemons. */
	addContacts(contactIds: readonly string[]): void;
	/** Takes an agreed configuration and spreads it. */
	setConfiguration(document: NumberedDocument): void;
	getConfiguration(): NumberedDocument | undefined;
	getStatus(): ClusterStatus;
	/** Tells the other daemons that this one leaves, and hands the placing over. */
	startLeaving(): void;
	stop(): void;
};
