/** The probe period of the failure detector. An unanswered ping is repeated once per period. */
export const probeIntervalMs = 200;

/** A watched daemon is pinged if no message has arrived from it for this long. */
export const pingIdleMs = 1000;

/** A daemon becomes suspect after this many pings without an ack, either direct or relayed. */
export const pingsBeforeSuspicion = 4;

/** The number of other daemons that are asked to ping an unresponsive daemon indirectly. */
export const indirectPingHelpers = 3;

const minSuspicionMs = 400;
const suspicionPerDecadeMs = 200;

/**
 * Gets the time between suspecting a daemon and declaring it dead. It grows with the logarithm of the zone size, as does
 * the time that a refutation needs to reach all daemons by gossip.
 * @param zoneSize - The number of live daemons of the availability zone.
 */
export function getSuspicionTimeoutMs(zoneSize: number): number {
	return minSuspicionMs + (suspicionPerDecadeMs * Math.log10(Math.max(1, zoneSize)));
}

/** The interval between gossip rounds while updates are pending. */
export const gossipIntervalMs = 100;

/** The delay between a change and its first transmission, so that changes that arrive together share a message. */
export const gossipDelayMs = 10;

/** The number of daemons that each gossip round is sent to. */
export const gossipFanout = 3;

/**
 * Gets the number of times that a daemon transmits each update.
 * @param zoneSize - The number of live daemons of the availability zone.
 */
export function getTransmissionLimit(zoneSize: number): number {
	return Math.ceil(2 * Math.log2(zoneSize + 1));
}

/** The interval of the anti-entropy exchange with one random daemon of the availability zone. */
export const exchangeIntervalMs = 10_000;

/** The interval of contacting a dead daemon or an unknown seed again. */
export const retryIntervalMs = 2000;

/** The interval of contacting the seeds until one of them replies. */
export const joinIntervalMs = 500;

/** The time for which the record of a dead daemon is kept and the daemon is contacted again. */
export const deadRetentionMs = 3_600_000;

/** The interval at which each gateway sends a summary of its availability zone. */
export const summaryIntervalMs = 4000;

/** An availability zone is marked as unreachable if no message has arrived from it for this long. */
export const zoneTimeoutMs = 5000;

/** The interval of the reachability checks of the other availability zones. */
export const zoneCheckIntervalMs = 500;

/** The number of gateways that an availability zone has to each other zone. */
export const gatewaysPerZone = 2;

/** The time between announcing the leave, which is repeated after half of it, and stopping the daemon. */
export const leaveDurationMs = 200;
