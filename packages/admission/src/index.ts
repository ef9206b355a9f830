export * from './naive-schedulers.js';
export * from './schedulers.js';
