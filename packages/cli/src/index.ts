export * from './clients.js';
export * from './entries.js';
export * from './exits.js';
export * from './statuses.js';
