import type {
	EventLog, MetricSink, PeerNetwork, RandomSource, TimerService,
} from '@camphortack/core';
import type {BackendServerClient} from '@camphortack/placement';
import type {ClusterHintStore} from './hints/cluster-hints.js';
import type {NumberedDocument} from './configuration/latest-document.js';

export type ClusterOptions = {
	/** The address at which other daemons reach this one; it is also its id. */
	ownId: string;
	/** A number that is unique among the daemons of the deployment, and sorts them as `compareDaemonIds` sorts their ids. */
	daemonNumber: number;
	availabilityZone: string;
	/** Whether this daemon has a disk and takes part in the consensus on the configuration. */
	isKeeper: boolean;
	/** The processor time that this VM may use; omitted if it is not known. */
	cpuMillicores?: number;
	/** Daemons that are always contacted, to discover the others. */
	seedIds: readonly string[];
	peers: PeerNetwork;
	/** Reopens the link to a daemon. */
	resetLink: (peerId: string) => void;
	backendServerClient: BackendServerClient;
	/** The factor by which a task takes longer on a rack without its data. Without it, tasks never wait for such a rack. */
	remoteRunFactor?: number | undefined;
	/** The memory for the open jobs and results of a placer on this daemon; unlimited if it is missing. */
	jobMemoryBytes?: number | undefined;
	/** How many backend servers may be known when one that is not announces itself here; unlimited if it is missing. */
	maxBackendServers?: number | undefined;
	/** Omitted on a VM without a disk. */
	hintStore?: ClusterHintStore;
	timers: TimerService;
	random: RandomSource;
	events: EventLog;
	metrics: MetricSink;
	/** Called with each newer configuration. */
	onConfiguration: (document: NumberedDocument) => void;
	/** Called before heartbeats are sent, with the daemons to contact and the keepers that are alive. */
	onContacts: (contactIds: readonly string[], keeperIds: readonly string[]) => void;
};
