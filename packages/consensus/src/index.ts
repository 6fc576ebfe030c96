export * from './content/configuration-content.js';
export * from './content/get-changes.js';
export * from './content/object-change.js';
export * from './content/object-digest.js';
export * from './keeper/keeper.js';
export type * from './keeper/keeper-options.js';
export type {KeeperRecord} from './keeper/keeper-set.js';
export * from './publish/publish-schemas.js';
export type * from './content/version-history.js';
