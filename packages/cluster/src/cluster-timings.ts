/** How often the placer sends a heartbeat. */
export const placerHeartbeatMs = 100;
/** How often every other daemon sends one. */
export const heartbeatMs = 250;
/** How often a daemon is answered that sends heartbeats though none are exchanged with it. */
export const replyIntervalMs = 1000;
/** How often a heartbeat carries the list of members. */
export const memberListIntervalMs = 1000;
/** How long a placer may be silent before a daemon no longer hears it. */
export const placerTimeoutMs = 450;
/** How long another daemon may be silent before it does not count as alive. */
export const memberTimeoutMs = 700;
/** How long a daemon that fell silent stays in the count of its availability zone. */
export const memberRetentionMs = 20_000;
/** How long a daemon must be up before it can become the placer, so that it knows the others first. */
export const minCandidateUptimeMs = 1200;
/** How long it must be up if it hears every seed: nobody is left who could know of a placer that it does not know. */
export const minCandidateUptimeWithAllSeedsMs = 350;
/** Daemons that started within this time of each other count as equally settled. */
export const startTimeToleranceMs = 400;
/** How much longer a daemon without a disk waits before it becomes the first placer. */
export const nonKeeperDelayMs = 800;
/** How often the election looks at the members. */
export const electionIntervalMs = 50;
/** How long a link may fail in one direction before it is opened again. */
export const linkTimeoutMs = 900;
/** How long the jobs of a silent entry daemon run on. */
export const entryTimeoutMs = 700;
/** How often an entry daemon tells the placer which jobs it waits for. */
export const openJobsIntervalMs = 200;
/** How long a new job may wait for a placer to be known. */
export const placerWaitTimeoutMs = 300;
/** How long a report of a leaving backend server may wait for the placer. */
export const reportTimeoutMs = 700;
/** How often an unchanged backend server is reported to the other daemons. */
export const reportIntervalMs = 10_000;
/** How long a backend server without a heartbeat stays in the registry. */
export const registryRetentionMs = 30_000;
/** How often a missing configuration is asked for again. */
export const configurationRequestIntervalMs = 300;
/** A longer pause between two looks at the members shows that this process stood still. */
export const maxElectionGapMs = 200;
/** How long most backend servers may reject the tokens of a placer before it raises its term. */
export const supersededDelayMs = 200;
/** The same for a placer that hears few daemons: the others have a placer, and will be heard again once links are up. */
export const supersededInMinorityDelayMs = 2500;
/** By how much the term is raised then. */
export const termIncrement = 64;
/** How often the placer looks which backend servers it may claim. */
export const serverRefreshIntervalMs = 250;
