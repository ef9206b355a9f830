/**
 * Sizes of pools: which idle VMs move where. Answers demand that turns from pool to pool: a pool whose queue asks for more than
 * it holds borrows VMs, and VMs that nobody needs are switched off in the spare pool until somebody does.
 */
import {type PoolName, type VmId} from '@tamarackwind/core';

/** A VM as the sizing sees it. */
export type SizedVm = {
	readonly id: VmId;
	/** Thousandths of a core. */
	readonly cpu: number;
	/** Time for which nothing has run on it, in milliseconds; `undefined` while something does or it may not move. */
	readonly idleMs: number | undefined;
};

/** A pool as the sizing sees it. */
export type SizedPool = {
	readonly name: PoolName;
	/** VMs of a spare pool are off and cost nothing. */
	readonly isSpare: boolean;
	readonly vms: readonly SizedVm[];
	/** VMs that are on their way here. */
	readonly incoming: number;
	/** Processors that run tasks, in thousandths of a core. */
	readonly usedCpu: number;
	/** Processors that tasks wait for, in thousandths of a core. */
	readonly waitingCpu: number;
	/** VMs that the widest step needs which keeps its tasks apart. */
	readonly spreadVms: number;
};

export type SizingOptions = {
	/** Share of a VM's processors that tasks can be packed into. */
	readonly packing: number;
	/** VMs kept beyond what is in use, for the first jobs of a turn. */
	readonly reserve: number;
	/** VMs that a pool keeps in any case, over which new jobs can keep their tasks apart. */
	readonly minVms: number;
	/** Share of an even split of the fleet that a pool keeps in any case, so that its turn does not begin with moves. */
	readonly minShare: number;
	/** Time for which a VM must have been idle before it is switched off, in milliseconds: below it, a move costs more than it saves. */
	readonly idleMs: number;
	/** Time for which a VM must have been idle before another pool may borrow it, in milliseconds. */
	readonly lendMs: number;
};

export const defaultSizing: SizingOptions = {
	packing: 0.85, reserve: 2, minVms: 5, minShare: 0.5, idleMs: 1500, lendMs: 300,
};

export type SizingMove = {readonly vm: VmId; readonly from: PoolName; readonly to: PoolName};

type PoolState = {readonly pool: SizedPool; readonly surplus: number; readonly idle: SizedVm[]};

/**
 * Plans the moves of one look.
 *
 * @example
 * const moves = planSizes([{name: 'north', isSpare: false, vms, incoming: 0, usedCpu: 60_000, waitingCpu: 40_000}, spare]);
 */
export function planSizes(pools: readonly SizedPool[], options: SizingOptions = defaultSizing): SizingMove[] {
	const fleetVms = pools.reduce((sum, pool) => sum + pool.vms.length + pool.incoming, 0);
	const minVms = Math.max(options.minVms, Math.floor((fleetVms / Math.max(1, pools.length)) * options.minShare));
	const states = pools.filter(pool => !pool.isSpare).map(pool => describePool(pool, {...options, minVms}));
	const spares = pools.filter(pool => pool.isSpare);
	const spareVms = spares.flatMap(pool => pool.vms.filter(vm => vm.idleMs !== undefined).map(vm => ({vm, from: pool.name})));
	const moves: SizingMove[] = [];
	const lent = states.filter(state => state.surplus > 0).flatMap(({pool, surplus, idle}) => idle.slice(0, surplus)
		.filter(vm => vm.idleMs! >= options.lendMs).map(vm => ({vm, from: pool.name})));
	const sources = [...lent, ...spareVms];
	// One VM each in turn: a pool that asks for few is not kept waiting by one that asks for many.
	const needy = states.filter(({pool, surplus}) => surplus < 0 && pool.waitingCpu > 0).map(({pool, surplus}) => ({pool, missing: -surplus}));
	for (let round = 1; sources.length > 0 && needy.some(({missing}) => missing >= round); round++) {
		for (const {pool} of needy.filter(({missing}) => missing >= round).slice(0, sources.length)) {
			const {vm, from} = sources.shift()!;
			moves.push({vm: vm.id, from, to: pool.name});
		}
	}

	const [spare] = spares;
	const moved = new Set(moves.map(({vm}) => vm));
	for (const {pool, surplus, idle} of spare === undefined ? [] : states) {
		const unused = idle.slice(0, Math.max(0, surplus)).filter(vm => !moved.has(vm.id) && vm.idleMs! >= options.idleMs);
		moves.push(...unused.map(vm => ({vm: vm.id, from: pool.name, to: spare!.name})));
	}

	return moves;
}

function describePool(pool: SizedPool, {packing, reserve, minVms}: SizingOptions): PoolState {
	const cpu = Math.max(1, ...pool.vms.map(vm => vm.cpu));
	const needed = Math.max(minVms, pool.spreadVms + 1, Math.ceil((pool.usedCpu + pool.waitingCpu) / (cpu * packing)) + reserve);
	return {
		pool,
		surplus: pool.vms.length + pool.incoming - needed,
		idle: pool.vms.filter(vm => vm.idleMs !== undefined).toSorted((a, b) => b.idleMs! - a.idleMs!),
	};
}
