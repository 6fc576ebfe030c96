export * from './create-membership.js';
export type * from './membership.js';
