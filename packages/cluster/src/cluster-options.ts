import type {
	EventLog, MetricSink, PeerNetwork, RandomSource, TimerService,
} from '@camphortack/core';
import type {BackendServerClient} from '@camphortack/placement';
import type {ClusterHintStore} from './hints/cluster-hints.js';
import type {NumberedDocument} from './configuration/latest-document.js';

export type ClusterOptions = {
	/** The address at which other daemons reach this one; it also names it. */
	ownId: string;
	/** A number that no other daemon of the deployment has. */
	daemonNumber: number;
	availabilityZone: string;
	/** Whether this daemon has a disk and agrees on the configuration. */
	isKeeper: boolean;
	/** Daemons to contact first. */
	seedIds: readonly string[];
	peers: PeerNetwork;
	/** Opens the link to a daemon again. */
	resetLink: (peerId: string) => void;
	orders: BackendServerClient;
	/** Left out on a VM without a disk. */
	hintStore?: ClusterHintStore;
	timers: TimerService;
	random: RandomSource;
	events: EventLog;
	metrics: MetricSink;
	/** Called with each newer configuration. */
	onConfiguration: (document: NumberedDocument) => void;
	/** Called from time to time with the daemons to contact, and with those heard that agree on the configuration. */
	onContacts: (contactIds: readonly string[], keeperIds: readonly string[]) => void;
};
