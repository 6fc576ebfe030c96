export type * from './cluster.js';
export type * from './cluster-options.js';
export * from './configuration/document-holder.js';
export * from './create-cluster.js';
export * from './hints/cluster-hints.js';
export type {EntryJob, JobTicket} from './entry/entry-desk.js';
export * from './configuration/dispatch-configuration.js';
export * from './configuration/find-queue.js';
