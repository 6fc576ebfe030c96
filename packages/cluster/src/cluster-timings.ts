/** Heartbeat interval of the placer. */
export const placerHeartbeatMs = 100;
/** Heartbeat interval of every other daemon. */
export const heartbeatMs = 250;
/** Minimum interval between replies to a daemon that sends heartbeats although this daemon sends it none. */
export const replyIntervalMs = 1000;
/** How often a heartbeat includes the list of members. */
export const memberListIntervalMs = 1000;
/** Time without a heartbeat after which a daemon no longer hears the placer. */
export const placerTimeoutMs = 450;
/**
 * Time without a heartbeat after which the placer is overdue: new jobs are not sent to it, since the next placer could not
 * tell whether they have started.
 */
export const placerOverdueMs = 250;
/** Time without a heartbeat after which another daemon no longer counts as alive. */
export const memberTimeoutMs = 700;
/**
 * Time without an announcement of another shard's placer after which jobs forwarded there end as unknown. Longer than it
 * takes that shard to replace its placer, which then takes the jobs over.
 */
export const shardTimeoutMs = 1000;
/** Time without a heartbeat after which the others do not wait for a daemon to become the placer: one heartbeat is missing. */
export const candidateTimeoutMs = 350;
/** How long a silent daemon still counts towards the majority of its availability zone. */
export const memberRetentionMs = 20_000;
/** Minimum uptime of a daemon that becomes the placer, so that it discovers the other daemons first. */
export const minCandidateUptimeMs = 1200;
/** The same for a daemon that hears every seed: no other daemon can then know of a placer that it does not know. */
export const minCandidateUptimeWithAllSeedsMs = 350;
/** How long a keeper must have been up, and have followed an entry daemon as placer, before it takes over from it. */
export const keeperPreferenceDelayMs = 1000;
/** Added to the uptime of other daemons, so that daemons started within this time of each other count as equally warmed up. */
export const startTimeToleranceMs = 400;
/** How much longer a daemon without a disk waits before it becomes the first placer, so that a keeper is elected first. */
export const nonKeeperDelayMs = 800;
/** How often the election checks the members. */
export const electionIntervalMs = 50;
/** How long a link may fail in one direction before it is reopened. */
export const linkTimeoutMs = 900;
/** Time without a message from an entry daemon after which the placer stops its jobs. */
export const entryTimeoutMs = 700;
/**
 * How long runs may go on of a job whose entry daemon no longer waits for it: a placer ends the jobs of a silent entry daemon within one and
 * a half timeouts, and the leases of a placer that is lost then expire.
 */
export const leftJobRetentionMs = 2500;
/** How often an entry daemon sends the placer the ids of its open jobs. */
export const openJobsIntervalMs = 200;
/** When a placer that has stopped repeats which jobs it has not begun: after a lost message, and within the search for their runs. */
export const notBegunRepetitionMs = 200;
/** How long a new job waits for a placer to become known before it is refused. */
export const placerWaitTimeoutMs = 300;
/**
 * How long the jobs of an evacuated availability zone still go through its own placer, which knows the runs of earlier
 * submissions. All of these are over by then: their callers have timed out, and so have the leases.
 */
export const evacuationSettleMs = 4000;
/** How long the report of a draining backend server waits for the placer to acknowledge it. */
export const reportTimeoutMs = 700;
/** How often the report of an unchanged backend server is sent to the other daemons. */
export const reportIntervalMs = 10_000;
/** How long messages to a daemon that has just joined may be lost, because the link to it is still being opened. */
export const joinSettlingMs = 1000;
/** Time without a heartbeat after which a backend server is removed from the registry. */
export const registryRetentionMs = 30_000;
/** How often the registry of a placer is requested that differs from the own one. */
export const registryRefreshIntervalMs = 500;
/** How often a placer sends the backend servers that it uses again to an entry daemon that has not recorded them. */
export const recordRepetitionMs = 150;
/** Time since the last message of an entry daemon after which a placer does not send it new backend servers until it is heard again. */
export const recordReceiverTimeoutMs = 2000;
/** How long a record that was handed over can be requested: longer than the search for runs goes on. */
export const handedOverRecordRetentionMs = 10_000;
/** Minimum interval between requests for the same record. */
export const recordRequestIntervalMs = 100;
/** Minimum interval between requests for a newer configuration. */
export const configurationRequestIntervalMs = 300;
/** Minimum interval between requests for newer evacuations. */
export const evacuationRequestIntervalMs = 100;
/** A longer gap between two election checks means that this process was suspended. */
export const maxElectionGapMs = 200;
/** How long most backend servers may reject the tokens of a placer before it raises its term. */
export const supersededDelayMs = 200;
/** The same for a placer that hears only a minority: the others have a placer, and are heard again once the links recover. */
export const supersededInMinorityDelayMs = 2500;
/** By how much a superseded placer raises its term. */
export const termIncrement = 64;
/** How often the set of backend servers that the placer may claim is updated. */
export const serverRefreshIntervalMs = 250;
