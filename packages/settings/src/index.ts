export * from './defaults.js';
export * from './files.js';
export * from './resolutions.js';
export * from './schemas.js';
