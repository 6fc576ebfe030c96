export * from './peers/frame-codec.js';
export * from './peers/peer-hello.js';
export * from './peers/tcp-peer-network.js';
export * from './random/create-process-random-source.js';
export * from './time/system-timers.js';
export * from './logs/json-event-log.js';
export * from './metrics/prometheus-metric-sink.js';
