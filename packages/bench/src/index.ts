export * from './bench/deployments.js';
export * from './bench/run-row.js';
