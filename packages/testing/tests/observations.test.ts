import test from 'ava';
import {createStep, EmulatedSystem} from '../src/index.js';

const warmUpMs = 4000;
const observationMs = 5000;

// Guards against an observation of waiting tasks that fails and ends the planning pass that it was part of.
test('a failing observation of waiting tasks ends no planning pass', async t => {
	const lines: string[] = [];
	const system = await EmulatedSystem.create({
		seed: 1, write(line) {
			lines.push(line);
		},
	});
	const {clock} = system;
	await clock.run(warmUpMs);
	for (const {waits} of system.holder!.scheduler.pools) {
		waits.observe = () => {
			throw new Error('observation failed');
		};
	}

	const submitted = system.submit([createStep({count: 2})], 800);
	await clock.run(observationMs);
	const state = system.getState(await submitted);
	await clock.run(500);
	t.is(await state, 'succeeded');
	t.deepEqual(lines.filter(line => line.includes('planning failed')), []);
	t.true(lines.some(line => line.includes('waiting tasks not observed')));
});
