/** How often a daemon renews its subscription; the answer tells it whether it lacks something. */
export const subscribeIntervalMs = 2000;
/** How often a daemon asks that has nothing in force yet. */
export const startupSubscribeIntervalMs = 500;
/** How long a daemon waits for an answer before it asks the next source. */
export const subscribeTimeoutMs = 500;
/** How long a subscription holds without being renewed. */
export const subscriptionLifetimeMs = 6000;
/** How long versions are gathered before they are passed on. */
export const updateBatchMs = 100;
/** How many daemons one daemon sends to. */
export const fanOut = 8;
/** A daemon says that its configuration may be stale when no keeper was heard for this long. */
export const staleAfterMs = 15_000;
/** A daemon whose source has not heard a keeper for this long asks another one. */
export const sourceSwitchTimeoutMs = 12_000;
/** The size of a piece of an update. */
export const updatePieceBytes = 32_768;
/** What a daemon keeps of the last changes, for those that it sends to. */
export const maxRecentSteps = 512;
export const maxRecentBytes = 262_144;
/** After how many records the log of a daemon with a disk is replaced by a snapshot. */
export const maxFollowerRecords = 256;
