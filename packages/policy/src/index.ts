export type * from './ejection/ejection-tracker.js';
export type * from './estimates/run-time-estimator.js';
export type * from './limits/limit-book.js';
export type * from './queue/fair-queue.js';
export type * from './retries/retry-budget.js';
