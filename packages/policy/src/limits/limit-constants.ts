/** The maximum ratio between the rates of a clock and of real time, in either direction. */
export const clockDriftFactor = 1.01;
/** How long a share may be used for new starts, measured by its holder from when it sent the request. */
export const leaseMs = 2000;
/** The renewal interval of shares in use. */
export const renewalIntervalMs = 1000;
/** The interval of the periodic work of the limiter, which includes detecting that the process was paused. */
export const tickMs = 250;
/** After a longer gap between two ticks the process was paused, and other daemons may have taken over its dimensions. */
export const maxTickGapMs = 5000;
/**
 * How long a share manager waits after the end of a lease before it leases out the share again. Covers a second lease
 * nested in the first one (a share lent to another availability zone) and the time until all daemons see the same members.
 */
export const takeoverMarginMs = 6000;
/** How long a minority of the daemons of an availability zone may continue to use its part. */
export const minorityGracePeriodMs = 30_000;
/** The maximum difference between the times at which daemons detect the same failure. */
export const maxDetectionSkewMs = 10_000;
/** An increased part of an availability zone takes effect after all zones have been visible for this long. */
export const divisionGrowthDelayMs = 10_000;
