export * from './log/record-log.js';
