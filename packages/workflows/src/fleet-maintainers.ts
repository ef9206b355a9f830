/**
 * Runs maintenance waves and the sizing of pools on the entry that holds the scheduler lease, within each wave's cap and the disruption budgets of running tasks.
 */
import {
	readErrorMessage, type Clock, type PoolName, type VmId,
} from '@tamarackwind/core';
import {type Check, type WatchableTableService} from '@tamarackwind/clients';
import {planEviction, type EvictionPlan} from '@tamarackwind/scheduling';
import {type Task} from './tasks.js';
import {type Bounds} from './bounds.js';
import {type WaveRequest} from './configurations.js';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {type FleetCapacity} from './fleet-capacities.js';
import {FleetOrders} from './fleet-orders.js';
import {type LoadMeter} from './load-meters.js';
import {fleetOrdersKey} from './table-keys.js';
import {type DeclarationCodec, type DeclarationWatcher} from './declaration-watchers.js';
import {type PoolScheduler} from './pool-schedulers.js';
import {PoolSizer} from './pool-sizers.js';
import {type Timings} from './timings.js';
import {type FleetControl, type FleetVm} from './workers.js';
import {VmOccupancies, type VmOccupancy} from './vm-occupancies.js';
import {type WorkerSession} from './worker-sessions.js';

export type FleetMaintainerOptions = {
	readonly clock: Clock;
	readonly tables: WatchableTableService;
	readonly declarations: DeclarationWatcher;
	readonly codec: DeclarationCodec;
	readonly fleet: FleetControl;
	readonly log: RateLimitedLog;
	readonly meter: LoadMeter;
	readonly holder: string;
	readonly epoch: number;
	readonly bounds: Bounds;
	readonly timings: Timings;
	readonly fleetOrdersPerS: number;
	readonly canOrder: () => boolean;
	/** Reports whether VMs may be ordered: the pools are known, or those that are not have been waited for. */
	readonly isReady: () => boolean;
	/** Reports whether the tasks on the VMs of a pool and their disruption budgets are known; the VMs of other pools are left alone. */
	readonly isPoolKnown: (pool: PoolName) => boolean;
	/** Returns the commit condition that the scheduler lease is still held; `undefined` when it is not. */
	readonly getCheck: () => Check | undefined;
	readonly listPools: () => readonly PoolScheduler[];
	readonly findPool: (pool: PoolName) => PoolScheduler | undefined;
	/** Returns the time at which the registry of workers was last read, on the monotonic clock. */
	readonly getRegistryReadAt: () => number;
};

/** Interval at which waves are advanced, in milliseconds. */
const waveIntervalMs = 250;
/** Interval at which pool sizes are updated, in milliseconds: short compared to the duration of a move. */
const sizingIntervalMs = 200;
/** Time for which a VM of a wave cannot be drained or ordered, while tasks of its pool wait for room, until it gets work again, in milliseconds: a third of the time for which no task may stand. */
const maxStuckMs = 1000;
/** Progress at which a long-running task is ready, in percent. */
const readyPercent = 100;
/** Table with the progress of each wave. */
const waveTable = 'waves';

type WaveRow = {readonly begun: readonly VmId[]; readonly state: 'running' | 'succeeded'};

/** Reports whether a worker answers, its VM was listed as up, and no order that was sent since then, or before, may still take it down. */
type SafetyCheck = (worker: VmId) => boolean;

type WaveProgress = {
	readonly wave: WaveRequest;
	/** VMs whose maintenance has begun or that no longer exist. */
	readonly begun: Set<VmId>;
	/** VMs whose maintenance order was accepted, with the time of the order; they count as down until the list shows them up again. */
	readonly down: Map<VmId, number>;
	/** VMs that are being drained, with the time at which draining began. */
	readonly draining: Map<VmId, number>;
	/** VMs that cannot be drained or whose orders are not carried out, with the time since which this has been so. */
	readonly stuckSince: Map<VmId, number>;
	/** VMs whose drain was given up because tasks waited for their room, with the time until which they are left alone. */
	readonly postponed: Map<VmId, number>;
	/** VMs missing from the list, with the time at which this was first observed. */
	readonly missing: Map<VmId, number>;
	state: 'running' | 'succeeded';
};

