export * from './clients.js';
export * from './entries.js';
export * from './exits.js';
export * from './moves.js';
export * from './pools.js';
export * from './statuses.js';
export * from './vms.js';
export * from './waves.js';
