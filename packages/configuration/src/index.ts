export * from './check/check-configuration-input.js';
export * from './check/check-configuration-objects.js';
export * from './files/read-configuration-files.js';
export * from './findings/configuration-finding.js';
export * from './findings/configuration-places.js';
export * from './objects/object-kinds.js';
export * from './objects/object-schemas.js';
export * from './utils/find-own.js';
