export * from './models.js';
export * from './placements.js';
export * from './rankings.js';
export * from './paces.js';
export * from './evictions.js';
export * from './sizing-plans.js';
export * from './demand-trends.js';
export * from './submission-caps.js';
<<<<<<< HEAD
export * from './account-caps.js';
=======
export * from './hash-fractions.js';
export * from './job-orders.js';
export * from './deferred-jobs.js';
export * from './capacity-estimates.js';
export * from './arrival-rates.js';
>>>>>>> 6aa307fc5cbf971e1349f8f7cf2f0dbcae5c2992
