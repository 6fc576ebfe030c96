export type * from './cluster.js';
export type * from './cluster-options.js';
export * from './configuration/latest-document.js';
export * from './create-cluster.js';
export * from './hints/cluster-hints.js';
export type {EntryJob, JobSubscription} from './entry/job-submitter.js';
export * from './configuration/dispatch-configuration.js';
export * from './configuration/find-queue.js';
export * from './utils/compare-daemon-ids.js';
