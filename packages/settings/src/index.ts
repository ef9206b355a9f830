export * from './changes.js';
export * from './checks.js';
export * from './defaults.js';
export * from './directories.js';
export * from './files.js';
export * from './resolutions.js';
export * from './schemas.js';
export * from './suggestions.js';
