export * from './runtime/start-daemon.js';
