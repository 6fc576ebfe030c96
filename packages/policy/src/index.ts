export * from './ejection/ejection-tracker.js';
export * from './estimates/run-time-estimator.js';
export * from './limits/create-distributed-limiter.js';
export type * from './limits/limiter.js';
export * from './queue/fair-queue.js';
export type * from './queue/queued-task.js';
export * from './retries/retry-budget.js';
