/**
 * Plans moves of VMs between pools from declared pool sizes and sustained demand.
 */
import {
	type MoveId, type OperatorId, type PoolName, type RandomSource,
} from '@tamarackwind/core';
import {type ResolvedPool} from '@tamarackwind/settings';
import {computeMaxUnavailable} from './budgets.js';
import {type PlanContext} from './plan-contexts.js';
import {
	isMoveActive, type MoveCause, type MoveRow, type VmRow,
} from './rows.js';
import {countDomains, countVmsKeepingSpread} from './spreads.js';

/** Mean number of slots in use or waited for over the last minutes, by pool. */
export type Demand = ReadonlyMap<PoolName, number>;

export type RebalancePlannerOptions = {
	readonly random: RandomSource;
	/** Largest fraction of a pool's slots that its mean demand should use. */
	readonly utilization?: number;
	/** Time that a shortage must last before the pool borrows VMs, in milliseconds. */
	readonly minShortageMs?: number;
	/** Time that a surplus must last before the pool lends or returns VMs, in milliseconds. */
	readonly minSurplusMs?: number;
	/** Fraction by which demand may grow before a pool needs a VM that it lent or returned. */
	readonly hysteresis?: number;
	/** Largest fraction of the fleet that demand may move within one hour; at least one VM may always move. */
	readonly maxHourlyFraction?: number;
};

/** A move to create. */
export type PlannedMove = Pick<MoveRow, 'from' | 'to' | 'count' | 'cause'>;

type PoolCapacity = {
	readonly pool: ResolvedPool;
	readonly members: readonly VmRow[];
	/** VMs of the pool that serve or will return from a wave, without those that are leaving it. */
	readonly availableVms: number;
	readonly requiredVms: number;
	/** VMs that the pool keeps when it lends or returns others. */
	readonly retainedVms: number;
};

const hourMs = 3_600_000;
const minuteMs = 60_000;
const plannerOperatorId = 'planner' as OperatorId;

/** Plans moves between pools. Declared sizes take precedence; demand causes a move only if it is sustained. */
export class RebalancePlanner {
	static create(options: RebalancePlannerOptions): RebalancePlanner {
		return new RebalancePlanner(options);
	}

	readonly #options: Required<RebalancePlannerOptions>;
	readonly #shortageSince = new Map<PoolName, number>();
	readonly #surplusSince = new Map<PoolName, number>();
	#recentMoves: Array<{readonly at: number; readonly count: number}> = [];

