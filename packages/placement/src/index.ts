export type * from './jobs/job-handover.js';
export * from './jobs/job-request.js';
export * from './messages/job-outcome.js';
export * from './messages/placement-messages.js';
export * from './placer/create-placer.js';
export type * from './placer/placer.js';
export * from './ports/backend-server-client.js';
export type * from './ports/server-sources.js';
export * from './servers/backend-server-description.js';
