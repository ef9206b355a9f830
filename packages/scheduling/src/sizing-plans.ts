/**
 * Plans the moves of idle VMs between pools as demand shifts. A pool whose demand exceeds its capacity gets idle VMs of other pools
 * or spare VMs; one whose tasks wait for room for long gets a VM of another pool's reserve. VMs that no pool needs move to the spare pool and are switched off until a pool needs them.
 */
import {type PoolName, type VmId} from '@tamarackwind/core';

/** A VM as input to the sizing. */
export type SizedVm = {
	readonly id: VmId;
	/** CPU in thousandths of a core. */
	readonly cpu: number;
	/** Time for which the VM has been idle, in milliseconds; `undefined` while it is in use or may not be moved. */
	readonly idleMs: number | undefined;
};

/** A pool as input to the sizing. */
export type SizedPool = {
	readonly name: PoolName;
	/** Whether the pool holds spare VMs, which are switched off and cost nothing. */
	readonly isSpare: boolean;
	readonly vms: readonly SizedVm[];
	/** Number of VMs that are moving to this pool. */
	readonly incoming: number;
	/** CPU in use, in thousandths of a core. */
	readonly usedCpu: number;
	/** CPU requested by waiting tasks, in thousandths of a core. */
	readonly waitingCpu: number;
	/** CPU that tasks will use or wait for when a move that begins now completes, in thousandths of a core. */
	readonly expectedCpu: number;
	/** Number of VMs needed by the widest long-running step with anti-affinity. */
	readonly antiAffinityVms: number;
	/** Longest time for which a task of the pool has waited for room, in milliseconds. */
	readonly starvedMs: number;
};

export type SizingOptions = {
	/** Share of a VM's CPU that packed tasks can use. */
	readonly packingShare: number;
	/** Number of VMs that a pool keeps beyond its demand, for the first jobs of a demand peak. */
	readonly reserveVms: number;
	/** Minimum number of VMs in a pool, so that new jobs can satisfy their anti-affinity. */
	readonly minVms: number;
	/** Minimum size of a pool as a share of an even split of the fleet, so that a demand peak does not begin with moves. */
	readonly minShare: number;
	/** Demand in VMs from which the expected demand counts: the few jobs of a small demand make it jump, and VMs requested for that stay idle. */
	readonly minExpectedVms: number;
	/** Idle time after which a VM may be switched off, in milliseconds: for shorter idle times a move costs more than it saves. */
	readonly minSwitchOffIdleMs: number;
	/** Idle time after which a VM may move to another pool, in milliseconds. */
	readonly minMoveIdleMs: number;
	/** Wait for room from which the reserves of other pools are lent, one VM at a time, in milliseconds: reserves are for work to come. */
	readonly maxStarvedMs: number;
	/** Part of this wait that is added for each idle VM of the pool, which its waiting tasks leave aside. */
	readonly starvedShareOfIdle: number;
	/** Share of its minimum that a pool keeps when it lends, so that its next jobs have workers. */
	readonly keptShare: number;
	/** Idle time after which a VM is lent by a pool whose own tasks wait for room in vain, in milliseconds. */
	readonly minStarvedIdleMs: number;
};

export const defaultSizing: SizingOptions = {
	packingShare: 0.85, reserveVms: 2, minVms: 5, minShare: 0.5, minExpectedVms: 25, minSwitchOffIdleMs: 1500, minMoveIdleMs: 300, maxStarvedMs: 3000, starvedShareOfIdle: 3, keptShare: 0.5, minStarvedIdleMs: 9000,
};

export type SizingMove = {readonly vm: VmId; readonly from: PoolName; readonly to: PoolName};

type PoolState = {
	readonly pool: SizedPool;
	readonly surplus: number;
	readonly idle: SizedVm[];
	/** Number of VMs that the pool may lend beyond its surplus. */
	readonly lendable: number;
	/** Whether tasks have waited for room for so long that the pool gets a VM whatever its demand. */
	readonly isStarved: boolean;
};

/**
 * Plans the moves for the current state of the pools.
 *
 * @example
 * const moves = planSizes([{name: 'north', isSpare: false, vms, incoming: 0, usedCpu: 60_000, waitingCpu: 40_000, expectedCpu: 110_000, antiAffinityVms: 0, starvedMs: 0}, spare]);
 */
