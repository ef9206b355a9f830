export * from './buses.js';
export * from './leases.js';
export * from './memories.js';
export * from './gen/tamarackwind/peer/v1/peer.js';
