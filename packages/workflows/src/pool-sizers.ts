/**
 * Moves VMs between pools according to the sizing plan, on the entry that holds the scheduler lease.
 */
import {
	readErrorMessage, VerdictError, type Clock, type PoolName, type VmId,
} from '@tamarackwind/core';
import {
	DemandTrend, planSizes, type SizedPool, type SizingMove,
} from '@tamarackwind/scheduling';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {FleetCapacity} from './fleet-capacities.js';
import {type FleetOrders} from './fleet-orders.js';
import {type DeclarationWatcher} from './declaration-watchers.js';
import {type LoadMeter} from './load-meters.js';
import {type PoolScheduler} from './pool-schedulers.js';
import {type Timings} from './timings.js';
import {type FleetControl, type OrderFence, type FleetVm} from './workers.js';
import {type VmOccupancies} from './vm-occupancies.js';
import {type WorkerSession} from './worker-sessions.js';

export type PoolSizerOptions = {
	readonly clock: Clock;
	readonly declarations: DeclarationWatcher;
	readonly fleet: FleetControl;
	readonly log: RateLimitedLog;
	readonly meter: LoadMeter;
	readonly fence: OrderFence;
	readonly orders: FleetOrders;
	readonly occupancies: VmOccupancies;
	/** Rate limit of the VM control service for all entries together, in orders per second. */
	readonly fleetOrdersPerS: number;
	readonly timings: Timings;
	readonly listPools: () => readonly PoolScheduler[];
	/** Reports whether the tasks on the VMs of a pool are known; the VMs of other pools are left alone. */
	readonly isPoolKnown: (pool: PoolName) => boolean;
};

/** Minimum interval between log lines on pool sizes, in milliseconds. */
const logIntervalMs = 1000;
/** Share of the VM control service's rate limit that moves may use; the rest is left to waves. */
const orderShare = 0.75;
/** Maximum time over which unused orders accumulate, in milliseconds. */
const maxBurstMs = 500;
const millisecondsPerSecond = 1000;

/** A move that was ordered, until its VM has arrived or the move times out. */
type OrderedMove = {
	readonly to: PoolName;
	/** Time of the order, on the monotonic clock. */
	readonly at: number;
	/** Worker that ends if the order takes effect; set while the order has no answer. */
	readonly unansweredWorker?: WorkerSession;
};

/** Adjusts the pools to the sizes that their queues demand. */
export class PoolSizer {
	static create(options: PoolSizerOptions): PoolSizer {
		return new PoolSizer(options);
	}

	readonly #options: PoolSizerOptions;
	readonly #trend = DemandTrend.create();
	readonly #moving = new Map<VmId, OrderedMove>();
	#fleet: FleetCapacity | undefined;
	#loggedAt = Number.NEGATIVE_INFINITY;
	#plannedAt: number;
	/** CPU of the VMs that were moving to each pool at the last update, in thousandths of a core. */
	#incomingCpu: ReadonlyMap<PoolName, number> = new Map();

	private constructor(options: PoolSizerOptions) {
		this.#options = options;
		this.#plannedAt = options.clock.readMonotonic();
	}

	/** Returns the CPU of the VMs that are moving to a pool, in thousandths of a core. */
	getIncomingCpu(pool: PoolName): number {
		return this.#incomingCpu.get(pool) ?? 0;
	}

	/** Capacity of the fleet at the last update; the same object while it does not change. */
	get fleet(): FleetCapacity | undefined {
		return this.#fleet;
	}

