/** The lease asked for with each renewal. */
export const leaseMs = 1000;
/** How long a renewal may wait at the backend server for an end. */
export const renewWaitMs = 300;
/** How long an order may stay unanswered before its fate is found out by a claim. */
export const orderTimeoutMs = 150;
/** How long a claim may stay unanswered before it is sent again. */
export const claimTimeoutMs = 200;
/** The first pause between two unanswered claims; it doubles. */
export const shortestClaimPauseMs = 50;
export const longestClaimPauseMs = 400;
/** Unanswered claims after which a backend server counts as silent. */
export const claimsUntilSilent = 2;
/** How long a run of an earlier placer may wait for its job to be submitted again. */
export const unclaimedRunGraceMs = 300;
/**
 * How long runs may go on after the last lease of this placer: another one that claims the backend server gives a lease
 * of its own until it has found out that nobody waits for them, and has stopped them.
 */
export const takeoverMarginMs = 500;
