export * from './adapters/crypto-random-source.js';
export type * from './camphortack-context.js';
export * from './exit-codes.js';
export * from './run-camphortack.js';