/** Runs maintenance waves and adjusts the sizes of pools. */
export class FleetMaintainer {
	static create(options: FleetMaintainerOptions): FleetMaintainer {
		const maintainer = new FleetMaintainer(options);
		void maintainer.#start();
		return maintainer;
	}

	readonly #options: FleetMaintainerOptions;
	readonly #waves = new Map<string, WaveProgress>();
	readonly #sizer: PoolSizer;
	readonly #orders: FleetOrders;
	readonly #occupancies: VmOccupancies;
	#isClosed = false;

	private constructor(options: FleetMaintainerOptions) {
		this.#options = options;
		this.#orders = FleetOrders.create({
			...options, fleetLeaseMs: options.bounds.fleetLeaseMs, row: fleetOrdersKey, canOrder: () => !this.#isClosed && options.canOrder() && options.isReady(),
		});
		this.#occupancies = VmOccupancies.create({...options, entryReturnMs: options.timings.entryReturnMs});
		this.#sizer = PoolSizer.create({
			...options, occupancies: this.#occupancies, fence: {holder: options.holder, fencingToken: options.epoch}, orders: this.#orders,
		});
	}

	/** Returns the CPU of the VMs that are moving to a pool, in thousandths of a core. */
	getIncomingCpu(pool: PoolName): number {
		return this.#sizer.getIncomingCpu(pool);
	}

	/** Capacity of the VMs of all pools; `undefined` while it is not known. */
	get fleet(): FleetCapacity | undefined {
		return this.#sizer.fleet;
	}

	close(): void {
		this.#isClosed = true;
	}

	/** Loads the recent orders of earlier holders, with retries, and starts both loops. */
	async #start(): Promise<void> {
		const {clock, log} = this.#options;
		while (!this.#isClosed) {
			try {
				await this.#orders.load();
				break;
			} catch (error) {
				log.warn('reading the earlier holder\'s orders failed', {error: readErrorMessage(error)});
				await clock.sleep(waveIntervalMs);
			}
		}

		await Promise.all([this.#runWaves(), this.#runSizing()]);
	}

	async #runSizing(): Promise<void> {
		while (!this.#isClosed) {
			await this.#updateSizes();
			await this.#options.clock.sleep(sizingIntervalMs);
		}
	}

	async #runWaves(): Promise<void> {
		const {clock, log, declarations} = this.#options;
		while (!this.#isClosed) {
			for (const wave of declarations.waves.values()) {
				try {
					await this.#advanceWave(wave);
				} catch (error) {
					log.warn('advancing the wave failed', {wave: wave.id, error: readErrorMessage(error)});
				}
			}

			await clock.sleep(waveIntervalMs);
		}
	}

	async #updateSizes(): Promise<void> {
		const {fleet, log} = this.#options;
		if (!this.#orders.canSendOrders) {
			return;
		}

		try {
			const running = [...this.#waves.values()].filter(({state}) => state === 'running');
			const reserved = new Set(running.flatMap(wave => [...wave.draining.keys(), ...wave.down.keys()]));
			const vms = await fleet.listVms();
			this.#occupancies.update(vms);
			await this.#sizer.update(vms, vm => reserved.has(vm));
		} catch (error) {
			log.warn('resizing pools failed', {error: readErrorMessage(error)});
		}
	}

	async #advanceWave(wave: WaveRequest): Promise<void> {
		if (!this.#orders.canSendOrders) {
			return;
		}

		const progress = this.#waves.get(wave.id) ?? await this.#loadWave(wave);
		if (progress.state === 'succeeded') {
			return;
		}

		const askedAt = this.#options.clock.readMonotonic();
		const listed = await this.#options.fleet.listVms();
		this.#occupancies.update(listed);
		const vms = new Map(listed.map(vm => [vm.id, vm]));
		const isSafe = this.#createSafetyCheck(listed, askedAt);
		this.#observeVms(progress, vms);
		this.#startDraining(progress, vms);
		for (const id of progress.draining.keys()) {
			const isOrdered = progress.down.size >= wave.cap || await this.#tryMaintainVm(progress, vms.get(id)!, isSafe);
			this.#releaseStuck(progress, vms.get(id)!, {isOrdered, isSafe});
		}

		if (wave.vms.every(id => progress.begun.has(id))) {
			await this.#writeState(progress, 'succeeded');
		}
	}

	/**
	 * Creates the check of the workers on VMs whose list was asked for at `askedAt`. It takes account of each order that is sent from then on, which may have
	 * been carried out.
	 */
	#createSafetyCheck(listed: readonly FleetVm[], askedAt: number): SafetyCheck {
		const candidates = new Map<VmId, {readonly vm: VmId; readonly session: WorkerSession}>();
		for (const vm of listed) {
			const session = vm.state === 'up' && !this.#orders.isPending(vm.id) ? this.#findSession(vm) : undefined;
			if (session !== undefined) {
				candidates.set(session.record.id, {vm: vm.id, session});
			}
		}

		return worker => {
			const candidate = candidates.get(worker);
			return candidate !== undefined && candidate.session.isReachable && !this.#orders.hasSentSince(candidate.vm, askedAt);
		};
	}

	async #loadWave(wave: WaveRequest): Promise<WaveProgress> {
		const row = await this.#options.tables.getRow({table: waveTable, key: wave.id});
		const saved = row?.value as WaveRow | undefined;
		const now = this.#options.clock.readMonotonic();
		const progress: WaveProgress = {
			wave,
			begun: new Set(saved?.begun),
			// VMs that an earlier holder ordered recently may still be down, or may yet go down.
			down: new Map([...saved?.begun ?? [], ...wave.vms.filter(id => !this.#orders.isOrderable(id))].map(id => [id, now])),
			draining: new Map(),
			stuckSince: new Map(),
			postponed: new Map(),
			missing: new Map(),
			state: saved?.state ?? 'running',
		};
		if (saved === undefined) {
			await this.#writeState(progress, 'running');
		}

		this.#waves.set(wave.id, progress);
		return progress;
	}

	/** Updates which VMs are up again, which no longer exist, and which are in maintenance without a known order. Those of pools that are not known count too. */
	#observeVms({wave, begun, down, draining, missing}: WaveProgress, vms: ReadonlyMap<VmId, FleetVm>): void {
		const {clock, bounds, timings, log, isPoolKnown} = this.#options;
		const now = clock.readMonotonic();
		for (const id of wave.vms) {
			const vm = vms.get(id);
			if (vm === undefined) {
				missing.set(id, missing.get(id) ?? now);
				draining.delete(id);
				if (now - missing.get(id)! > timings.missingVmMs) {
					down.delete(id);
					if (!begun.has(id)) {
						log.info('VM of a wave no longer exists', {wave: wave.id, vm: id});
						begun.add(id);
					}
				}

				continue;
			}

			missing.delete(id);
			// A late order of an earlier holder may have moved the VM there.
			if (!isPoolKnown(vm.pool)) {
				draining.delete(id);
			}

			if (vm.state === 'upkeep') {
				down.set(id, Math.min(now, down.get(id) ?? now));
			} else if (now - (down.get(id) ?? now) > (vm.state === 'up' ? bounds.returnMs : timings.missingVmMs) && this.#orders.isOrderable(id)) {
				down.delete(id);
			}
		}
	}

	/** Starts to drain VMs up to the wave's cap, those with the fewest tasks first. VMs whose workers are missing come last, and not before these count as gone. */
	#startDraining(progress: WaveProgress, vms: ReadonlyMap<VmId, FleetVm>): void {
		const {wave, begun, down, draining, postponed} = progress;
		const {clock, isPoolKnown} = this.#options;
		const now = clock.readMonotonic();
		const isAvailable = (vm: FleetVm | undefined) => vm?.state === 'up' && isPoolKnown(vm.pool) && this.#occupancies.describe(vm).status !== 'unknown';
		// A VM that got its work back may still be taken down by the order that it had.
		const ordered = wave.vms.filter(id => this.#orders.isPending(id) && !begun.has(id) && !draining.has(id) && !down.has(id));
		const freeSlots = wave.cap - down.size - draining.size - ordered.length;
		const candidates = wave.vms.filter(id => !begun.has(id) && !draining.has(id) && !down.has(id) && now >= (postponed.get(id) ?? now) && isAvailable(vms.get(id)))
			.map(id => ({id, occupancy: this.#occupancies.describe(vms.get(id)!)}))
			.toSorted((a, b) => Number(hasAssumedTasks(a.occupancy)) - Number(hasAssumedTasks(b.occupancy)) || a.occupancy.tasks.size - b.occupancy.tasks.size);
		for (const {id} of candidates.slice(0, Math.max(0, freeSlots))) {
			draining.set(id, now);
			this.#findSession(vms.get(id)!)?.cordons.renew('upkeep', this.#options.timings.moveTimeoutMs);
		}
	}

	/**
	 * Gives the room of a VM back that cannot be drained because of a disruption budget, or whose order is not carried out, if tasks of its pool wait that
	 * it may be able to run. They may be the ones that the budget waits for.
	 */
	#releaseStuck({wave, draining, stuckSince, postponed}: WaveProgress, vm: FleetVm, {isOrdered, isSafe}: {readonly isOrdered: boolean; readonly isSafe: SafetyCheck}): void {
		const {clock, log, timings} = this.#options;
		const session = this.#findSession(vm);
		const now = clock.readMonotonic();
		const isStuck = session !== undefined && draining.has(vm.id) && (!isOrdered || isBlocked(session, isSafe));
		if (!isStuck) {
			stuckSince.delete(vm.id);
			return;
		}

		const since = stuckSince.get(vm.id) ?? now;
		stuckSince.set(vm.id, since);
		const waitMs = this.#options.listPools().find(pool => pool.service as string === vm.pool as string)?.waits.longestWorkerWaitMs ?? 0;
		if (waitMs < maxStuckMs || now - since < maxStuckMs) {
			return;
		}

		draining.delete(vm.id);
		stuckSince.delete(vm.id);
		postponed.set(vm.id, now + timings.drainTimeoutMs);
		session.cordons.clear('upkeep');
		log.info('upkeep postponed', {
			wave: wave.id, vm: vm.id, worker: session.name, tasks: session.tasks.size, waitMs: Math.round(waitMs), reason: isOrdered ? 'disruption budget' : 'order not carried out',
		});
	}

	/** Keeps a draining VM without new work. The drain starts again if the cordon had expired, as during an outage of the VM control. */
	#renewCordon(draining: Map<VmId, number>, vm: VmId, {cordons}: WorkerSession): void {
		const {clock, timings} = this.#options;
		if (!cordons.hasReason('upkeep')) {
			draining.set(vm, clock.readMonotonic());
		}

		cordons.renew('upkeep', timings.moveTimeoutMs);
	}

	/** Orders the maintenance of a VM if it is drained; resolves to whether that has not failed. */
	async #tryMaintainVm(progress: WaveProgress, vm: FleetVm, isSafe: SafetyCheck): Promise<boolean> {
		try {
			return await this.#maintainVm(progress, vm, isSafe);
		} catch (error) {
			this.#options.log.warn('upkeep not answered', {wave: progress.wave.id, vm: vm.id, error: readErrorMessage(error)});
			return false;
		}
	}

	async #maintainVm(progress: WaveProgress, vm: FleetVm, isSafe: SafetyCheck): Promise<boolean> {
		const {clock, fleet, log, holder, epoch, timings} = this.#options;
		const {wave, begun, down, draining} = progress;
		const known = this.#findSession(vm);
		if (known !== undefined) {
			this.#renewCordon(draining, vm.id, known);
		}

		const waitedMs = clock.readMonotonic() - (draining.get(vm.id) ?? 0);
		// The worker may return to the registry while the order is being recorded.
		const isDrained = () => this.#isDrained(this.#occupancies.describe(vm), {waitedMs, isSafe});
		if (vm.state !== 'up' || !isDrained()) {
			return true;
		}

		if (!await this.#orders.recordOrders([vm.id])) {
			return false;
		}

		if (!isDrained()) {
			return true;
		}

		const {status, session, tasks} = this.#occupancies.describe(vm);
		this.#orders.noteSent(vm.id, timings.moveTimeoutMs);
		const outcome = await fleet.maintainVm(vm.id, wave.id, {holder, fencingToken: epoch});
		this.#orders.noteAnswered(vm.id);
		log.info('upkeep ordered', {
			wave: wave.id, vm: vm.id, worker: vm.worker, outcome, waitedMs: Math.round(waitedMs), tasks: tasks.size, occupancy: status, down: down.size, cap: wave.cap,
		});
		if (outcome === 'busy') {
			return false;
		}

		draining.delete(vm.id);
		begun.add(vm.id);
		if (outcome === 'accepted') {
			down.set(vm.id, clock.readMonotonic());
			await this.#endOrderedIncarnation(vm, session);
		} else {
			session?.cordons.clear('upkeep');
		}

		await this.#writeState(progress, progress.state);
		return true;
	}

	/**
	 * Ends the incarnation of a worker whose VM went into maintenance. An order that repeats one of an earlier holder is accepted
	 * without effect, and the worker that has restarted since then continues.
	 */
	async #endOrderedIncarnation({id, worker}: FleetVm, session: WorkerSession | undefined): Promise<void> {
		if (session === undefined) {
			return;
		}

		const vm = (await this.#options.fleet.listVms()).find(other => other.id === id);
		if (vm?.state === 'up' && vm.worker === worker) {
			session.cordons.clear('upkeep');
			this.#options.log.info('VM had already completed its upkeep', {vm: id, worker});
		} else {
			session.endByVmOrder('upkeep');
		}
	}

	/** Reports whether a VM may be taken down: no work is lost, or the drain timeout has passed and every disruption budget allows it. */
	#isDrained({status, session, tasks}: VmOccupancy, {waitedMs, isSafe}: {readonly waitedMs: number; readonly isSafe: SafetyCheck}): boolean {
		if (status === 'unknown' || (session !== undefined && session.isReachable && !session.isListed)) {
			return false;
		}

		const plans = [...tasks].map(task => ({task, plan: planTaskEviction(tasks, task, isSafe)}));
		const evictable = plans.find(({task, plan}) => plan === 'one-by-one' && isTaskReady(task));
		if (evictable !== undefined && session !== undefined) {
			this.#options.log.info('task evicted', {
				job: evictable.task.job.job.id, task: evictable.task.name, run: evictable.task.run, worker: session.name, reason: 'upkeep within the disruption budget',
			});
			session.stopTask(evictable.task);
			return false;
		}

		const areBatchTasksDone = plans.every(({task}) => task.spec.isLongRunning);
		return (areBatchTasksDone || waitedMs > this.#options.timings.drainTimeoutMs) && plans.every(({plan}) => plan === 'free');
	}

	#findSession(vm: FleetVm): WorkerSession | undefined {
		return this.#occupancies.describe(vm).session;
	}

	/** Writes the wave's progress for the next holder and its state for the operator. */
	async #writeState(progress: WaveProgress, state: 'running' | 'succeeded'): Promise<void> {
		const {tables, codec, log} = this.#options;
		const {wave, begun} = progress;
		const value: WaveRow = {begun: [...begun], state};
		const isStateWritten = progress.state === state && this.#waves.has(wave.id);
		await tables.commit({
			checks: [],
			writes: [{table: waveTable, key: wave.id, value}, ...(isStateWritten ? [] : [codec.encodeWaveStatus(wave, state)])],
		});
		if (!isStateWritten) {
			log.info('wave', {
				wave: wave.id, state, vms: wave.vms.length, begun: begun.size,
			});
		}

		progress.state = state;
	}
}

