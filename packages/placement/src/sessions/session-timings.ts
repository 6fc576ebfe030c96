/** The lease asked for with each renewal. */
export const leaseMs = 1000;
/** The longest time that a claim may stay unanswered before it is sent again. */
export const longestClaimTimeoutMs = 200;
/** The first pause between two unanswered claims; it doubles. */
export const shortestClaimPauseMs = 10;
export const longestClaimPauseMs = 400;
/** Unanswered claims after which a backend server counts as silent. */
export const claimsUntilSilent = 3;
/** How long a run of an earlier placer may wait for its job to be submitted again. */
export const unclaimedRunGraceMs = 300;
/**
 * How long runs may go on after the last lease of this placer: another one that claims the backend server gives a lease
 * of its own until it has found out that nobody waits for them, and has stopped them.
 */
export const takeoverMarginMs = 500;
