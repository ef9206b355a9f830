export * from './clients.js';
export * from './entries.js';
export * from './exits.js';
export * from './jobs.js';
export * from './statuses.js';
