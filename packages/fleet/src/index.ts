export * from './views.js';
