import {type PoolName, type VmId} from '@tamarackwind/core';
import test from 'ava';
import {planSizes, type SizedPool} from '../src/index.js';

const vmCpu = 10_000;

/** Creates a pool of which the last `idle` VMs have been idle for `idleMs`. */
function createPool(name: string, {count, idle = 0, idleMs = 5000, ...fields}: {readonly count: number; readonly idle?: number; readonly idleMs?: number} & Partial<SizedPool>): SizedPool {
	return {
		name: name as PoolName,
		isSpare: false,
		incoming: 0,
		usedCpu: 0,
		waitingCpu: 0,
		expectedCpu: 0,
		antiAffinityVms: 0,
		starvedMs: 0,
		vms: Array.from({length: count}, (_, index) => ({id: `${name}-${index}` as VmId, cpu: vmCpu, idleMs: index >= count - idle ? idleMs : undefined})),
		...fields,
	};
}

const spare = createPool('spare', {count: 3, idle: 3, isSpare: true});
const noSpare = createPool('spare', {count: 0, isSpare: true});

type Case = {readonly name: string; readonly pools: readonly SizedPool[]; readonly moves: readonly string[]};

const cases: readonly Case[] = [
	{name: 'a pool does not shrink below its minimum size', pools: [createPool('north', {count: 5, idle: 5}), spare], moves: []},
	{name: 'idle VMs are switched off', pools: [createPool('north', {count: 8, idle: 8}), spare], moves: Array.from({length: 3}, () => 'north>spare')},
	{name: 'VMs that have just become idle stay in their pool', pools: [createPool('north', {count: 8, idle: 8, idleMs: 100}), spare], moves: []},
	{
		name: 'a pool with waiting tasks gets spare VMs', pools: [createPool('north', {count: 8, usedCpu: 68_000, waitingCpu: 10_000}), spare], moves: Array.from({length: 3}, () => 'spare>north'),
	},
	{
		name: 'a large pool gets VMs for the demand at the end of a move',
		pools: [createPool('north', {
			count: 32, usedCpu: 240_000, waitingCpu: 10_000, expectedCpu: 290_000,
		}), createPool('spare', {count: 12, idle: 12, isSpare: true})],
		moves: Array.from({length: 5}, () => 'spare>north'),
	},
	{
		name: 'a small pool gets VMs only for what it uses and what waits',
		pools: [createPool('north', {
			count: 12, usedCpu: 80_000, waitingCpu: 5000, expectedCpu: 130_000,
		}), createPool('spare', {count: 12, idle: 12, isSpare: true})], moves: [],
	},
	{
		name: 'idle VMs of another pool are used before spare ones',
		pools: [createPool('north', {count: 8, usedCpu: 68_000, waitingCpu: 2000}), createPool('south', {count: 8, idle: 8, idleMs: 500}), spare],
		moves: Array.from({length: 3}, () => 'south>north'),
	},
	{
		name: 'a pool keeps the VMs over which its long-running steps are spread',
		pools: [createPool('north', {count: 8, usedCpu: 68_000, waitingCpu: 2000}), createPool('south', {count: 8, idle: 8, antiAffinityVms: 7}), noSpare],
		moves: [],
	},
	{
		name: 'incoming VMs count towards the size of a pool', pools: [createPool('north', {
			count: 8, usedCpu: 68_000, waitingCpu: 10_000, incoming: 4,
		}), spare], moves: [],
	},
	{
		name: 'a pool that needs few VMs is not starved by one that needs many (grown fixture site, scale-1: a pool waited 15 s)',
		pools: [createPool('north', {count: 8, usedCpu: 68_000, waitingCpu: 100_000}), createPool('south', {count: 5, usedCpu: 42_000, waitingCpu: 2000}), spare],
		moves: ['spare>north', 'spare>south', 'spare>north'],
	},
	{
		name: 'a pool at its minimum lends an idle VM to one whose tasks have waited for room for long (issue 50: tasks waited to the end)',
		pools: [createPool('north', {
			count: 4, usedCpu: 25_000, waitingCpu: 2000, starvedMs: 3000,
		}), createPool('south', {count: 5, idle: 2, usedCpu: 12_000}), noSpare],
		moves: ['south>north'],
	},
	{
		name: 'a pool at its minimum keeps its idle VMs while tasks of others have waited for a short time',
		pools: [createPool('north', {
			count: 4, usedCpu: 25_000, waitingCpu: 2000, starvedMs: 2900,
		}), createPool('south', {count: 5, idle: 2, usedCpu: 12_000}), noSpare],
		moves: [],
	},
	{
		name: 'a pool with an idle VM gets none for tasks that leave it aside',
		pools: [createPool('north', {
			count: 6, idle: 1, usedCpu: 25_000, waitingCpu: 2000, starvedMs: 9000,
		}), createPool('south', {count: 5, idle: 2, usedCpu: 12_000}), noSpare],
		moves: [],
	},
	{
		name: 'a starved pool gets no further VM while one is on its way',
		pools: [createPool('north', {
			count: 4, incoming: 1, usedCpu: 25_000, waitingCpu: 2000, starvedMs: 9000,
		}), createPool('south', {count: 5, idle: 2, usedCpu: 12_000}), noSpare],
		moves: [],
	},
	{
		name: 'a pool whose tasks all have room by its demand gets a spare VM if they wait for long nevertheless',
		pools: [createPool('north', {
			count: 12, usedCpu: 60_000, waitingCpu: 2000, starvedMs: 3000,
		}), spare],
		moves: ['spare>north'],
	},
	{
		name: 'two starved pools do not exchange VMs that have just become idle',
		pools: [createPool('north', {
			count: 4, usedCpu: 25_000, waitingCpu: 90_000, starvedMs: 9000,
		}), createPool('south', {
			count: 5, idle: 2, idleMs: 4000, usedCpu: 12_000, waitingCpu: 90_000, starvedMs: 9000,
		}), noSpare],
		moves: [],
	},
	{
		name: 'a pool whose gang needs more than its idle VM gets one of another pool (review of issue 50: a reserve held back without a bound)',
		pools: [createPool('north', {
			count: 6, idle: 1, usedCpu: 42_000, waitingCpu: 0, starvedMs: 20_000,
		}), createPool('south', {count: 5, idle: 2, usedCpu: 12_000}), noSpare],
		moves: ['south>north'],
	},
	{
		name: 'a VM that has come for starved tasks is not switched off while they still wait (review of issue 50: it would come again at once)',
		pools: [createPool('north', {
			count: 9, idle: 1, idleMs: 2000, usedCpu: 25_000, waitingCpu: 2000, starvedMs: 9000,
		}), spare],
		moves: [],
	},
	{
		name: 'a pool does not lend its last VM (review of issue 50: its next job has no worker, and nothing brings one back)',
		pools: [createPool('north', {
			count: 11, usedCpu: 66_000, waitingCpu: 600_000, starvedMs: 20_000,
		}), createPool('south', {count: 1, idle: 1}), noSpare],
		moves: [],
	},
	{
		name: 'a starved pool with more VMs than its demand asks for gets none of its own',
		pools: [createPool('north', {
			count: 9, idle: 1, usedCpu: 25_000, waitingCpu: 2000, starvedMs: 20_000,
		}), createPool('south', {count: 5, idle: 2, usedCpu: 12_000}), noSpare],
		moves: ['south>north'],
	},
	{
		name: 'a pool does not lend the VMs over which its widest long-running step is spread',
		pools: [createPool('north', {
			count: 11, usedCpu: 66_000, waitingCpu: 600_000, starvedMs: 20_000,
		}), createPool('south', {count: 4, idle: 2, antiAffinityVms: 4}), noSpare],
		moves: [],
	},
	{name: 'without a spare pool nothing is switched off', pools: [createPool('north', {count: 9, idle: 9})], moves: []},
];

for (const {name, pools, moves} of cases) {
	test(`sizing: ${name}`, t => {
		t.deepEqual(planSizes(pools).map(({from, to}) => `${from}>${to}`), [...moves]);
	});
}
