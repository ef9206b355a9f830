export * from './gen/tamarackwind/peer/v1/peer.js';
