export * from './clients.js';
export * from './connections.js';
export * from './faults.js';
export * from './memories.js';
export * from './objects.js';
export * from './tables.js';
export * from './tasks.js';
export * from './vms.js';
