import test from 'ava';
import {createStep, EmulatedSystem} from '../src/index.js';

type Case = {
	readonly name: string;
	/** Disturbs the system around the time at which the workers shrink. */
	readonly disturb: (system: EmulatedSystem) => void;
};

const warmUpMs = 4000;
const loadMs = 12_000;
const recoveryMs = 40_000;
const jobIntervalMs = 120;
const shrinkAfterMs = 3000;
const shrunkForMs = 7000;
const pools = [['north', 6], ['spare', 0]] as const;

const cases: readonly Case[] = [
	{name: 'without a fault', disturb() {}},
	{
		name: 'while the holder is killed', disturb(system) {
			system.killEntry(system.holder ?? system.entries[0]!);
			system.startEntry();
		},
	},
	{
		name: 'while the store takes 2.5 s for a call', disturb({entries, clock}) {
			for (const {tables} of entries) {
				tables.faults.delayMs = 2500;
			}

			clock.schedule(12_000, () => {
				for (const {tables} of entries) {
					tables.faults.delayMs = 0;
				}
			});
		},
	},
	{
		name: 'while progress takes 6 s to be written', disturb({entries, clock}) {
			for (const {tables} of entries) {
				tables.faults.progressDelayMs = 6000;
			}

			clock.schedule(9000, () => {
				for (const {tables} of entries) {
					tables.faults.progressDelayMs = 0;
				}
			});
		},
	},
	{
		name: 'while answers of workers are lost', disturb({fleet, clock}) {
			fleet.orderFaults = {lostResponseRate: 0.3, lateRate: 0};
			clock.schedule(6000, () => {
				fleet.orderFaults = {lostResponseRate: 0, lateRate: 0};
			});
		},
	},
	{
		name: 'while some are cut off', disturb({fleet}) {
			for (const {id} of fleet.vms.slice(0, 3)) {
				fleet.setUnreachable(id, 4000);
			}
		},
	},
];

for (const {name, disturb} of cases) {
	test(`no start brings a worker that does not guard its capacity over it when it shrinks ${name}`, async t => {
		for (const seed of [1, 2, 3]) {
			const system = await EmulatedSystem.create({seed, pools, enforcesCapacity: false});
			const {clock, fleet, random} = system;
			await clock.run(warmUpMs);
			for (let at = 0; at < loadMs; at += jobIntervalMs) {
				clock.schedule(at, () => {
					void system.submit([createStep({count: 2 + random.pickIndex(6)})], 300 + random.pickIndex(1500));
				});
			}

			await clock.run(shrinkAfterMs);
			for (const {id} of fleet.vms.slice(0, 4)) {
				fleet.resizeVm(id, 0.3);
			}

			disturb(system);
			clock.schedule(shrunkForMs, () => {
				for (const {id} of fleet.vms) {
					fleet.resizeVm(id, 1);
				}
			});
			await clock.run(loadMs + recoveryMs);
			t.deepEqual(fleet.violations, [], `seed ${seed}`);
			t.true(fleet.counts.done > 100);
			const states = Promise.all([...system.accepted.keys()].map(async id => system.getState(id)));
			await clock.run(1000);
			t.deepEqual((await states).filter(state => state !== 'succeeded'), []);
		}
	});
}
