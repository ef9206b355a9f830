import {type JobId} from '@tamarackwind/core';
import {type Bounds, defaultBounds} from '@tamarackwind/workflows';
import test from 'ava';
import {createStep, EmulatedSystem, sparePool} from '../src/index.js';

const entries = 40;
const pools: ReadonlyArray<readonly [string, number]> = [['north', 6], ['east', 6], ['south', 6], ['west', 6], [sparePool, 6]];
const shortLeases: Bounds = {...defaultBounds, maxWorkerLeaseMs: 6000};
const warmUpMs = 3000;
const settleMs = 30_000;

async function startSystem(seed: number, bounds: Bounds): Promise<EmulatedSystem> {
	const system = await EmulatedSystem.create({
		seed, entries, pools, bounds,
	});
	await system.clock.run(warmUpMs);
	return system;
}

/** Submits jobs whose demand makes the pools move VMs, with tasks that last. */
function submitJobs(system: EmulatedSystem): Array<Promise<JobId>> {
	return Array.from({length: 24}, async (_, index) => system.submit(
		index % 6 === 0
			? [createStep({
				count: 3, isLongRunning: true, antiAffinity: 1, mayMiss: 1,
			})]
			: [createStep({count: 12, resources: {cpu: 2000, memory: 1000, gpu: 0}}), createStep({count: 4, after: [0], isGang: index % 5 === 0})],
		1200,
	));
}

async function releaseLease(system: EmulatedSystem): Promise<void> {
	const {holder} = system;
	if (holder !== undefined) {
		await holder.scheduler.close();
		system.killEntry(holder);
	}
}

type Event = readonly [atMs: number, apply: (system: EmulatedSystem) => void];

const release = (system: EmulatedSystem): void => {
	void releaseLease(system);
};

const crash = (system: EmulatedSystem): void => {
	if (system.holder !== undefined) {
		system.killEntry(system.holder);
	}
};

/** Cuts the holder off from the tables, for which it goes on unchanged. */
const cutHolder = (durationMs: number) => (system: EmulatedSystem): void => {
	const {holder} = system;
	if (holder !== undefined) {
		holder.tables.faults.isUnresponsive = true;
		system.clock.schedule(durationMs, () => {
			holder.tables.faults.isUnresponsive = false;
		});
	}
};

const setHolderFault = (faults: Partial<{lostResponseRate: number; lateRate: number; delayMs: number}>) => (system: EmulatedSystem): void => {
	const {holder} = system;
	if (holder !== undefined) {
		Object.assign(holder.tables.faults, faults);
		system.clock.schedule(5000, () => {
			Object.assign(holder.tables.faults, {lostResponseRate: 0, lateRate: 0, delayMs: 0});
		});
	}
};

/** Leaves the tables to a few entries. */
const cutMostEntries = (system: EmulatedSystem): void => {
	const cut = system.entries.filter((_, index) => index % 4 !== 0);
	for (const {tables} of cut) {
		tables.faults.isDown = true;
	}

	system.clock.schedule(6000, () => {
		for (const {tables} of cut) {
			tables.faults.isDown = false;
		}
	});
};

const startWave = (system: EmulatedSystem): void => {
	void system.startWave('wave-1', system.fleet.vms.map(({id}) => id), 4);
};

const cases: ReadonlyArray<[string, readonly Event[]]> = [
	['the holder releases the lease', [[500, startWave], [1500, release]]],
	['the holder crashes', [[500, startWave], [1500, crash]]],
	['the holder is cut off from the tables and wakes up later', [[500, startWave], [1000, cutHolder(2800)]]],
	['the holder is cut off for longer than the worker leases', [[500, startWave], [1000, cutHolder(14_000)]]],
	['responses to the holder are lost', [[500, startWave], [1000, setHolderFault({lostResponseRate: 0.7})]]],
	['writes of the holder take effect late', [[500, startWave], [1000, setHolderFault({lateRate: 0.7})]]],
	['the tables are slow for the holder', [[500, startWave], [1000, setHolderFault({delayMs: 900})]]],
	['the holder gets each answer 3 s late', [[500, startWave], [1000, setHolderFault({delayMs: 3000})]]],
	['the holder gets each answer 12 s late', [[500, startWave], [1000, setHolderFault({delayMs: 12_000})]]],
	['the tables serve only some entries', [[500, startWave], [1000, cutMostEntries]]],
	['three takeovers within three seconds', [[500, startWave], [1000, release], [2000, release], [3000, release]]],
	['releases and crashes by turns', [[500, startWave], [1000, release], [2500, crash], [6000, release], [7000, crash]]],
];

for (const [bounds, boundsName] of [[defaultBounds, 'long worker leases'], [shortLeases, 'short worker leases']] as const) {
	for (const [name, events] of cases) {
		test(`${entries} entries, ${boundsName}: ${name}`, async t => {
			const system = await startSystem(31, bounds);
			const submitted = Promise.all(submitJobs(system));
			for (const [atMs, apply] of events) {
				system.clock.schedule(atMs, () => {
					apply(system);
				});
			}

			await system.clock.run(settleMs);
			const ids = await submitted;
			t.deepEqual(system.fleet.violations, []);
			t.true(system.fleet.counts.moves + system.fleet.counts.maintenances > 0);
			const states = Promise.all(ids.map(async id => system.getState(id)));
			await system.clock.run(2000);
			t.deepEqual((await states).filter(state => state === 'failed' || state === 'cancelled' || state === undefined), []);
		});
	}
}
