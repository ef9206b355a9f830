import test from 'ava';
import {createStep, EmulatedSystem, sparePool} from '../src/index.js';

/** Number of VMs that an idle pool keeps. */
const minVms = 5;
const waveMs = 6000;
const shrinkMs = 16_000;

type Case = {readonly name: string; readonly applyEvent: (system: EmulatedSystem) => void};

const cases: readonly Case[] = [
	{name: 'the lease holder stays the same', applyEvent() {}},
	{
		name: 'another entry takes over the leader lease', applyEvent(system) {
			system.killEntry(system.holder!);
		},
	},
];

for (const {name, applyEvent} of cases) {
	test(`idle VMs that a wave has rebooted are switched off, also when ${name} (fixture site, inc-fb8d)`, async t => {
		const system = await EmulatedSystem.create({seed: 11, pools: [['north', 12], [sparePool, 1]]});
		await system.clock.run(1500);
		const submitted = system.submit([createStep({count: 200})], 3000);
		await system.clock.run(500);
		await submitted;
		void system.startWave('wave-1', system.fleet.vms.map(({id}) => id), 13);
		await system.clock.run(waveMs);
		applyEvent(system);
		await system.clock.run(shrinkMs);
		const north = system.fleet.listVms().filter(vm => vm.pool as string === 'north');
		t.is(north.length, minVms);
	});
}
