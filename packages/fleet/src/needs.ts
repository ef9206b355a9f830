/**
 * Moves that the declared sizes and the lasting need of the pools ask for.
 */
import {
	type MoveId, type OperatorId, type PoolName, type RandomSource,
} from '@tamarackwind/core';
import {type ResolvedPool} from '@tamarackwind/settings';
import {computeMaxUnavailable} from './budgets.js';
import {type PlanContext} from './plans.js';
import {
	isMoveActive, type MoveCause, type MoveRow, type VmRow,
} from './rows.js';
import {countDomains, countSpreadingVms} from './spreads.js';

/** Slots in use or waited for, in the mean over minutes, by pool. */
export type Demand = ReadonlyMap<PoolName, number>;

export type NeedOptions = {
	readonly random: RandomSource;
	/** Part of a pool's slots that its mean demand should fill at most. */
	readonly utilization?: number;
	/** Time for which a shortage must last before VMs are lent, in milliseconds. */
	readonly shortageMs?: number;
	/** Time for which a surplus must last before VMs are given up, in milliseconds. */
	readonly surplusMs?: number;
	/** Part by which demand may grow before a pool lacks a VM that it gives up. */
	readonly hysteresis?: number;
	/** Part of the fleet that moves by need in one hour at most; at least one VM does. */
	readonly hourlyCap?: number;
};

/** A move that should be made. */
export type WantedMove = Pick<MoveRow, 'from' | 'to' | 'count' | 'cause'>;

type PoolNeed = {
	readonly pool: ResolvedPool;
	readonly members: readonly VmRow[];
	/** VMs of the pool that run, without those about to leave it. */
	readonly capacity: number;
	readonly need: number;
	/** VMs that the pool keeps when it gives some up. */
	readonly kept: number;
};

const hourMs = 3_600_000;
const minuteMs = 60_000;
const plannerOperator = 'planner' as OperatorId;

/** Finds the moves that pools need. Declared sizes go first; need is met only where it lasts. */
export class NeedPlanner {
	static create(options: NeedOptions): NeedPlanner {
		return new NeedPlanner(options);
	}

	readonly #options: Required<NeedOptions>;
	readonly #shortSince = new Map<PoolName, number>();
	readonly #surplusSince = new Map<PoolName, number>();
	#recentMoves: Array<{readonly at: number; readonly count: number}> = [];

