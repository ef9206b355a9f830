export * from './clusters.js';
export * from './platforms.js';
export * from './processes.js';
export * from './relays.js';
export * from './workers.js';
