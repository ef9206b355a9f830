import {type PoolName, type VmId} from '@tamarackwind/core';
import test from 'ava';
import {planSizes, type SizedPool} from '../src/index.js';

const vmCpu = 10_000;

/** A pool of VMs of which the last `idle` have been idle for `idleMs`. */
function createPool(name: string, {count, idle = 0, idleMs = 5000, ...fields}: {readonly count: number; readonly idle?: number; readonly idleMs?: number} & Partial<SizedPool>): SizedPool {
	return {
		name: name as PoolName,
		isSpare: false,
		incoming: 0,
		usedCpu: 0,
		waitingCpu: 0,
		spreadVms: 0,
		vms: Array.from({length: count}, (_, index) => ({id: `${name}-${index}` as VmId, cpu: vmCpu, idleMs: index >= count - idle ? idleMs : undefined})),
		...fields,
	};
}

const spare = createPool('spare', {count: 3, idle: 3, isSpare: true});
const noSpare = createPool('spare', {count: 0, isSpare: true});

type Case = {readonly name: string; readonly pools: readonly SizedPool[]; readonly moves: readonly string[]};

const cases: readonly Case[] = [
	{name: 'a pool at its least size keeps it', pools: [createPool('north', {count: 5, idle: 5}), spare], moves: []},
	{name: 'idle VMs are switched off', pools: [createPool('north', {count: 8, idle: 8}), spare], moves: Array.from({length: 3}, () => 'north>spare')},
	{name: 'VMs that have just become idle stay', pools: [createPool('north', {count: 8, idle: 8, idleMs: 100}), spare], moves: []},
	{
		name: 'a queue that waits gets spare VMs', pools: [createPool('north', {count: 8, usedCpu: 68_000, waitingCpu: 10_000}), spare], moves: Array.from({length: 3}, () => 'spare>north'),
	},
	{
		name: 'idle VMs of another pool go before those that are off',
		pools: [createPool('north', {count: 8, usedCpu: 68_000, waitingCpu: 2000}), createPool('south', {count: 8, idle: 8, idleMs: 500}), spare],
		moves: Array.from({length: 3}, () => 'south>north'),
	},
	{
		name: 'a pool keeps what its lasting steps are spread over',
		pools: [createPool('north', {count: 8, usedCpu: 68_000, waitingCpu: 2000}), createPool('south', {count: 8, idle: 8, spreadVms: 7}), noSpare],
		moves: [],
	},
	{
		name: 'VMs on their way count', pools: [createPool('north', {
			count: 8, usedCpu: 68_000, waitingCpu: 10_000, incoming: 4,
		}), spare], moves: [],
	},
	{
		name: 'a pool that asks for few is served beside one that asks for many (grown fixture site, scale-1: a pool waited 15 s)',
		pools: [createPool('north', {count: 8, usedCpu: 68_000, waitingCpu: 100_000}), createPool('south', {count: 5, usedCpu: 42_000, waitingCpu: 2000}), spare],
		moves: ['spare>north', 'spare>south', 'spare>north'],
	},
	{name: 'without a spare pool nothing is switched off', pools: [createPool('north', {count: 9, idle: 9})], moves: []},
];

for (const {name, pools, moves} of cases) {
	test(`sizes: ${name}`, t => {
		t.deepEqual(planSizes(pools).map(({from, to}) => `${from}>${to}`), [...moves]);
	});
}
