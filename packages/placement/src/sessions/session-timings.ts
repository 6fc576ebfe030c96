/** The duration of the lease requested with each renewal. */
export const leaseMs = 1000;
/** Upper limit on the timeout of a claim, which doubles with each unanswered one. */
export const maxClaimTimeoutMs = 200;
/** The delay before the first retry of an unanswered claim; it doubles with each further retry. */
export const minClaimRetryDelayMs = 10;
export const maxClaimRetryDelayMs = 400;
/** Number of consecutive unanswered claims after which a session is `silent`. */
export const unansweredClaimsUntilSilent = 3;
/** How long a run of an earlier placer is kept until its job is submitted to this placer; then it is stopped. */
export const unknownRunGraceMs = 300;
/** How often it is checked whether entry daemons may still submit the jobs of unknown runs: they take a round trip to do so at a takeover. */
export const unknownRunCheckMs = 50;
/**
 * How long runs may continue after the last lease of this placer has expired. A placer that does not know them grants no lease, but one of
 * an earlier version does until it has found that their jobs are not submitted to it and has stopped them.
 */
export const takeoverMarginMs = 500;
/** Copies of a renewal without a wait that are sent in place of an unanswered one before the backend server is claimed anew. */
export const minRenewalCopyCount = 2;
/** How long each of several parallel renewals waits: a lost one costs a connection, so they are not repeated more often than needed. */
export const parallelRenewWaitMs = 100;
