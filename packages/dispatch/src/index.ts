export type * from './dispatcher/dispatcher.js';
export * from './dispatcher/task-starter.js';
