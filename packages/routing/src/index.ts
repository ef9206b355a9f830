export * from './health-trackers.js';
export * from './home-entries.js';
export * from './leaving-vms.js';
export * from './outcomes.js';
export type {WorkClass} from '@tamarackwind/settings';
