export * from './backend/stand-in-backend-server.js';
export * from './network/crowd.js';
export * from './network/fake-network.js';
export * from './process/read-process-usage.js';
export * from './sinks/recording-event-log.js';
export * from './sinks/recording-metric-sink.js';
export * from './time/process-timers.js';
export * from './time/virtual-timers.js';
