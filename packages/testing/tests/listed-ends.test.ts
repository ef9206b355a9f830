import test from 'ava';
import {createStep, EmulatedSystem} from '../src/index.js';

const warmUpMs = 4000;
const finishMs = 40_000;
/** More than a worker lists at a time. */
const tasks = 1200;
const step = createStep({count: tasks, resources: {cpu: 5, memory: 1, gpu: 0}, estimatedMs: 2000});

type Case = {
	readonly name: string;
	readonly taskMs: number;
	/** Called with the submission. */
	readonly disturb: (system: EmulatedSystem) => void;
};

/** Kills all entries at a time after the submission, and starts others after a further time. */
function killAll(system: EmulatedSystem, killAt: number, downMs: number): void {
	const {clock} = system;
	clock.schedule(killAt, () => {
		for (const entry of system.entries) {
			system.killEntry(entry);
		}

		for (let entry = 0; entry < 3; entry++) {
			clock.schedule(downMs + (entry * 100), () => {
				system.startEntry();
			});
		}
	});
}

const cases: readonly Case[] = [
	{
		name: 'all entries are killed once all of its tasks run', taskMs: 7500, disturb(system) {
			killAll(system, 7000, 2000);
		},
	},
	{
		name: 'all entries are killed while its tasks start', taskMs: 2000, disturb(system) {
			killAll(system, 3000, 3000);
		},
	},
	{
		name: 'all entries are killed while its tasks end', taskMs: 6500, disturb(system) {
			killAll(system, 8000, 1500);
		},
	},
	{
		name: 'the store is silent while its tasks end', taskMs: 5000, disturb({clock, entries}) {
			for (const {tables: {faults}} of entries) {
				clock.schedule(5000, () => {
					faults.isUnresponsive = true;
				});
				clock.schedule(9000, () => {
					faults.isUnresponsive = false;
				});
			}
		},
	},
];

// Guards against a run that a worker does not list, since more runs have ended than a listing holds, and that is taken for one that never began (TWICE).
for (const {name, taskMs, disturb} of cases) {
	test(`a job of ${tasks} tasks on one worker runs each once if ${name}`, async t => {
		const system = await EmulatedSystem.create({seed: 5, pools: [['north', 1], ['spare', 0]]});
		const {clock, fleet} = system;
		await clock.run(warmUpMs);
		const submitted = system.submit([step], taskMs);
		disturb(system);
		await clock.run(finishMs);
		const state = system.getState(await submitted);
		await clock.run(500);
		t.is(await state, 'succeeded');
		t.deepEqual(fleet.violations.slice(0, 5), []);
	});
}
