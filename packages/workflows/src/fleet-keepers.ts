/**
 * Upkeep of the fleet by the holder of the scheduler's duty: waves, within their caps and the disruption budgets of what runs.
 */
import {
	readErrorMessage, type Clock, type VmId,
} from '@tamarackwind/core';
import {type Check, type WatchedTableService} from '@tamarackwind/clients';
import {planEviction, type EvictionPlan} from '@tamarackwind/scheduling';
import {type Task} from './active-jobs.js';
import {type WaveRequest} from './configurations.js';
import {type DecisionLog} from './decision-logs.js';
import {FleetOrders} from './fleet-orders.js';
import {fleetOrdersKey} from './layouts.js';
import {type DeclarationCodec, type OperatorWatch} from './operator-watches.js';
import {type PoolScheduler} from './pool-schedulers.js';
import {PoolSizer} from './pool-sizers.js';
import {type FleetControl, type FleetVm} from './workers.js';
import {type WorkerSession} from './worker-sessions.js';

export type FleetKeeperOptions = {
	readonly clock: Clock;
	readonly tables: WatchedTableService;
	readonly operator: OperatorWatch;
	readonly codec: DeclarationCodec;
	readonly fleet: FleetControl;
	readonly log: DecisionLog;
	readonly holder: string;
	readonly epoch: number;
	readonly fleetLeaseMs: number;
	readonly returnMs: number;
	readonly fleetOrdersPerS: number;
	readonly canOrder: () => boolean;
	/** Tells whether it is known what runs on the VMs: all pools are open and the registry was read. */
	readonly isReady: () => boolean;
	/** Condition that the duty is still held; `undefined` when it is not. */
	readonly getCheck: () => Check | undefined;
	readonly listPools: () => readonly PoolScheduler[];
};

/** Pause between two looks at the waves, in milliseconds. */
const lookMs = 250;
/** Pause between two looks at the sizes of the pools, in milliseconds: short beside the time that a move takes. */
const sizingMs = 200;
/** Longest wait for the tasks of a VM to end by themselves before its upkeep, in milliseconds: above the mean of what tasks take. */
const emptyingMs = 2500;
/** Time for which a VM must be missing from the list before it counts as gone for good, in milliseconds. */
const goneMs = 5000;
/** Progress of a task that is at work. */
const fullPercent = 100;
/** Table of what has been done of each wave. */
const waveTable = 'waves';

type WaveRow = {readonly begun: readonly VmId[]; readonly state: 'running' | 'succeeded'};

type WaveProgress = {
	readonly wave: WaveRequest;
	/** VMs that have begun their upkeep, or are gone. */
	readonly begun: Set<VmId>;
	/** VMs whose upkeep was accepted, by the time of the order; they are down until the list shows them up again. */
	readonly down: Map<VmId, number>;
	/** VMs that are being emptied, by the time when that began. */
	readonly emptying: Map<VmId, number>;
	/** VMs that the list lacks, by the time when that was first seen. */
	readonly missing: Map<VmId, number>;
	state: 'running' | 'succeeded';
};

/** Carries out waves. */
export class FleetKeeper {
	static create(options: FleetKeeperOptions): FleetKeeper {
		const keeper = new FleetKeeper(options);
		void keeper.#start();
		return keeper;
	}

	readonly #options: FleetKeeperOptions;
	readonly #waves = new Map<string, WaveProgress>();
	readonly #sizer: PoolSizer;
	readonly #orders: FleetOrders;
	#isClosed = false;

	private constructor(options: FleetKeeperOptions) {
		this.#options = options;
		this.#orders = FleetOrders.create({...options, row: fleetOrdersKey, canOrder: () => !this.#isClosed && options.canOrder() && options.isReady()});
		this.#sizer = PoolSizer.create({...options, fence: {holder: options.holder, fencingToken: options.epoch}, orders: this.#orders});
	}

	close(): void {
		this.#isClosed = true;
	}

	/** Reads which VMs were ordered lately, as soon as the tables answer, and begins. */
	async #start(): Promise<void> {
		const {clock, log} = this.#options;
		while (!this.#isClosed) {
			try {
				await this.#orders.load();
				break;
			} catch (error) {
				log.warn('orders of the earlier holder not read', {error: readErrorMessage(error)});
				await clock.sleep(lookMs);
			}
		}

		await Promise.all([this.#runWaves(), this.#runSizes()]);
	}

	async #runSizes(): Promise<void> {
		while (!this.#isClosed) {
			await this.#updateSizes();
			await this.#options.clock.sleep(sizingMs);
		}
	}

