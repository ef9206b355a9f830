import {type PoolName, type ServiceName, type VmId} from '@tamarackwind/core';
import {type Configuration} from '@tamarackwind/workflows';
import test from 'ava';
import {createStep, EmulatedSystem, sparePool} from '../src/index.js';

type LogLine = {readonly message: string; readonly worker?: string; readonly job?: string};

const entryCount = 9;
const pools: ReadonlyArray<readonly [string, number]> = [['north', 6], ['south', 4], [sparePool, 2]];

type Scope = {readonly name: string; readonly restart: (system: EmulatedSystem) => void};

const scopes: readonly Scope[] = [
	{
		name: 'the holder restarts', restart(system) {
			system.killEntry(system.holder!);
			system.startEntry();
		},
	},
	{
		name: 'all entries restart', restart(system) {
			for (const entry of system.entries) {
				system.killEntry(entry);
			}

			for (let index = 0; index < entryCount; index++) {
				system.startEntry();
			}
		},
	},
];

type StoreState = {readonly name: string; readonly apply: (system: EmulatedSystem) => void};

const setFaults = (system: EmulatedSystem, faults: Partial<EmulatedSystem['entries'][number]['tables']['faults']>): void => {
	for (const {tables} of system.entries) {
		Object.assign(tables.faults, faults);
	}

	const {entries} = system;
	system.clock.schedule(4000, () => {
		for (const {tables} of entries) {
			Object.assign(tables.faults, {isDown: false, delayMs: 0, lostResponseRate: 0});
		}
	});
};

const storeStates: readonly StoreState[] = [
	{name: 'the store is up', apply() {}},
	{
		name: 'the store has forgotten its history', apply(system) {
			system.tables.clearHistory();
		},
	},
	{
		name: 'the store is away at first', apply(system) {
			setFaults(system, {isDown: true});
		},
	},
	{
		name: 'the store is slow', apply(system) {
			setFaults(system, {delayMs: 300});
		},
	},
	{
		name: 'the store loses answers', apply(system) {
			setFaults(system, {lostResponseRate: 0.4});
		},
	},
];

const configuration: Configuration = {
	version: 7, queues: [], pools: pools.map(([name]) => ({name: name as ServiceName, isSpare: name as PoolName === sparePool})), limits: {maxBodyBytes: 1_000_000},
};

for (const {name: scopeName, restart} of scopes) {
	for (const {name: storeName, apply} of storeStates) {
		test(`${scopeName} and ${storeName}: cancelled jobs, ended workers and replaced configurations are not used again`, async t => {
			const lines: LogLine[] = [];
			const system = await EmulatedSystem.create({
				seed: 17, entries: entryCount, pools, write(line) {
					lines.push(JSON.parse(line) as LogLine);
				},
			});
			await system.clock.run(3000);
			const submitted = Promise.all(Array.from({length: 8}, async (_, index) => system.submit(index < 2 ? [createStep({count: 3, isLongRunning: true, antiAffinity: 1})] : [createStep({count: 4}), createStep({count: 4, after: [0]})], 2500)));
			await system.clock.run(1500);
			const [firstId, secondId, ...otherIds] = await submitted;
			const cancelledIds = [firstId!, otherIds[0]!];
			const cancellations = Promise.all(cancelledIds.map(async id => system.cancel(id)));
			await system.tables.commit({checks: [], writes: [{table: 'op', key: 'config', value: configuration}]});
			await system.clock.run(800);
			await cancellations;
			t.is(system.fleet.cancelledAt.size, cancelledIds.length);
			const crashedVms = ['vm-north-0', 'vm-north-1'] as VmId[];
			const crashedWorkers = new Set(crashedVms.map(id => system.fleet.listVms().find(vm => vm.id === id)!.worker as string));
			for (const vm of crashedVms) {
				system.fleet.crashVm(vm, 500);
			}

			restart(system);
			apply(system);
			const restartedAt = lines.length;
			await system.clock.run(25_000);
			t.deepEqual(system.fleet.violations, []);
			for (const id of cancelledIds) {
				t.is(system.fleet.countRunning(id), 0);
			}

			t.is(system.fleet.countRunning(secondId!), 3);
			t.true(system.entries.every(({watcher}) => watcher.configuration?.version === configuration.version));
			const ordered = lines.slice(restartedAt).filter(({message}) => message === 'run ordered');
			t.deepEqual(ordered.filter(({worker}) => crashedWorkers.has(worker!.split('@')[0]!)), []);
			t.deepEqual(ordered.filter(({job}) => (cancelledIds as string[]).includes(job!)), []);
			const states = Promise.all(otherIds.map(async id => system.getState(id)));
			await system.clock.run(1000);
			t.deepEqual(await states, ['cancelled', ...otherIds.slice(1).map(() => 'succeeded')]);
		});
	}
}
