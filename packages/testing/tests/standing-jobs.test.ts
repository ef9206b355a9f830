import {type JobId, type VmId} from '@tamarackwind/core';
import test from 'ava';
import {
	createStep, EmulatedSystem, StandingCheck,
} from '../src/index.js';

const warmUpMs = 4000;
const loadMs = 16_000;
/** Time without load in which all jobs have to end, in milliseconds: the users' time after the end of the traffic. */
const finishMs = 14_000;
const jobIntervalMs = 40;
const durationsMs = [600, 1500, 2500];
/** Thousandths of a core of a task: the load takes about a tenth of the pool at most. */
const taskCpu = 40;

type Case = {
	readonly name: string;
	readonly vms: number;
	/** Ends workers; called every `intervalMs`. */
	readonly disturb: (system: EmulatedSystem) => void;
	readonly intervalMs: number;
};

function drawDowntime({random}: EmulatedSystem): number {
	return 20 + (random.readFraction() * 880);
}

function restart(system: EmulatedSystem, vm: VmId): void {
	const downtimeMs = drawDowntime(system);
	system.fleet.restartWorker(vm, downtimeMs);
	if (downtimeMs < 100) {
		system.clock.schedule(450, () => {
			system.fleet.restartWorker(vm, downtimeMs);
		});
	}
}

function listBusiestVms({fleet}: EmulatedSystem, count: number): VmId[] {
	return fleet.vms.map(({id}) => id).toSorted((a, b) => fleet.countRunsOn(b) - fleet.countRunsOn(a)).slice(0, count);
}

const cases: readonly Case[] = [
	{
		name: 'one of 8 workers restarts every 0.6 s', vms: 8, intervalMs: 600, disturb(system) {
			system.fleet.restartWorker(system.random.pickItem(system.fleet.vms)!.id, drawDowntime(system));
		},
	},
	{
		name: 'one of 12 workers restarts every 0.5 s', vms: 12, intervalMs: 500, disturb(system) {
			system.fleet.restartWorker(system.random.pickItem(system.fleet.vms)!.id, drawDowntime(system));
		},
	},
	{
		name: 'the two busiest of 8 workers restart every 1.7 s', vms: 8, intervalMs: 1700, disturb(system) {
			for (const vm of listBusiestVms(system, 2)) {
				restart(system, vm);
			}
		},
	},
	{
		name: 'a third of 12 workers crashes every 4 s', vms: 12, intervalMs: 4000, disturb(system) {
			const first = system.random.pickIndex(3) * 4;
			for (const {id} of system.fleet.vms.slice(first, first + 4)) {
				system.fleet.crashVm(id, 1000);
			}
		},
	},
	{
		name: 'one worker of 8 restarts every 0.5 s', vms: 8, intervalMs: 500, disturb(system) {
			system.fleet.restartWorker(system.fleet.vms[0]!.id, drawDowntime(system));
		},
	},
];

// Guards against jobs that stand beside idle workers, or are given up, because the crash of a worker made suspects of their tasks (LOST).
for (const {name, vms, disturb, intervalMs} of cases) {
	for (const seed of [1, 2]) {
		test(`${name}, seed ${seed}: no job stands or is given up, and all are done in time`, async t => {
			const system = await EmulatedSystem.create({seed, pools: [['north', vms], ['spare', 0]]});
			const {clock} = system;
			await clock.run(warmUpMs);
			const check = StandingCheck.create({system, isCalmRequired: false});
			const jobs: JobId[] = [];
			const submit = async (index: number): Promise<void> => {
				jobs.push(await system.submit([createStep({count: 2, resources: {cpu: taskCpu, memory: 10, gpu: 0}})], durationsMs[index % durationsMs.length]!));
			};

			for (let at = 0; at < loadMs; at += jobIntervalMs) {
				clock.schedule(at, () => {
					void submit(at / jobIntervalMs);
				});
			}

			for (let at = intervalMs; at < loadMs; at += intervalMs) {
				clock.schedule(at, () => {
					disturb(system);
				});
			}

			await clock.run(loadMs + finishMs);
			check.close();
			const states = Promise.all(jobs.map(async id => system.getState(id)));
			await clock.run(500);
			t.deepEqual(system.fleet.violations, []);
			t.deepEqual(check.violations, []);
			t.deepEqual((await states).filter(state => state !== 'succeeded'), []);
		});
	}
}
