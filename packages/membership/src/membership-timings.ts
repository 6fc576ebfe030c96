/** How often the failure detector looks at the daemons that it watches, and repeats an unanswered ping. */
export const probeIntervalMs = 200;

/** A watched daemon that was not heard for this long is pinged. */
export const pingIdleMs = 1000;

/** A daemon is suspected after this many pings without an answer, direct or through others. */
export const pingsBeforeSuspicion = 4;

/** How many other daemons are asked to ping for this one. */
export const indirectPingHelpers = 3;

const minSuspicionMs = 400;
const suspicionPerDecadeMs = 200;

/**
 * Gets how long a suspicion stands before the daemon is declared dead. It grows with the logarithm of the zone's size,
 * as does the time that a refutation needs to spread.
 * @param zoneSize - The number of live daemons of the availability zone.
 */
export function getSuspicionTimeoutMs(zoneSize: number): number {
	return minSuspicionMs + (suspicionPerDecadeMs * Math.log10(Math.max(1, zoneSize)));
}

/** The pause between two rounds of gossip, while there is something to tell. */
export const gossipIntervalMs = 100;

/** A change waits this long for others that go with it. */
export const gossipDelayMs = 10;

/** How many daemons get each round of gossip. */
export const gossipFanout = 3;

/**
 * Gets how often a daemon passes on each change.
 * @param zoneSize - The number of live daemons of the availability zone.
 */
export function getTransmissionLimit(zoneSize: number): number {
	return Math.ceil(2 * Math.log2(zoneSize + 1));
}

/** How often digests are compared with one random daemon of the availability zone. */
export const exchangeIntervalMs = 10_000;

/** How often a daemon that is not heard is tried again. */
export const retryIntervalMs = 2000;

/** How often the seeds are tried until one has answered. */
export const joinIntervalMs = 500;

/** How long a dead daemon is remembered and tried again. */
export const deadRetentionMs = 3_600_000;

/** How often each gateway sends the summary of its availability zone. */
export const summaryIntervalMs = 4000;

/** An availability zone that was not heard for this long is marked unreachable. */
export const zoneTimeoutMs = 5000;

/** How often the reachability of availability zones is looked at. */
export const zoneCheckIntervalMs = 500;

/** How many daemons of an availability zone link it to each other one. */
export const gatewaysPerZone = 2;

/** How long a farewell is repeated before the daemon may stop. */
export const leaveDurationMs = 200;
