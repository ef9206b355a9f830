export * from './healths.js';
export * from './homes.js';
export * from './leavings.js';
export * from './outcomes.js';
export type {WorkClass} from '@tamarackwind/settings';
