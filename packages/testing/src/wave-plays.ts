/**
 * Plays a wave over the VMs of a step that lasts, beside outages of the store and of the VM control, in the emulated system.
 */
import {type VmId} from '@tamarackwind/core';
import {EmulatedSystem} from './emulated-systems.js';
import {createStep} from './system-histories.js';

export type WavePlayOptions = {
	readonly seed: number;
	/** Number of VMs, each of which runs one task of the step. */
	readonly vms: number;
	/** VMs that may be down at once. */
	readonly cap: number;
	/** Time from the disturbance to the wave, in milliseconds. */
	readonly waveAtMs: number;
	/** Time from the disturbance to the end of the holder, in milliseconds; it stays the holder by default. */
	readonly killedAtMs?: number;
	readonly disturb: (system: EmulatedSystem) => void;
};

export type WavePlay = {
	readonly state: string | undefined;
	/** Number of VMs that were maintained. */
	readonly maintenances: number;
	readonly violations: readonly string[];
};

export type OutageOptions = {
	readonly durationMs: number;
	/** VMs whose workers lose their registry entries. */
	readonly expired: readonly VmId[];
	/** Time from the end of the outage until the last of these entries is back, in milliseconds. */
	readonly returnMs: number;
};

const waveId = 'wave-1';
/** Time in which the entries elect a holder, and in which the tasks are at work, in milliseconds. */
const startMs = 3000;
const workMs = 4000;
/** Time after which a wave has ended, also beside workers that are gone for good, in milliseconds: that of their leases, and the maintenance of the VMs one after the other. */
const waveMs = 60_000;

/** Takes the store and the registry down for a time; expired entries are back one after the other. */
export function startOutage(system: EmulatedSystem, {durationMs, expired, returnMs}: OutageOptions): void {
	const {clock, fleet} = system;
	const setDown = (isDown: boolean): void => {
		fleet.isRegistryDown = isDown;
		for (const {tables} of system.entries) {
			tables.faults.isDown = isDown;
		}
	};

	setDown(true);
	for (const [index, vm] of expired.entries()) {
		fleet.expireEntry(vm, durationMs + (returnMs * (index + 1) / expired.length));
	}

	clock.schedule(durationMs, () => {
		setDown(false);
	});
}

/** Plays a wave beside a step of which one task may be missing. */
export async function playWave({seed, vms, cap, waveAtMs, killedAtMs, disturb}: WavePlayOptions): Promise<WavePlay> {
	const system = await EmulatedSystem.create({seed, pools: [['north', vms]]});
	const {clock, fleet} = system;
	await clock.run(startMs);
	const submitted = system.submit([createStep({
		count: vms, isLongRunning: true, antiAffinity: 1, mayMiss: 1,
	})], 1000);
	await clock.run(workMs);
	const running = fleet.countRunning(await submitted);
	if (running !== vms) {
		throw new Error(`${running} of ${vms} tasks are at work before the wave`);
	}

	disturb(system);
	clock.schedule(killedAtMs ?? 0, () => {
		if (killedAtMs !== undefined) {
			system.killEntry(system.holder ?? system.entries[0]!);
			system.startEntry();
		}
	});
	clock.schedule(waveAtMs, () => {
		void system.startWave(waveId, fleet.vms.map(({id}) => id), cap);
	});
	await clock.run(waveMs);
	const status = await system.tables.getRow({table: 'status', key: waveId});
	return {
		state: (status?.value as {state: string} | undefined)?.state, maintenances: fleet.counts.maintenances, violations: fleet.violations,
	};
}