/** Reports whether the disruption budget of some step keeps a VM from being drained: none of its tasks there may be evicted now. */
function isBlocked(session: WorkerSession, isSafe: SafetyCheck): boolean {
	const plans = [...session.tasks].map(task => ({task, plan: planTaskEviction(session.tasks, task, isSafe)}));
	return plans.some(({plan}) => plan === 'blocked') && !plans.some(({task, plan}) => plan === 'one-by-one' && isTaskReady(task)) && plans.every(({task}) => task.phase !== 'stopping');
}

/** Plans the eviction of a task and the other tasks of its step from the VM that they share. */
function planTaskEviction(onVm: ReadonlySet<Task>, {stepState, spec, job}: Task, isSafe: SafetyCheck): EvictionPlan {
	const unready = stepState.tasks.filter(other => !isTaskReady(other) || (!onVm.has(other) && !isSafe(other.incarnation!.id)));
	return planEviction({
		onVm: stepState.tasks.filter(other => onVm.has(other)).length,
		unreadyOnVm: unready.filter(other => onVm.has(other)).length,
		unreadyElsewhere: unready.filter(other => !onVm.has(other)).length,
		mayMiss: spec.isLongRunning && !job.isTerminal ? spec.mayMiss : undefined,
	});
}

/** Reports whether tasks may run on a VM whose worker is gone. */
function hasAssumedTasks({status, tasks}: VmOccupancy): boolean {
	return status === 'assumed' && tasks.size > 0;
}

function isTaskReady({phase, percent}: Task): boolean {
	return phase === 'running' && percent >= readyPercent;
}
