import {type JobId} from '@tamarackwind/core';
import test from 'ava';
import {createStep, EmulatedSystem} from '../src/index.js';

type LogLine = {readonly message: string; readonly worker?: string};

const observationMs = 6000;

type Case = {readonly name: string; readonly applyEvent: (system: EmulatedSystem) => void};

const cases: readonly Case[] = [
	{
		name: 'an upkeep', applyEvent(system) {
			void system.startWave('wave-1', system.fleet.vms.map(({id}) => id), 2);
		},
	},
	{
		name: 'a crash', applyEvent(system) {
			for (const {id} of system.fleet.vms.slice(0, 4)) {
				system.fleet.crashVm(id, 20_000);
			}
		},
	},
];

for (const {name, applyEvent} of cases) {
	test(`a worker whose incarnation ${name} has ended receives no more calls while the registry still lists it`, async t => {
		const lines: LogLine[] = [];
		const system = await EmulatedSystem.create({
			seed: 3, write(line) {
				lines.push(JSON.parse(line) as LogLine);
			},
		});
		await system.clock.run(4000);
		const submitted: JobId[] = [];
		const submit = async (): Promise<void> => {
			submitted.push(await system.submit([createStep({count: 3, isLongRunning: true, antiAffinity: 1})], 1000));
		};

		const submissions = Promise.all([submit(), submit()]);
		await system.clock.run(2000);
		await submissions;
		applyEvent(system);
		await system.clock.run(observationMs);
		const endedWorkers = lines.filter(({message}) => message === 'worker life ended').map(({worker}) => worker);
		t.true(endedWorkers.length > 0);
		t.is(new Set(endedWorkers).size, endedWorkers.length, 'an incarnation ends once');
		const lastEndIndex = lines.findLastIndex(({message}) => message === 'worker life ended');
		const callsAfterEnd = lines.slice(lastEndIndex + 1).filter(({message, worker}) => message === 'worker not listed' && endedWorkers.includes(worker));
		t.deepEqual(callsAfterEnd, []);
	});
}
