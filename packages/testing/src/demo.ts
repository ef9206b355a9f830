/**
 * `npm run demo [-- --deployment fixture|notebook]`: runs a scaled deployment in separate processes through a change of
 * settings, a drain, a graceful stop and a kill, then checks every answer. Exits 0 only if every check held.
 */
import process from 'node:process';
import {parseArgs} from 'node:util';
import {Demo} from './demos.js';
import {FixtureWork, NotebookWork} from './demo-works.js';

const {values} = parseArgs({options: {deployment: {type: 'string', default: 'fixture'}, seconds: {type: 'string', default: '14'}}});
const works = {fixture: FixtureWork, notebook: NotebookWork};
const work = works[values.deployment as keyof typeof works];
if (work === undefined) {
	console.error(`deployment "${values.deployment}" does not exist; there are: ${Object.keys(works).join(', ')}`);
	process.exit(2);
}

const demo = await Demo.create(work.create());
try {
	const isHeld = await demo.run(Number(values.seconds) * 1000);
	process.exitCode = isHeld ? 0 : 1;
} finally {
	await demo.close();
}
