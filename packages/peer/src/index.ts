export * from './buses.js';
export * from './grpc-buses.js';
export * from './leases.js';
export * from './links.js';
export * from './memories.js';
export * from './servers.js';
export * from './gen/tamarackwind/peer/v1/peer.js';
