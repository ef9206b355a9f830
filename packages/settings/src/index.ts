export * from './tree-changes.js';
export * from './checks.js';
export * from './defaults.js';
export * from './settings-directories.js';
export * from './jsonc-files.js';
export * from './resolutions.js';
export * from './schemas.js';
export * from './suggestions.js';
