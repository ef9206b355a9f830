import test from 'ava';
import {
	playWave, startOutage, type EmulatedSystem, type WavePlayOptions,
} from '../src/index.js';

const vms = 6;
const outageMs = 4500;
const heartbeatMs = 1500;

/** Takes the store down; the entries of `count` workers expire, and are back one after the other within `returnMs` of its return. */
function expireEntries(count: number, returnMs = heartbeatMs): (system: EmulatedSystem) => void {
	return system => {
		startOutage(system, {durationMs: outageMs, expired: system.fleet.vms.slice(0, count).map(({id}) => id), returnMs});
	};
}

function loseTwoWorkers({fleet}: EmulatedSystem): void {
	for (const {id} of fleet.vms.slice(0, 2)) {
		fleet.loseWorker(id);
	}
}

type Case = Partial<WavePlayOptions> & Pick<WavePlayOptions, 'disturb'> & {readonly name: string};

const cases: readonly Case[] = [
	{name: 'all entries expire, and the holder is killed during the outage', killedAtMs: 1000, disturb: expireEntries(vms)},
	{name: 'half of the entries expire, and the holder is killed during the outage', killedAtMs: 1000, disturb: expireEntries(vms / 2)},
	{
		name: 'all entries expire, and the wave is declared during the outage', killedAtMs: 1000, waveAtMs: 2000, disturb: expireEntries(vms),
	},
	{name: 'all entries expire, and the holder is killed after the return of the store', killedAtMs: outageMs + 50, disturb: expireEntries(vms)},
	{name: 'all entries expire, and the holder stays', disturb: expireEntries(vms)},
	{
		name: 'one VM may be down at a time', cap: 1, killedAtMs: 1000, disturb: expireEntries(vms),
	},
	{name: 'two workers are cut off from the registry for as long as their leases', killedAtMs: 1000, disturb: expireEntries(2, 30_000)},
	{
		name: 'two workers are silent for good, and the holder is killed', killedAtMs: 1000, disturb(system) {
			expireEntries(vms)(system);
			loseTwoWorkers(system);
		},
	},
	{name: 'two workers are silent for good, and the holder stays', disturb: loseTwoWorkers},
];

// Guards against waves that take VMs down as idle whose workers are missing from the registry at the moment (review/8), and against waves that wait for workers which are gone.
for (const {name, ...options} of cases) {
	for (const seed of [1, 2, 3]) {
		test(`a wave keeps the budget of a lasting step and ends: ${name}, seed ${seed}`, async t => {
			t.deepEqual(await playWave({
				seed, vms, cap: 3, waveAtMs: outageMs + 100, ...options,
			}), {state: 'succeeded', maintenances: vms, violations: []});
		});
	}
}
