export type * from './client/claim-decision.js';
export * from './client/register-client.js';
export * from './content/get-content-hash.js';
export * from './keeper/job-register.js';
export * from './partitions/assignment.js';
export * from './tickets/ticket.js';
export * from './tickets/ticket-table.js';
export {isClientMessage, isKeeperMessage} from './messages/register-messages.js';