	private constructor(options: RebalancePlannerOptions) {
		this.#options = {
			utilization: 0.8, minShortageMs: 5 * minuteMs, minSurplusMs: 30 * minuteMs, hysteresis: 0.05, maxHourlyFraction: 0.2, ...options,
		};
	}

	/** Returns the moves to create now; `monotonicNow` is in milliseconds. */
	planRebalancing(ctx: PlanContext, demand: Demand, moves: readonly MoveRow[], monotonicNow: number): MoveRow[] {
		const activeMoves = moves.filter(move => isMoveActive(move));
		const sizeMoves = planSizeMoves(ctx, activeMoves);
		const planned = sizeMoves.length > 0 ? sizeMoves : this.#planByDemand(ctx, demand, activeMoves, monotonicNow);
		return planned.map(({from, to, count, cause}) => ({
			moveId: this.#options.random.createToken() as MoveId,
			state: 'running', cause, from, to, count, vmIds: [], done: [], createdBy: plannerOperatorId, createdAt: ctx.now,
		}));
	}

	#planByDemand(ctx: PlanContext, demand: Demand, activeMoves: readonly MoveRow[], monotonicNow: number): PlannedMove[] {
		const capacities = this.#computeCapacities(ctx, demand);
		this.#updateDurations(capacities, monotonicNow);
		const stablePools = capacities.filter(({pool}) => !activeMoves.some(move => move.to === pool.name || (move.from === pool.name && !pool.isSpare)));
		const planned = this.#findLoan(stablePools, countPendingByPool(ctx, activeMoves), monotonicNow) ?? this.#findReturn(stablePools, monotonicNow);
		const allowed = this.#applyHourlyLimit(ctx, planned, monotonicNow);
		return allowed === undefined ? [] : [allowed];
	}

	#computeCapacities({snapshot, pools}: PlanContext, demand: Demand): PoolCapacity[] {
		return [...pools.values()].map(pool => {
			const members = snapshot.listMembers(pool.name);
			const availableVms = members.filter(row => row.work?.kind !== 'move' && (row.state !== 'serving' || !snapshot.isUnavailable(row))).length;
			const load = (demand.get(pool.name) ?? 0) / (pool.slotsPerVm * this.#options.utilization);
			return {
				pool, members, availableVms, requiredVms: Math.ceil(load), retainedVms: Math.ceil(load * (1 + this.#options.hysteresis)),
			};
		});
	}

	#updateDurations(capacities: readonly PoolCapacity[], now: number): void {
		for (const {pool: {name}, availableVms, requiredVms, retainedVms} of capacities) {
			updateSince(this.#shortageSince, name, requiredVms > availableVms, now);
			updateSince(this.#surplusSince, name, availableVms > retainedVms, now);
		}
	}

	#findLoan(capacities: readonly PoolCapacity[], pending: ReadonlyMap<PoolName, number>, now: number): PlannedMove | undefined {
		const shortPools = capacities
			.filter(({pool}) => !pool.isSpare && hasLasted(this.#shortageSince, pool.name, now, this.#options.minShortageMs))
			.toSorted((a, b) => (b.requiredVms - b.availableVms) - (a.requiredVms - a.availableVms));
		for (const borrower of shortPools) {
			const loan = this.#findLoanFor(borrower, capacities, pending, now);
			if (loan !== undefined) {
				return loan;
			}
		}

		return undefined;
	}

	#findLoanFor(borrower: PoolCapacity, capacities: readonly PoolCapacity[], pending: ReadonlyMap<PoolName, number>, now: number): PlannedMove | undefined {
		const domains = countDomains(capacities.flatMap(({members}) => members));
		const donors = capacities
			.map(donor => ({donor, lendable: this.#countLendable(donor, now) - (pending.get(donor.pool.name) ?? 0)}))
			.filter(({donor, lendable}) => donor.pool.name !== borrower.pool.name && lendable > 0)
			.toSorted((a, b) => (Number(b.donor.pool.isSpare) - Number(a.donor.pool.isSpare)) || (b.lendable - a.lendable));
		for (const {donor, lendable} of donors) {
			const count = countVmsKeepingSpread(donor.members, donor.pool.isSpare ? [] : donor.members, borrower.members, domains, Math.min(borrower.requiredVms - borrower.availableVms, lendable));
			if (count > 0) {
				return {
					from: donor.pool.name, to: borrower.pool.name, count, cause: 'need',
				};
			}
		}

		return undefined;
	}

	/** Counts the VMs that a pool can lend while it still meets its own demand and tolerates failures. */
	#countLendable({pool, availableVms, retainedVms, members}: PoolCapacity, now: number): number {
		if (pool.isSpare) {
			return availableVms - retainedVms;
		}

		const hasSurplus = hasLasted(this.#surplusSince, pool.name, now, this.#options.minSurplusMs);
		return hasSurplus ? availableVms - retainedVms - computeMaxUnavailable(pool.budget, members.length) : 0;
	}

	#findReturn(capacities: readonly PoolCapacity[], now: number): PlannedMove | undefined {
		for (const {pool, members, availableVms, retainedVms} of capacities) {
			const borrowedVm = members.find(row => row.home !== pool.name && row.state === 'serving');
			const surplus = availableVms - retainedVms;
			if (borrowedVm !== undefined && surplus > 0 && hasLasted(this.#surplusSince, pool.name, now, this.#options.minSurplusMs)) {
				const count = members.filter(row => row.home === borrowedVm.home).length;
				return {
					from: pool.name, to: borrowedVm.home, count: Math.min(count, surplus), cause: 'return',
				};
			}
		}

		return undefined;
	}

	#applyHourlyLimit({snapshot}: PlanContext, move: PlannedMove | undefined, now: number): PlannedMove | undefined {
		this.#recentMoves = this.#recentMoves.filter(recent => now - recent.at < hourMs);
		const fleetSize = snapshot.listPools().reduce((sum, pool) => sum + snapshot.listMembers(pool).length, 0);
		const limit = Math.max(1, Math.floor(fleetSize * this.#options.maxHourlyFraction));
		const remaining = limit - this.#recentMoves.reduce((sum, recent) => sum + recent.count, 0);
		const count = Math.min(move?.count ?? 0, remaining);
		if (move === undefined || count <= 0) {
			return undefined;
		}

		this.#recentMoves.push({at: now, count});
		return {...move, count};
	}
}

function updateSince(since: Map<PoolName, number>, name: PoolName, isActive: boolean, now: number): void {
	if (!isActive) {
		since.delete(name);
	} else if (!since.has(name)) {
		since.set(name, now);
	}
}

function hasLasted(since: ReadonlyMap<PoolName, number>, name: PoolName, now: number, durationMs: number): boolean {
	const start = since.get(name);
	return start !== undefined && now - start >= durationMs;
}

/** Counts the VMs that active moves still have to drain, by source pool. */
function countPendingByPool({snapshot}: PlanContext, activeMoves: readonly MoveRow[]): Map<PoolName, number> {
	const pending = new Map<PoolName, number>();
	for (const move of activeMoves) {
		const draining = snapshot.listVmsInOperation().filter(row => row.work?.id === move.moveId).length;
		pending.set(move.from, (pending.get(move.from) ?? 0) + move.count - move.done.length - draining);
	}

	return pending;
}

/** Counts the VMs of each pool after all active moves. A lent VM counts for its home pool. */
function countOwnedByPool({snapshot, pools}: PlanContext, activeMoves: readonly MoveRow[]): Map<PoolName, number> {
	const owned = new Map([...pools.keys()].map(name => [name, 0]));
	const add = (pool: PoolName, count: number): void => {
		owned.set(pool, (owned.get(pool) ?? 0) + count);
	};

	for (const pool of snapshot.listPools()) {
		for (const row of snapshot.listMembers(pool)) {
			add(row.home, 1);
		}
	}

	for (const move of activeMoves.filter(({cause}) => cause === 'size' || cause === 'operator')) {
		const remaining = move.count - move.done.length;
		add(move.from, -remaining);
		add(move.to, remaining);
	}

	return owned;
}

/** Plans moves that bring pools to their declared sizes, from pools above their size and from spare pools. */
function planSizeMoves(ctx: PlanContext, activeMoves: readonly MoveRow[]): PlannedMove[] {
	const owned = countOwnedByPool(ctx, activeMoves);
	const pools = [...ctx.pools.values()];
	const planned: PlannedMove[] = [];
	for (const pool of pools) {
		let missing = (pool.size ?? 0) - owned.get(pool.name)!;
		for (const donor of rankSizeDonors(pools, pool)) {
			const surplus = owned.get(donor.name)! - (donor.size ?? 0);
			const count = Math.min(missing, surplus);
			if (pool.size !== undefined && count > 0) {
				planned.push(createSizeMove(owned, donor, pool, count));
				missing -= count;
			}
		}
	}

	return [...planned, ...planSurplusMoves(pools, owned)];
}

function rankSizeDonors(pools: readonly ResolvedPool[], recipient: ResolvedPool): ResolvedPool[] {
	return pools
		.filter(donor => donor.name !== recipient.name && (donor.size !== undefined || donor.isSpare))
		.toSorted((a, b) => Number(a.isSpare) - Number(b.isSpare));
}

/** Moves VMs in excess of a declared size to a spare pool without a declared size. */
function planSurplusMoves(pools: readonly ResolvedPool[], owned: Map<PoolName, number>): PlannedMove[] {
	const sparePool = pools.find(pool => pool.isSpare && pool.size === undefined);
	return pools.flatMap(pool => {
		const surplus = owned.get(pool.name)! - (pool.size ?? Number.POSITIVE_INFINITY);
		return sparePool !== undefined && surplus > 0 ? [createSizeMove(owned, pool, sparePool, surplus)] : [];
	});
}

function createSizeMove(owned: Map<PoolName, number>, from: ResolvedPool, to: ResolvedPool, count: number): PlannedMove {
	const cause: MoveCause = 'size';
	owned.set(from.name, owned.get(from.name)! - count);
	owned.set(to.name, owned.get(to.name)! + count);
	return {
		from: from.name, to: to.name, count, cause,
	};
}