export function planSizes(pools: readonly SizedPool[], options: SizingOptions = defaultSizing): SizingMove[] {
	const fleetVms = pools.reduce((sum, pool) => sum + pool.vms.length + pool.incoming, 0);
	const minVms = Math.max(options.minVms, Math.floor((fleetVms / Math.max(1, pools.length)) * options.minShare));
	const states = pools.filter(pool => !pool.isSpare).map(pool => describePool(pool, {...options, minVms}));
	const spares = pools.filter(pool => pool.isSpare);
	const spareVms = spares.flatMap(pool => pool.vms.filter(vm => vm.idleMs !== undefined).map(vm => ({vm, from: pool.name})));
	const moves: SizingMove[] = [];
	// A starved pool is given VMs, and gives none meanwhile.
	const movable = states.filter(state => state.surplus > 0 && !state.isStarved).flatMap(({pool, surplus, idle}) => idle.slice(0, surplus)
		.filter(vm => vm.idleMs! >= options.minMoveIdleMs).map(vm => ({vm, from: pool.name})));
	const sources = [...movable, ...spareVms];
	// Pools get one VM each per round, so that a pool that needs few does not wait for one that needs many.
	const demands = states.filter(({pool, surplus, isStarved}) => isStarved || (surplus < 0 && pool.waitingCpu > 0)).map(({pool, surplus, isStarved}) => ({pool, shortage: Math.max(-surplus, isStarved ? 1 : 0)}));
	for (let round = 1; sources.length > 0 && demands.some(({shortage}) => shortage >= round); round++) {
		for (const {pool} of demands.filter(({shortage}) => shortage >= round).slice(0, sources.length)) {
			const {vm, from} = sources.shift()!;
			moves.push({vm: vm.id, from, to: pool.name});
		}
	}

	moves.push(...lendReserves(states, moves, options));

	const [spare] = spares;
	const moved = new Set(moves.map(({vm}) => vm));
	for (const {pool, surplus, idle} of spare === undefined ? [] : states) {
		// A VM that has come for tasks which still wait would be asked for again.
		const kept = pool.starvedMs >= options.maxStarvedMs ? 1 : 0;
		const unused = idle.slice(0, Math.max(0, Math.min(surplus, idle.length - kept))).filter(vm => !moved.has(vm.id) && vm.idleMs! >= options.minSwitchOffIdleMs);
		moves.push(...unused.map(vm => ({vm: vm.id, from: pool.name, to: spare!.name})));
	}

	return moves;
}

/** Lends one idle VM to each starved pool that gets none otherwise, of what another pool keeps in reserve; those of pools without such tasks first. */
function lendReserves(states: readonly PoolState[], moves: readonly SizingMove[], {minMoveIdleMs, minStarvedIdleMs}: SizingOptions): SizingMove[] {
	const moved = new Set(moves.map(({vm}) => vm));
	const reserves = states.toSorted((a, b) => Number(a.isStarved) - Number(b.isStarved)).flatMap(({pool, idle, lendable}) => idle
		.filter(({id, idleMs}) => !moved.has(id) && idleMs! >= (pool.starvedMs > 0 ? minStarvedIdleMs : minMoveIdleMs)).slice(0, lendable).map(({id}) => ({vm: id, from: pool.name})));
	return states.filter(({pool, isStarved}) => isStarved && !moves.some(({to}) => to === pool.name)).flatMap(({pool}) => {
		const position = reserves.findIndex(({from}) => from !== pool.name);
		return position === -1 ? [] : reserves.splice(position, 1).map(({vm, from}) => ({vm, from, to: pool.name}));
	});
}

function describePool(pool: SizedPool, {packingShare, reserveVms, minVms, minExpectedVms, maxStarvedMs, starvedShareOfIdle, keptShare}: SizingOptions): PoolState {
	const packedCpu = Math.max(1, ...pool.vms.map(vm => vm.cpu)) * packingShare;
	const demandCpu = pool.usedCpu + pool.waitingCpu;
	const expectedCpu = demandCpu < minExpectedVms * packedCpu ? demandCpu : Math.max(demandCpu, pool.expectedCpu);
	const needed = Math.max(minVms, pool.antiAffinityVms + 1, Math.ceil(expectedCpu / packedCpu) + reserveVms);
	const idle = pool.vms.filter(vm => vm.idleMs !== undefined).toSorted((a, b) => b.idleMs! - a.idleMs!);
	return {
		pool,
		surplus: pool.vms.length + pool.incoming - needed,
		idle,
		lendable: Math.max(0, pool.vms.length - Math.max(pool.antiAffinityVms, Math.ceil(minVms * keptShare))),
		// Tasks that leave an idle VM aside may need several, or would leave a further one aside too.
		isStarved: pool.starvedMs >= maxStarvedMs * (1 + (starvedShareOfIdle * idle.length)) && pool.incoming === 0,
	};
}
