export * from './adapters/node-file-system.js';
export * from './errors/storage-error.js';
export * from './folder/data-folder.js';
export * from './hints/open-hint-file.js';
export * from './log/create-memory-record-log.js';
export * from './log/open-record-log.js';
export type * from './log/record-log.js';
export * from './ports/file-system.js';
export * from './utils/record-codec.js';