	async #runWaves(): Promise<void> {
		const {clock, log, operator} = this.#options;
		while (!this.#isClosed) {
			for (const wave of operator.waves.values()) {
				try {
					await this.#advanceWave(wave);
				} catch (error) {
					log.warn('wave not advanced', {wave: wave.id, error: readErrorMessage(error)});
				}
			}

			await clock.sleep(lookMs);
		}
	}

	async #updateSizes(): Promise<void> {
		const {fleet, log} = this.#options;
		if (!this.#orders.isOpen) {
			return;
		}

		try {
			const running = [...this.#waves.values()].filter(({state}) => state === 'running');
			const reserved = new Set(running.flatMap(wave => [...wave.emptying.keys(), ...wave.down.keys()]));
			await this.#sizer.update(await fleet.listVms(), vm => reserved.has(vm));
		} catch (error) {
			log.warn('pools not resized', {error: readErrorMessage(error)});
		}
	}

	async #advanceWave(wave: WaveRequest): Promise<void> {
		if (!this.#orders.isOpen) {
			return;
		}

		const progress = this.#waves.get(wave.id) ?? await this.#loadWave(wave);
		if (progress.state === 'succeeded') {
			return;
		}

		const vms = new Map((await this.#options.fleet.listVms()).map(vm => [vm.id, vm]));
		this.#observeVms(progress, vms);
		this.#chooseNext(progress, vms);
		for (const id of progress.emptying.keys()) {
			if (progress.down.size < wave.cap) {
				await this.#maintainVm(progress, vms.get(id)!);
			}
		}

		if (wave.vms.every(id => progress.begun.has(id))) {
			await this.#writeState(progress, 'succeeded');
		}
	}

	async #loadWave(wave: WaveRequest): Promise<WaveProgress> {
		const row = await this.#options.tables.getRow({table: waveTable, key: wave.id});
		const saved = row?.value as WaveRow | undefined;
		const now = this.#options.clock.readMonotonic();
		const progress: WaveProgress = {
			wave,
			begun: new Set(saved?.begun),
			// What an earlier holder ordered last may still be down, or go down yet.
			down: new Map([...saved?.begun ?? [], ...wave.vms.filter(id => !this.#orders.isOrderable(id))].map(id => [id, now])),
			emptying: new Map(),
			missing: new Map(),
			state: saved?.state ?? 'running',
		};
		if (saved === undefined) {
			await this.#writeState(progress, 'running');
		}

		this.#waves.set(wave.id, progress);
		return progress;
	}

	/** Takes in which VMs are back, which are gone, and which are in upkeep without a known order. */
	#observeVms({wave, begun, down, emptying, missing}: WaveProgress, vms: ReadonlyMap<VmId, FleetVm>): void {
		const {clock, returnMs, log} = this.#options;
		const now = clock.readMonotonic();
		for (const id of wave.vms) {
			const vm = vms.get(id);
			if (vm === undefined) {
				missing.set(id, missing.get(id) ?? now);
				emptying.delete(id);
				if (now - missing.get(id)! > goneMs && !begun.has(id)) {
					log.info('VM of a wave is gone', {wave: wave.id, vm: id});
					begun.add(id);
				}

				continue;
			}

			missing.delete(id);
			if (vm.state === 'upkeep') {
				down.set(id, Math.min(now, down.get(id) ?? now));
			} else if (vm.state === 'up' && now - (down.get(id) ?? now) > returnMs && this.#orders.isOrderable(id)) {
				down.delete(id);
			}
		}
	}

	/** Begins to empty as many VMs as may be down at once, those with the least to lose first. */
	#chooseNext(progress: WaveProgress, vms: ReadonlyMap<VmId, FleetVm>): void {
		const {wave, begun, down, emptying} = progress;
		const room = wave.cap - down.size - emptying.size;
		const open = wave.vms.filter(id => !begun.has(id) && !emptying.has(id) && !down.has(id) && vms.get(id)?.state === 'up')
			.map(id => ({id, tasks: this.#findSession(vms.get(id)!)?.tasks.size ?? 0}))
			.toSorted((a, b) => a.tasks - b.tasks);
		for (const {id} of open.slice(0, Math.max(0, room))) {
			emptying.set(id, this.#options.clock.readMonotonic());
			const session = this.#findSession(vms.get(id)!);
			if (session !== undefined) {
				session.isEmptying = true;
			}
		}
	}

	async #maintainVm(progress: WaveProgress, vm: FleetVm): Promise<void> {
		const {clock, fleet, log, holder, epoch} = this.#options;
		const {wave, begun, down, emptying} = progress;
		const session = this.#findSession(vm);
		const waitedMs = clock.readMonotonic() - (emptying.get(vm.id) ?? 0);
		if (vm.state !== 'up' || !this.#isEmptied(session, waitedMs) || !await this.#orders.noteOrders([vm.id]) || !this.#isEmptied(session, waitedMs)) {
			return;
		}

		const outcome = await fleet.maintainVm(vm.id, wave.id, {holder, fencingToken: epoch});
		log.info('upkeep ordered', {
			wave: wave.id, vm: vm.id, worker: vm.worker, outcome, waitedMs: Math.round(waitedMs), tasks: session?.tasks.size ?? 0, down: down.size, cap: wave.cap,
		});
		if (outcome === 'busy') {
			return;
		}

		emptying.delete(vm.id);
		begun.add(vm.id);
		if (outcome === 'accepted') {
			down.set(vm.id, clock.readMonotonic());
			await this.#endOrderedLife(vm, session);
		}

		await this.#writeState(progress, progress.state);
	}

	/**
	 * Ends the life of a worker whose VM has left. An order that an earlier holder had already given is accepted again and
	 * changes nothing: the worker that has come back since goes on.
	 */
	async #endOrderedLife({id, worker}: FleetVm, session: WorkerSession | undefined): Promise<void> {
		if (session === undefined) {
			return;
		}

		const vm = (await this.#options.fleet.listVms()).find(other => other.id === id);
		if (vm?.state === 'up' && vm.worker === worker) {
			session.isEmptying = false;
			this.#options.log.info('VM was through its upkeep before', {vm: id, worker});
		} else {
			session.endByOrder('upkeep');
		}
	}

	/** Tells whether a VM may go: nothing is lost, or the wait is over and every disruption budget allows it. */
	#isEmptied(session: WorkerSession | undefined, waitedMs: number): boolean {
		if (session === undefined) {
			return true;
		}

		session.isEmptying = true;
		if (session.isReachable && !session.isListed) {
			return false;
		}

		const plans = [...session.tasks].map(task => ({task, plan: planTaskEviction(session, task)}));
		const movable = plans.find(({task, plan}) => plan === 'one-by-one' && isAtWork(task));
		if (movable !== undefined) {
			this.#options.log.info('task moved off', {
				job: movable.task.job.job.id, task: movable.task.name, run: movable.task.run, worker: session.name, reason: 'upkeep within the disruption budget',
			});
			session.stopTask(movable.task);
			return false;
		}

		const isDone = plans.every(({task}) => task.spec.isLongRunning);
		return (isDone || waitedMs > emptyingMs) && plans.every(({plan}) => plan === 'free');
	}

	#findSession({worker}: FleetVm): WorkerSession | undefined {
		for (const pool of this.#options.listPools()) {
			for (const session of pool.sessions) {
				if (session.record.id === worker) {
					return session;
				}
			}
		}

		return undefined;
	}

	/** Writes what is done, for the next holder, and the state that the operator reads. */
	async #writeState(progress: WaveProgress, state: 'running' | 'succeeded'): Promise<void> {
		const {tables, codec, log} = this.#options;
		const {wave, begun} = progress;
		const value: WaveRow = {begun: [...begun], state};
		const isTold = progress.state === state && this.#waves.has(wave.id);
		await tables.commit({
			checks: [],
			writes: [{table: waveTable, key: wave.id, value}, ...(isTold ? [] : [codec.encodeWaveStatus(wave, state)])],
		});
		if (!isTold) {
			log.info('wave', {
				wave: wave.id, state, vms: wave.vms.length, begun: begun.size,
			});
		}

		progress.state = state;
	}
}

/** Plans how a task and its fellows of the same step may leave the VM that they share. */
function planTaskEviction(session: WorkerSession, {stepState, spec, job}: Task): EvictionPlan {
	const away = stepState.tasks.filter(other => !isAtWork(other));
	return planEviction({
		onVm: stepState.tasks.filter(other => session.tasks.has(other)).length,
		unreadyOnVm: away.filter(other => session.tasks.has(other)).length,
		unreadyElsewhere: away.filter(other => !session.tasks.has(other)).length,
		mayMiss: spec.isLongRunning && !job.isTerminal ? spec.mayMiss : undefined,
	});
}

function isAtWork({phase, percent}: Task): boolean {
	return phase === 'running' && percent >= fullPercent;
}
