export * from './objects/object-schemas.js';
