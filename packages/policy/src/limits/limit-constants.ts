/** How much faster or slower a clock may run. */
export const clockDriftFactor = 1.01;
/** How long a share may be used for new starts, counted by its holder from its request. */
export const leaseMs = 2000;
/** How often shares in use are renewed. */
export const renewalIntervalMs = 1000;
/** How often the book looks for work and notices that the process was paused. */
export const tickMs = 250;
/** After a gap of this length between two ticks the process was paused for so long that others may have taken over. */
export const longestTickGapMs = 5000;
/**
 * How long a share manager waits beyond a lease before it uses the share again. Covers a second lease under the
 * first one (a share lent to another availability zone) and the time until all daemons see the same members.
 */
export const takeoverMarginMs = 6000;
/** How long a minority of an availability zone's daemons goes on with its part. */
export const minorityLifetimeMs = 30_000;
/** How long daemons may differ in when they notice a failure. */
export const detectionSpreadMs = 10_000;
/** A larger part of an availability zone counts after all zones have been visible for this long. */
export const divisionGrowthDelayMs = 10_000;
