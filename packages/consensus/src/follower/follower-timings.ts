/** How often a daemon renews its subscription. The response shows whether the daemon is behind. */
export const subscribeIntervalMs = 2000;
/** How often a daemon without an active version subscribes. */
export const startupSubscribeIntervalMs = 500;
/** How long a daemon waits for a response before it tries the next source. */
export const subscribeTimeoutMs = 500;
/** How long a subscription is valid without being renewed. */
export const subscriptionLifetimeMs = 6000;
/** How long versions are batched before they are sent to subscribers. */
export const updateBatchMs = 100;
/** The number of children of a daemon in the distribution tree. */
export const fanOut = 8;
/** A daemon reports its configuration as possibly stale after this time without contact to a keeper. */
export const staleAfterMs = 15_000;
/** A daemon switches to another source after this time without contact to a keeper. */
export const sourceSwitchTimeoutMs = 12_000;
/** The target size of a piece of an update. A single change may exceed it. */
export const updatePieceBytes = 32_768;
/** The maximum number and size of recent steps that a daemon retains for its subscribers. */
export const maxRecentSteps = 512;
export const maxRecentBytes = 262_144;
/** The number of records after which a daemon with a disk replaces its log with a snapshot. */
export const maxFollowerRecords = 256;
/** How long a keeper that has just started starts no tasks while no majority confirms its evacuations: longer than an election. */
export const maxEvacuationCheckMs = 3500;
/** How often an order to evacuate is resent to the keepers, and a daemon is asked again whether it knows evacuations. */
export const evacuationResendMs = 250;
/** How long it may take to store an order before its outcome is reported as unknown. */
export const evacuationTimeoutMs = 4000;
/** How long the daemons have to confirm that they know evacuations. */
export const evacuationSupportTimeoutMs = 1000;
