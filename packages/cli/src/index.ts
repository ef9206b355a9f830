export * from './entries.js';
export * from './exits.js';
