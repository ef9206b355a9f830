export * from './models.js';
export * from './placements.js';
export * from './rankings.js';
export * from './paces.js';
export * from './evictions.js';
export * from './sizing-plans.js';
export * from './demand-trends.js';
export * from './account-caps.js';