	/** Plans and orders moves for the current fleet; `isReserved` reports the VMs that a wave drains or has taken down. */
	async update(vms: readonly FleetVm[], isReserved: (vm: VmId) => boolean): Promise<void> {
		const {pools, moves} = this.#options.meter.track('size pools', () => this.#planMoves(vms, isReserved));
		this.#logSizes(pools, moves);
		if (moves.length === 0 || !await this.#options.orders.recordOrders(moves.map(({vm}) => vm))) {
			return;
		}

		await Promise.all(moves.map(async move => this.#moveVm(move, vms)));
	}

	#planMoves(vms: readonly FleetVm[], isReserved: (vm: VmId) => boolean): {readonly pools: SizedPool[]; readonly moves: SizingMove[]} {
		const fleet = this.#describeFleet(vms);
		this.#fleet = this.#fleet?.isEqual(fleet) ? this.#fleet : fleet;
		this.#updateMoving(vms);
		this.#incomingCpu = this.#sumIncomingCpu(vms);
		const pools = this.#describePools(vms, isReserved);
		return {pools, moves: planSizes(pools).slice(0, this.#countOrders())};
	}

	/** Describes the capacity of the VMs, by what their workers report of themselves where they are known, since that decides on starts. */
	#describeFleet(vms: readonly FleetVm[]): FleetCapacity {
		const schedulers = new Map(this.#options.listPools().map(pool => [pool.service as string, pool]));
		return FleetCapacity.create(vms.map(vm => (vm.worker === undefined ? undefined : schedulers.get(vm.pool)?.findWorkerSession(vm.worker))?.record ?? vm));
	}

	#sumIncomingCpu(vms: readonly FleetVm[]): Map<PoolName, number> {
		const sums = new Map<PoolName, number>();
		for (const {id, capacity} of vms) {
			const pool = this.#moving.get(id)?.to;
			if (pool !== undefined) {
				sums.set(pool, (sums.get(pool) ?? 0) + capacity.cpu);
			}
		}

		return sums;
	}

	/** Counts the orders that may be sent now without exceeding the rate limit; at least one. */
	#countOrders(): number {
		const now = this.#options.clock.readMonotonic();
		const elapsedMs = Math.min(maxBurstMs, now - this.#plannedAt);
		this.#plannedAt = now;
		return Math.max(1, Math.floor((this.#options.fleetOrdersPerS * orderShare * elapsedMs) / millisecondsPerSecond));
	}

	/** Logs the input of the sizing, so that a late job can be explained by the capacity of its pool. */
	#logSizes(pools: readonly SizedPool[], moves: readonly SizingMove[]): void {
		const {clock, log} = this.#options;
		const now = clock.readMonotonic();
		if (now - this.#loggedAt < logIntervalMs) {
			return;
		}

		this.#loggedAt = now;
		for (const {name, vms, incoming, usedCpu, waitingCpu, expectedCpu, starvedMs} of pools) {
			log.info('pool sized', {
				pool: name,
				vms: vms.length,
				idle: vms.filter(vm => vm.idleMs !== undefined).length,
				incoming,
				usedCpu,
				waitingCpu,
				expectedCpu: Math.round(expectedCpu),
				starvedMs: Math.round(starvedMs),
				in: moves.filter(move => move.to === name).length,
				out: moves.filter(move => move.from === name).length,
			});
		}
	}

	/**
	 * Reconciles the ordered moves with the listed VMs: ends the worker of a VM that has left although its order had no answer, and drops
	 * moves that have completed or timed out. A VM whose order never took effect is back in use after the timeout.
	 */
	#updateMoving(vms: readonly FleetVm[]): void {
		const {clock, timings} = this.#options;
		const listed = new Map(vms.map(vm => [vm.id, vm]));
		for (const [id, move] of this.#moving) {
			const vm = listed.get(id);
			if (vm !== undefined && move.unansweredWorker !== undefined && (vm.state === 'moving' || vm.pool === move.to)) {
				this.#moving.set(id, {to: move.to, at: move.at});
				this.#endMovedWorker(move.unansweredWorker);
			}

			const hasArrived = vm?.pool === move.to && vm.state === 'up' && (vm.worker === undefined || this.#findSession(vm) !== undefined);
			if (hasArrived || clock.readMonotonic() - move.at > timings.moveTimeoutMs) {
				this.#moving.delete(id);
			}
		}
	}

	#endMovedWorker(session: WorkerSession): void {
		if (!session.isClosed) {
			session.endByVmOrder('move');
		}
	}

	#describePools(vms: readonly FleetVm[], isReserved: (vm: VmId) => boolean): SizedPool[] {
		const schedulers = new Map(this.#options.listPools().map(pool => [pool.service as string, pool]));
		const configured = this.#options.declarations.configuration?.pools ?? [];
		return configured.filter(({name}) => this.#options.isPoolKnown(name as string as PoolName)).map(({name, isSpare}) => {
			const pool = name as string as PoolName;
			const scheduler = schedulers.get(name);
			const load = scheduler?.computeLoad();
			this.#trend.observe(pool, (load?.usedCpu ?? 0) + (load?.waitingCpu ?? 0), this.#options.clock.readMonotonic());
			const poolVms = vms.filter(vm => vm.pool as string === name && vm.state === 'up' && !this.#moving.has(vm.id));
			return {
				name: pool,
				isSpare,
				vms: poolVms.map(vm => ({
					id: vm.id, cpu: vm.capacity.cpu, idleMs: isReserved(vm.id) || !this.#options.orders.isOrderable(vm.id) ? undefined : this.#computeIdleMs(vm, isSpare),
				})),
				incoming: [...this.#moving.values()].filter(move => move.to as string === name).length,
				usedCpu: load?.usedCpu ?? 0,
				waitingCpu: load?.waitingCpu ?? 0,
				expectedCpu: this.#trend.estimateDemand(pool),
				antiAffinityVms: load?.antiAffinityVms ?? 0,
				// Without a worker, no task can be told to wait for room.
				starvedMs: (poolVms.length === 0 ? scheduler?.waits.longestWaitMs : scheduler?.waits.longestRoomWaitMs) ?? 0,
			};
		});
	}

	#computeIdleMs(vm: FleetVm, isSpare: boolean): number | undefined {
		const {session, tasks} = this.#options.occupancies.describe(vm);
		if (session === undefined) {
			return isSpare && tasks.size === 0 ? Number.POSITIVE_INFINITY : undefined;
		}

		return session.isSchedulable && session.idleSince !== undefined ? this.#options.clock.readMonotonic() - session.idleSince : undefined;
	}

	async #moveVm({vm, from, to}: SizingMove, vms: readonly FleetVm[]): Promise<void> {
		const {clock, fleet, log, fence, timings} = this.#options;
		const session = this.#findSession(vms.find(other => other.id === vm)!);
		if (session !== undefined && session.tasks.size > 0) {
			return;
		}

		session?.cordons.renew('move', timings.moveTimeoutMs);
		this.#moving.set(vm, {to, at: clock.readMonotonic()});
		try {
			const outcome = await fleet.moveVm(vm, to, fence);
			log.info('VM moved', {
				vm, from, to, outcome, worker: session?.name,
			});
			if (outcome === 'accepted') {
				session?.endByVmOrder('move');
				return;
			}
		} catch (error) {
			const isUnsent = error instanceof VerdictError && error.verdict === 'not-run';
			log.warn('move not answered', {
				vm, from, to, isUnsent, error: readErrorMessage(error),
			});
			if (!isUnsent) {
				// The order may still take effect, so the VM gets no work until the list shows that it did or the move times out.
				this.#moving.set(vm, {to, at: clock.readMonotonic(), unansweredWorker: session});
				session?.cordons.renew('move', timings.moveTimeoutMs);
				return;
			}
		}

		this.#moving.delete(vm);
		session?.cordons.clear('move');
	}

	#findSession(vm: FleetVm): WorkerSession | undefined {
		return this.#options.occupancies.describe(vm).session;
	}
}
