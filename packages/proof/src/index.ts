export * from './explore/limits/run-limit-schedules.js';
