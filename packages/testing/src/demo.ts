/**
 * `npm run demo [-- --deployment fixture|notebook]`: runs a scaled-down deployment in separate processes through a settings change,
 * a drain, a graceful stop and a kill, then validates every result. Exits with 0 only if all checks pass.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {DemoRun} from './demo-runs.js';
import {FixtureWorkload, NotebookWorkload} from './demo-workloads.js';

const {values} = parseArgs({options: {deployment: {type: 'string', default: 'fixture'}, seconds: {type: 'string', default: '14'}}});
const workloads = {fixture: FixtureWorkload, notebook: NotebookWorkload};
const workloadClass = workloads[values.deployment as keyof typeof workloads];
if (workloadClass === undefined) {
	console.error(`unknown deployment "${values.deployment}"; expected one of: ${Object.keys(workloads).join(', ')}`);
	process.exit(2);
}

const demo = await DemoRun.create(workloadClass.create());
try {
	const hasPassed = await demo.run(Number(values.seconds) * 1000);
	process.exitCode = hasPassed ? 0 : 1;
} finally {
	await demo.close();
}
