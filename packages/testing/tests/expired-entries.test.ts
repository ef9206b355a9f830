import {type VmId} from '@tamarackwind/core';
import test from 'ava';
import {createStep, EmulatedSystem} from '../src/index.js';

const vmCount = 6;
const outageMs = 4500;
const heartbeatMs = 1500;
/** Time after which a wave has ended, with workers that are silent for good, in milliseconds: that of their leases, and the maintenance of the VMs one after the other. */
const waveMs = 60_000;

type Play = {readonly system: EmulatedSystem; readonly vms: readonly VmId[]};

/** Takes the store down for `outageMs`; the entries of some workers expire, and are back one after the other within a heartbeat of its return. */
function startOutage({system}: Play, expired: readonly VmId[], missingMs = heartbeatMs): void {
	const {clock, fleet, entries} = system;
	for (const {tables} of entries) {
		tables.faults.isDown = true;
	}

	fleet.isRegistryDown = true;
	for (const [index, vm] of expired.entries()) {
		fleet.expireEntry(vm, outageMs + (missingMs * (index + 1) / expired.length));
	}

	clock.schedule(outageMs, () => {
		fleet.isRegistryDown = false;
		for (const {tables} of system.entries) {
			tables.faults.isDown = false;
		}
	});
}

function replaceHolder({system}: Play): void {
	system.killEntry(system.holder ?? system.entries[0]!);
	system.startEntry();
}

type Case = {
	readonly name: string;
	readonly cap?: number;
	/** Time from the begin of the outage to the begin of the wave, in milliseconds. */
	readonly waveAtMs?: number;
	/** Time from the begin of the outage to the end of the holder, in milliseconds; it stays the holder by default. */
	readonly killedAtMs?: number;
	readonly disturb: (play: Play) => void;
};

const cases: readonly Case[] = [
	{
		name: 'all entries expire, and the holder is killed during the outage', killedAtMs: 1000, disturb(play) {
			startOutage(play, play.vms);
		},
	},
	{
		name: 'half of the entries expire, and the holder is killed during the outage', killedAtMs: 1000, disturb(play) {
			startOutage(play, play.vms.slice(0, vmCount / 2));
		},
	},
	{
		name: 'all entries expire, and the wave is declared during the outage', killedAtMs: 1000, waveAtMs: 2000, disturb(play) {
			startOutage(play, play.vms);
		},
	},
	{
		name: 'all entries expire, and the holder is killed after the return of the store', killedAtMs: outageMs + 50, disturb(play) {
			startOutage(play, play.vms);
		},
	},
	{
		name: 'all entries expire, and the holder stays', disturb(play) {
			startOutage(play, play.vms);
		},
	},
	{
		name: 'one VM may be down at a time', cap: 1, killedAtMs: 1000, disturb(play) {
			startOutage(play, play.vms);
		},
	},
	{
		name: 'two workers are cut off from the registry for as long as their leases', killedAtMs: 1000, disturb(play) {
			startOutage(play, play.vms.slice(0, 2), 30_000);
		},
	},
	{
		name: 'two workers are silent for good, and the holder is killed', killedAtMs: 1000, disturb(play) {
			startOutage(play, play.vms);
			for (const vm of play.vms.slice(0, 2)) {
				play.system.fleet.loseWorker(vm);
			}
		},
	},
	{
		name: 'two workers are silent for good, and the holder stays', disturb(play) {
			for (const vm of play.vms.slice(0, 2)) {
				play.system.fleet.loseWorker(vm);
			}
		},
	},
];

// Guards against waves that take VMs down as idle whose workers are missing from the registry at the moment (review/8), and against waves that wait for workers which are gone.
for (const {name, cap = 3, waveAtMs = outageMs + 100, killedAtMs, disturb} of cases) {
	for (const seed of [1, 2, 3]) {
		test(`a wave keeps the budget of a lasting step and ends: ${name}, seed ${seed}`, async t => {
			const system = await EmulatedSystem.create({seed, pools: [['north', vmCount]]});
			const {clock, fleet} = system;
			const play = {system, vms: fleet.vms.map(({id}) => id)};
			await clock.run(3000);
			const submitted = system.submit([createStep({
				count: vmCount, isLongRunning: true, antiAffinity: 1, mayMiss: 1,
			})], 1000);
			await clock.run(4000);
			t.is(fleet.countRunning(await submitted), vmCount);
			disturb(play);
			clock.schedule(killedAtMs ?? 0, () => {
				if (killedAtMs !== undefined) {
					replaceHolder(play);
				}
			});
			clock.schedule(waveAtMs, () => {
				void system.startWave('wave-1', play.vms, cap);
			});
			await clock.run(waveMs);
			const status = await system.tables.getRow({table: 'status', key: 'wave-1'});
			t.deepEqual(status?.value, {state: 'succeeded'});
			t.is(fleet.counts.maintenances, vmCount);
			t.deepEqual(fleet.violations, []);
		});
	}
}
