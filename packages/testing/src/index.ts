export * from './clusters.js';
export * from './league-checks.js';
export * from './leagues.js';
export * from './notebook-checks.js';
export * from './notebooks.js';
export * from './job-worlds.js';
export * from './platforms.js';
export * from './processes.js';
<<<<<<< HEAD
export * from './tasks.js';
=======
export * from './relays.js';
>>>>>>> main
export * from './workers.js';
export * from './balancers.js';
export * from './demo-callers.js';
export * from './demo-works.js';
export * from './demos.js';
export * from './worker-hosts.js';
export * from './worker-processes.js';
export * from './histories.js';
export * from './http-calls.js';
export * from './raw-answers.js';
