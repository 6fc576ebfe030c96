export * from './dispatcher/create-dispatcher.js';
export type * from './dispatcher/dispatcher.js';
export * from './dispatcher/task-starter.js';