	private constructor(options: NeedOptions) {
		this.#options = {
			utilization: 0.8, shortageMs: 5 * minuteMs, surplusMs: 30 * minuteMs, hysteresis: 0.05, hourlyCap: 0.2, ...options,
		};
	}

	/** Lists the moves to declare now; `monotonicNow` is in milliseconds. */
	planNeeds(ctx: PlanContext, demand: Demand, moves: readonly MoveRow[], monotonicNow: number): MoveRow[] {
		const active = moves.filter(move => isMoveActive(move));
		const bySize = planSizes(ctx, active);
		const wanted = bySize.length > 0 ? bySize : this.#planByNeed(ctx, demand, active, monotonicNow);
		return wanted.map(({from, to, count, cause}) => ({
			moveId: this.#options.random.createToken() as MoveId,
			state: 'running', cause, from, to, count, vmIds: [], done: [], createdBy: plannerOperator, createdAt: ctx.now,
		}));
	}

	#planByNeed(ctx: PlanContext, demand: Demand, active: readonly MoveRow[], monotonicNow: number): WantedMove[] {
		const needs = this.#readNeeds(ctx, demand);
		this.#noteDurations(needs, monotonicNow);
		const settled = needs.filter(({pool}) => !active.some(move => move.to === pool.name || (move.from === pool.name && !pool.isSpare)));
		const wanted = this.#findLoan(settled, countPending(ctx, active), monotonicNow) ?? this.#findReturn(settled, monotonicNow);
		const allowed = this.#applyCap(ctx, wanted, monotonicNow);
		return allowed === undefined ? [] : [allowed];
	}

	#readNeeds({snapshot, pools}: PlanContext, demand: Demand): PoolNeed[] {
		return [...pools.values()].map(pool => {
			const members = snapshot.listMembers(pool.name);
			const capacity = members.filter(row => row.work?.kind !== 'move' && (row.state !== 'serving' || !snapshot.isOut(row))).length;
			const load = (demand.get(pool.name) ?? 0) / (pool.slotsPerVm * this.#options.utilization);
			return {
				pool, members, capacity, need: Math.ceil(load), kept: Math.ceil(load * (1 + this.#options.hysteresis)),
			};
		});
	}

	#noteDurations(needs: readonly PoolNeed[], now: number): void {
		for (const {pool: {name}, capacity, need, kept} of needs) {
			setSince(this.#shortSince, name, need > capacity, now);
			setSince(this.#surplusSince, name, capacity > kept, now);
		}
	}

	#findLoan(needs: readonly PoolNeed[], pending: ReadonlyMap<PoolName, number>, now: number): WantedMove | undefined {
		const short = needs
			.filter(({pool}) => !pool.isSpare && hasLasted(this.#shortSince, pool.name, now, this.#options.shortageMs))
			.toSorted((a, b) => (b.need - b.capacity) - (a.need - a.capacity))[0];
		if (short === undefined) {
			return undefined;
		}

		const domains = countDomains(needs.flatMap(({members}) => members));
		const donors = needs
			.map(need => ({need, available: this.#countAvailable(need, now) - (pending.get(need.pool.name) ?? 0)}))
			.filter(({need, available}) => need.pool.name !== short.pool.name && available > 0)
			.toSorted((a, b) => (Number(b.need.pool.isSpare) - Number(a.need.pool.isSpare)) || (b.available - a.available));
		for (const {need, available} of donors) {
			const count = countSpreadingVms(need.members, need.pool.isSpare ? [] : need.members, short.members, domains, Math.min(short.need - short.capacity, available));
			if (count > 0) {
				return {
					from: need.pool.name, to: short.pool.name, count, cause: 'need',
				};
			}
		}

		return undefined;
	}

	/** Counts the VMs that a pool can lend and still meet its own need and failures. */
	#countAvailable({pool, capacity, kept, members}: PoolNeed, now: number): number {
		if (pool.isSpare) {
			return capacity - kept;
		}

		const hasSurplus = hasLasted(this.#surplusSince, pool.name, now, this.#options.surplusMs);
		return hasSurplus ? capacity - kept - computeMaxUnavailable(pool.budget, members.length) : 0;
	}

	#findReturn(needs: readonly PoolNeed[], now: number): WantedMove | undefined {
		for (const {pool, members, capacity, kept} of needs) {
			const lent = members.find(row => row.home !== pool.name && row.state === 'serving');
			const surplus = capacity - kept;
			if (lent !== undefined && surplus > 0 && hasLasted(this.#surplusSince, pool.name, now, this.#options.surplusMs)) {
				const count = members.filter(row => row.home === lent.home).length;
				return {
					from: pool.name, to: lent.home, count: Math.min(count, surplus), cause: 'return',
				};
			}
		}

		return undefined;
	}

	#applyCap({snapshot}: PlanContext, wanted: WantedMove | undefined, now: number): WantedMove | undefined {
		this.#recentMoves = this.#recentMoves.filter(move => now - move.at < hourMs);
		const fleetSize = snapshot.listPools().reduce((sum, pool) => sum + snapshot.listMembers(pool).length, 0);
		const cap = Math.max(1, Math.floor(fleetSize * this.#options.hourlyCap));
		const left = cap - this.#recentMoves.reduce((sum, move) => sum + move.count, 0);
		const count = Math.min(wanted?.count ?? 0, left);
		if (wanted === undefined || count <= 0) {
			return undefined;
		}

		this.#recentMoves.push({at: now, count});
		return {...wanted, count};
	}
}

function setSince(since: Map<PoolName, number>, name: PoolName, holds: boolean, now: number): void {
	if (!holds) {
		since.delete(name);
	} else if (!since.has(name)) {
		since.set(name, now);
	}
}

function hasLasted(since: ReadonlyMap<PoolName, number>, name: PoolName, now: number, durationMs: number): boolean {
	const start = since.get(name);
	return start !== undefined && now - start >= durationMs;
}

/** Counts the VMs that active moves have yet to take from each pool. */
function countPending({snapshot}: PlanContext, active: readonly MoveRow[]): Map<PoolName, number> {
	const pending = new Map<PoolName, number>();
	for (const move of active) {
		const taken = snapshot.listBusy().filter(row => row.work?.id === move.moveId).length;
		pending.set(move.from, (pending.get(move.from) ?? 0) + move.count - move.done.length - taken);
	}

	return pending;
}

/** Counts the VMs that belong to each pool, lent ones at home, with the active moves done. */
function countOwned({snapshot, pools}: PlanContext, active: readonly MoveRow[]): Map<PoolName, number> {
	const owned = new Map([...pools.keys()].map(name => [name, 0]));
	const add = (pool: PoolName, count: number): void => {
		owned.set(pool, (owned.get(pool) ?? 0) + count);
	};

	for (const pool of snapshot.listPools()) {
		for (const row of snapshot.listMembers(pool)) {
			add(row.home, 1);
		}
	}

	for (const move of active.filter(({cause}) => cause === 'size' || cause === 'operator')) {
		const left = move.count - move.done.length;
		add(move.from, -left);
		add(move.to, left);
	}

	return owned;
}

/** Finds the moves that bring pools to their declared sizes, from pools above theirs and from spare pools. */
function planSizes(ctx: PlanContext, active: readonly MoveRow[]): WantedMove[] {
	const owned = countOwned(ctx, active);
	const pools = [...ctx.pools.values()];
	const wanted: WantedMove[] = [];
	for (const pool of pools) {
		let missing = (pool.size ?? 0) - owned.get(pool.name)!;
		for (const donor of rankSizeDonors(pools, pool)) {
			const spare = owned.get(donor.name)! - (donor.size ?? 0);
			const count = Math.min(missing, spare);
			if (pool.size !== undefined && count > 0) {
				wanted.push(createSizeMove(owned, donor, pool, count));
				missing -= count;
			}
		}
	}

	return [...wanted, ...planSurplus(pools, owned)];
}

function rankSizeDonors(pools: readonly ResolvedPool[], taker: ResolvedPool): ResolvedPool[] {
	return pools
		.filter(donor => donor.name !== taker.name && (donor.size !== undefined || donor.isSpare))
		.toSorted((a, b) => Number(a.isSpare) - Number(b.isSpare));
}

/** Sends VMs above a declared size to a spare pool that has none declared. */
function planSurplus(pools: readonly ResolvedPool[], owned: Map<PoolName, number>): WantedMove[] {
	const taker = pools.find(pool => pool.isSpare && pool.size === undefined);
	return pools.flatMap(pool => {
		const surplus = owned.get(pool.name)! - (pool.size ?? Number.POSITIVE_INFINITY);
		return taker !== undefined && surplus > 0 ? [createSizeMove(owned, pool, taker, surplus)] : [];
	});
}

function createSizeMove(owned: Map<PoolName, number>, from: ResolvedPool, to: ResolvedPool, count: number): WantedMove {
	const cause: MoveCause = 'size';
	owned.set(from.name, owned.get(from.name)! - count);
	owned.set(to.name, owned.get(to.name)! + count);
	return {
		from: from.name, to: to.name, count, cause,
	};
}
