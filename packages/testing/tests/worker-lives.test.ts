import {type JobId} from '@tamarackwind/core';
import test from 'ava';
import {createStep, EmulatedSystem} from '../src/index.js';

type Line = {readonly message: string; readonly worker?: string};

const lookMs = 6000;

type Case = {readonly name: string; readonly act: (system: EmulatedSystem) => void};

const cases: readonly Case[] = [
	{
		name: 'an upkeep', act(system) {
			void system.startWave('wave-1', system.fleet.vms.map(({id}) => id), 2);
		},
	},
	{
		name: 'a crash', act(system) {
			for (const {id} of system.fleet.vms.slice(0, 4)) {
				system.fleet.crashVm(id, 20_000);
			}
		},
	},
];

for (const {name, act} of cases) {
	test(`a worker that ${name} has ended gets no more calls while the registry still lists it`, async t => {
		const lines: Line[] = [];
		const system = await EmulatedSystem.create({
			seed: 3, write(line) {
				lines.push(JSON.parse(line) as Line);
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
		act(system);
		await system.clock.run(lookMs);
		const ended = lines.filter(({message}) => message === 'worker life ended').map(({worker}) => worker);
		t.true(ended.length > 0);
		t.is(new Set(ended).size, ended.length, 'a life ends once');
		const lastEnd = lines.findLastIndex(({message}) => message === 'worker life ended');
		const futile = lines.slice(lastEnd + 1).filter(({message, worker}) => message === 'worker not listed' && ended.includes(worker));
		t.deepEqual(futile, []);
	});
}
