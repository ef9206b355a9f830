export * from './clocks.js';
export * from './errors.js';
export * from './ids.js';
export * from './line-writers.js';
export * from './logs.js';
export * from './loops.js';
export * from './random-sources.js';
export * from './verdicts.js';
