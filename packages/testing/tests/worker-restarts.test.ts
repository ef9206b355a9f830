import {type JobId, type VmId} from '@tamarackwind/core';
import test from 'ava';
import {createStep, EmulatedSystem} from '../src/index.js';

const warmUpMs = 4000;
const loadMs = 12_000;
const finishMs = 30_000;
const jobIntervalMs = 40;
const restartIntervalMs = 2000;
/** Workers that restart at a time. */
const restartsAtOnce = 2;
const seeds = [1, 2];

type Restart = {
	readonly name: string;
	/** Time for which a worker is away, in milliseconds. */
	readonly downtimeMs: number;
	/** Time after which it restarts once more, in milliseconds. */
	readonly againAfterMs?: number;
};

const restarts: readonly Restart[] = [
	{name: 'for 20 ms', downtimeMs: 20},
	{name: 'for 60 ms', downtimeMs: 60},
	{name: 'for 300 ms', downtimeMs: 300},
	{name: 'for 900 ms', downtimeMs: 900},
	{name: 'for 20 ms and again after 250 ms', downtimeMs: 20, againAfterMs: 250},
	{name: 'for 150 ms and again after 480 ms', downtimeMs: 150, againAfterMs: 480},
];

type Disturbance = {readonly name: string; readonly taskMs: number; readonly apply: (system: EmulatedSystem) => void};

const disturbances: readonly Disturbance[] = [
	{name: 'tasks of 600 ms', taskMs: 600, apply() {}},
	{name: 'tasks of 30 ms', taskMs: 30, apply() {}},
	{
		name: 'takeovers', taskMs: 600, apply(system) {
			for (const at of [2000, 6000, 9000]) {
				system.clock.schedule(at, () => {
					system.killEntry(system.holder ?? system.entries[0]!);
					system.startEntry();
				});
			}
		},
	},
	{
		name: 'lost responses', taskMs: 600, apply({fleet, clock}) {
			fleet.orderFaults = {lostResponseRate: 0.2, lateRate: 0};
			clock.schedule(loadMs, () => {
				fleet.orderFaults = {lostResponseRate: 0, lateRate: 0};
			});
		},
	},
	{
		name: 'late orders', taskMs: 600, apply({fleet, clock}) {
			fleet.orderFaults = {lostResponseRate: 0, lateRate: 0.1};
			clock.schedule(loadMs, () => {
				fleet.orderFaults = {lostResponseRate: 0, lateRate: 0};
			});
		},
	},
];

function pickBusyVms(system: EmulatedSystem): VmId[] {
	return system.fleet.vms.map(({id}) => id).toSorted((a, b) => system.fleet.countRunsOn(b) - system.fleet.countRunsOn(a)).slice(0, restartsAtOnce);
}

// Guards against tasks that run twice because a worker that restarts under its id executes the orders that were meant for its earlier life (review/4).
for (const {name: restartName, downtimeMs, againAfterMs} of restarts) {
	for (const {name, taskMs, apply} of disturbances) {
		test(`workers that restart under their ids ${restartName}, ${name}: no task runs twice, and all jobs are done`, async t => {
			for (const seed of seeds) {
				const system = await EmulatedSystem.create({seed, pools: [['north', 8], ['spare', 0]]});
				const {clock, fleet} = system;
				await clock.run(warmUpMs);
				const jobs: JobId[] = [];
				const submit = async (): Promise<void> => {
					jobs.push(await system.submit([createStep({count: 2, resources: {cpu: 250, memory: 100, gpu: 0}})], taskMs));
				};

				for (let at = 0; at < loadMs; at += jobIntervalMs) {
					clock.schedule(at, () => {
						void submit();
					});
				}

				for (let at = restartIntervalMs; at < loadMs; at += restartIntervalMs) {
					clock.schedule(at, () => {
						for (const vm of pickBusyVms(system)) {
							fleet.restartWorker(vm, downtimeMs);
							if (againAfterMs !== undefined) {
								clock.schedule(againAfterMs, () => {
									fleet.restartWorker(vm, downtimeMs);
								});
							}
						}
					});
				}

				apply(system);
				await clock.run(loadMs + finishMs);
				t.deepEqual(fleet.violations, [], `seed ${seed}`);
				const states = Promise.all(jobs.map(async id => system.getState(id)));
				await clock.run(500);
				t.deepEqual((await states).filter(state => state !== 'succeeded' && state !== 'failed'), [], `seed ${seed}`);
			}
		});
	}
}
