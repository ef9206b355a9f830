import {defaultBounds, type Bounds} from '@tamarackwind/workflows';
import {type VmId} from '@tamarackwind/core';
import test from 'ava';
import {createStep, EmulatedSystem} from '../src/index.js';

const shortLeases: Bounds = {...defaultBounds, maxWorkerLeaseMs: 6000};

type Silence = {
	readonly name: string;
	readonly apply: (system: EmulatedSystem, vm: VmId, durationMs: number) => void;
	/** Returns the longest silence that the work survives, in milliseconds. */
	readonly getMaxMs: (bounds: Bounds) => number;
};

const silences: readonly Silence[] = [
	{
		name: 'responses are lost', getMaxMs: () => 12_000, apply(system, vm, durationMs) {
			system.fleet.setSilent(vm, durationMs);
		},
	},
	{
		name: 'nothing gets through', getMaxMs: ({maxWorkerLeaseMs}) => 0.6 * maxWorkerLeaseMs, apply(system, vm, durationMs) {
			system.fleet.setUnreachable(vm, durationMs);
		},
	},
];

const durationsMs = [1000, 3000, 4500, 6000, 9000, 12_000];
const taskMs = 16_000;
const tasks = 4;

for (const bounds of [defaultBounds, shortLeases]) {
	for (const {name, apply, getMaxMs} of silences) {
		for (const durationMs of durationsMs.filter(ms => ms <= getMaxMs(bounds))) {
			test(`leases of ${bounds.maxWorkerLeaseMs} ms, ${name} for ${durationMs} ms: work goes on and is not started again`, async t => {
				const system = await EmulatedSystem.create({seed: 5, bounds, pools: [['north', 4], ['spare', 2]]});
				await system.clock.run(3000);
				const submitted = Promise.all([
					system.submit([createStep({count: tasks, antiAffinity: 1})], taskMs),
					system.submit([createStep({count: tasks, antiAffinity: 1, isLongRunning: true})], taskMs),
					system.submit([createStep({count: tasks, antiAffinity: 1, isGang: true})], taskMs),
				]);
				await system.clock.run(2000);
				const [batch, , gang] = await submitted;
				const {starts} = system.fleet.counts;
				t.is(starts, 3 * tasks);
				const vm = system.fleet.vms.find(({id}) => system.fleet.countRunsOn(id) > 0)!.id;
				apply(system, vm, durationMs);
				await system.clock.run(taskMs + durationMs);
				const states = Promise.all([system.getState(batch), system.getState(gang)]);
				await system.clock.run(2000);
				t.deepEqual(await states, ['succeeded', 'succeeded']);
				t.is(system.fleet.counts.starts, starts);
				t.is(system.fleet.counts.lapsed, 0);
				t.deepEqual(system.fleet.violations, []);
			});
		}
	}
}
