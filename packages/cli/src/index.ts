export * from './adapters/crypto-random-source.js';
export type * from './camphortack-context.js';
export * from './exit-codes.js';
export * from './page/get-command-line-page.js';
export * from './run-camphortack.js';
