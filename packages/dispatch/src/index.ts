export * from './dispatcher/create-dispatcher.js';
export type * from './dispatcher/dispatcher.js';
export * from './dispatcher/task-starter.js';
export type * from './explaining/explain-job.js';
export type {ServerExclusion} from './explaining/find-server-exclusion.js';
