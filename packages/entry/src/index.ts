export * from './callers.js';
export * from './configs.js';
export * from './daemons.js';
export * from './dispatches.js';
export * from './headers.js';
export * from './problems.js';
export * from './upstreams.js';
export * from './views.js';
