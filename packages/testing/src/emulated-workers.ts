/**
 * Emulates VMs and their workers in simulated time, with leases, runs, fencing and maintenance, and records violated guarantees.
 */
import {
	VerdictError, type AccountName, type JobId, type PoolName, type RandomSource, type VmId, type ZoneName,
} from '@tamarackwind/core';
import {
	addResources, getReservation, isWithin, noResources, type Resources, type StepSpec,
} from '@tamarackwind/scheduling';
import {
	defaultBounds, FleetControl, formatTask, type Bounds, WorkerControl, WorkerRegistry, type OrderFence, type FleetOrderOutcome, type FleetVm, type LeaseRenewal, type LeaseRenewalOutcome, type Job, type ListedEnd,
	type OrderOutcome, type RunEnding, type RunKey, type StartOrder, type StartOutcome, type WorkerRecord,
} from '@tamarackwind/workflows';
import {CapCheck} from './cap-checks.js';
import {type SimulatedClock} from './simulated-clocks.js';

/** Step, duration and outcome of an emulated task. */
export type EmulatedTask = {readonly step: StepSpec; readonly durationMs: number; readonly isFailing: boolean};

export type EmulatedJob = {
	readonly job: Job;
	readonly durationMs: number;
	/** Runs that fail, as `STEP.INDEX.RUN`. */
	readonly failingTasks: ReadonlySet<string>;
	/** Tasks that crash each worker that starts them, as `STEP.INDEX`. */
	readonly crashingTasks: ReadonlySet<string>;
};

type EmulatedRun = {readonly key: RunKey; readonly startedAt: number; readonly task: EmulatedTask; isStopping: boolean};

/** A run of a cancelled job that a worker began late and that was not stopped in time; times are on the monotonic clock. */
export type OverdueRun = {readonly name: string; readonly startedAt: number; readonly until: number};

/** Maximum number of ends in a listing; the others follow once these are acknowledged. */
const maxListedEnds = 500;
const fullCapacity: Resources = {cpu: 8000, memory: 32_000, gpu: 0};
const stopDelayMs = 300;
/** Time from the start of a crashing task to the crash of its worker, and from there to its restart, in milliseconds. */
const crash = {delayMs: 10, downtimeMs: 3000};
/** Crashes under one task, and later starts of it, from which the crash budget is broken. */
const crashBudget = {crashes: 3, startsAfter: 3};
/** Pool whose VMs are switched off. */
export const sparePool = 'spare' as PoolName;
const percentScale = 100;
const startupMs = 300;
const networkDelayMs = 1;
const timeoutMs = 1000;
/** Heartbeats for which the registry still lists a worker that has ended. */
const listedHeartbeats = 3;
/** Duration of a move as a share of the longest time that a VM takes to return. */
const moveShare = 0.75;

/** One incarnation of a worker. */
class EmulatedIncarnation {
	readonly runs = new Map<string, EmulatedRun>();
	readonly ends: ListedEnd[] = [];
	/** Highest run number of each task that was stopped or has ended on this worker. */
	readonly closedRuns = new Map<string, number>();
	readonly waiters = new Set<() => void>();
	fencingToken = 0;
	leaseUntil = Number.NEGATIVE_INFINITY;
	isEnded = false;
	/** Whether it is cut off for good, from the entries and from the registry. */
	isLost = false;
	/** Earlier capacities, each with the time at which it was replaced. */
	readonly earlierCapacities: Array<{readonly capacity: Resources; readonly until: number}> = [];
	#sequence = 0;

	constructor(public record: WorkerRecord, readonly startedAt: number, readonly clockRate: number, readonly onEnd: (task: string, isPlanned: boolean) => void) {}

	readClock(now: number): number {
		return (now - this.startedAt) * this.clockRate;
	}

	endRun(run: EmulatedRun, ending: RunEnding): void {
		const name = formatTask(run.key);
		this.onEnd(name, ending === 'stopped');
		this.runs.delete(name);
		this.closedRuns.set(name, Math.max(run.key.run, this.closedRuns.get(name) ?? 0));
		this.#sequence++;
		this.ends.push({
			sequence: this.#sequence, key: run.key, ending, checkpoint: '',
		});
		for (const wake of this.waiters) {
			wake();
		}
	}
}

type EmulatedVm = {
	readonly id: VmId; pool: PoolName; incarnation: EmulatedIncarnation | undefined; state: FleetVm['state']; isUnreachable: boolean; isPathCut: boolean; isShedding: boolean; isSilent: boolean; /** Time at which its worker writes its registry entry again, on the monotonic clock. */ entryReturnsAt: number; /** Time at which the VM is up again, on the monotonic clock. */ returnsAt: number; maintenances: Set<string>; lastOrder: (OrderFence & {readonly at: number}) | undefined;
};

/** Fault probabilities of an order, each from 0 to 1. */
export type OrderFaults = {
	/** Probability that the order is executed but its response is lost. */
	readonly lostResponseRate: number;
	/** Probability that the order times out and is executed seconds later. */
	readonly lateRate: number;
};

/**
 * Faults of an order to a VM:
 * - `lost`: it times out without an effect.
 * - `unanswered`: it takes effect, but its response is lost.
 * - `late`: it times out and takes effect seconds later.
 * - `repeated`: it takes effect, and once more seconds later.
 * - `refused`: it is refused as one that can never take effect.
 * - `busy`: it is refused for now.
 */
export type VmOrderFault = 'lost' | 'unanswered' | 'late' | 'repeated' | 'refused' | 'busy';

/** Length of a checkpoint. */
const checkpointLength = 16;
/** Time after which a delayed order to a VM takes effect, in milliseconds. */
const lateVmOrderMs = 3000;

/** Capacity of a worker, what of it is free, and the tasks that it runs. */
export type WorkerRoom = {readonly capacity: Resources; readonly free: Resources; readonly tasks: ReadonlySet<string>};

export type EmulatedFleetOptions = {
	readonly clock: SimulatedClock;
	readonly random: RandomSource;
	/** Name and VM count of each pool. */
	readonly pools: ReadonlyArray<readonly [PoolName, number]>;
	readonly bounds?: Bounds;
	/** Whether workers refuse starts for which they have no capacity; `true` by default. */
	readonly enforcesCapacity?: boolean;
};

/** Holds all emulated VMs and checks the guarantees at each start of a run and each order to a VM. */
export class EmulatedFleet {
	static create(options: EmulatedFleetOptions): EmulatedFleet {
		return new EmulatedFleet(options);
	}

	readonly violations: string[] = [];
	/** Runs that are violations if nothing else was disturbed while they were active. */
	readonly overdueRuns: OverdueRun[] = [];
	readonly counts = {
		starts: 0, done: 0, failed: 0, lapsed: 0, lateOrders: 0, lostResponses: 0, maintenances: 0, moves: 0, crashes: 0,
	};

	readonly jobs = new Map<JobId, EmulatedJob>();
	/** Times at which the cancellations of jobs were acknowledged. */
	readonly cancelledAt = new Map<JobId, number>();
	/** Jobs whose cancellation was requested; disruption budgets no longer protect their tasks. */
	readonly cancelRequested = new Set<JobId>();
	/** Jobs for which every submission was refused. */
	readonly refused = new Set<JobId>();
	readonly caps = CapCheck.create();
	orderFaults: OrderFaults = {lostResponseRate: 0, lateRate: 0};
	/** Fault of all orders to VMs. */
	vmOrderFault: VmOrderFault | undefined;
	/** Whether listings of the VMs time out. */
	isVmListDown = false;
	/** Whether readings of the registry fail. */
	isRegistryDown = false;
	/** Whether calls of workers on VMs that are down get no answer at all, as from a VM without power, instead of being refused. */
	isSilentWhenDown = false;
	readonly #options: EmulatedFleetOptions;
	readonly #bounds: Bounds;
	#vms: EmulatedVm[] = [];
	/** Tasks whose completion was acknowledged. */
	readonly #acknowledgedTasks = new Set<string>();
	readonly #doneAt = new Map<string, number>();
	readonly #failures = new Map<string, number>();
	/** Number of workers that crashed under each task, and of its starts after the crashes that the budget allows. */
	readonly #crashes = new Map<string, {crashes: number; startsAfter: number}>();
	/** Time at which each task last stopped running, and whether an order ended it. */
	readonly #unavailableSince = new Map<string, {readonly at: number; readonly isPlanned: boolean}>();
	/** Ended workers that the registry still lists, with the time at which it removes them. */
	#endedRecords: Array<{readonly record: WorkerRecord; readonly until: number}> = [];
	#incarnationCount = 0;

	private constructor(options: EmulatedFleetOptions) {
		this.#options = options;
		this.#bounds = options.bounds ?? defaultBounds;
		for (const [pool, count] of options.pools) {
			for (let index = 0; index < count; index++) {
				const vm: EmulatedVm = {
					id: `vm-${pool}-${index}` as VmId, pool, incarnation: undefined, state: 'up', isUnreachable: false, isPathCut: false, isShedding: false, isSilent: false, entryReturnsAt: 0, returnsAt: 0, maintenances: new Set(), lastOrder: undefined,
				};
				this.#vms.push(vm);
				this.#startIncarnation(vm);
			}
		}
	}

	get vms(): ReadonlyArray<{readonly id: VmId}> {
		return this.#vms;
	}

	/** Counts the running tasks of a job. */
	countRunning(job: JobId): number {
		return this.#vms.flatMap(vm => [...vm.incarnation?.runs.values() ?? []]).filter(run => run.key.job === job).length;
	}

	/** Counts the runs on a VM. */
	countRunsOn(id: VmId): number {
		return this.#findVm(id).incarnation?.runs.size ?? 0;
	}

	/** Reports whether a run of a task is active. */
	isRunning(task: string): boolean {
		return this.#vms.some(vm => vm.incarnation?.runs.has(task));
	}

	/** Reports whether a run of a task has ended as done, even if that end was lost with its worker. */
	hasBeenDone(task: string): boolean {
		return this.#doneAt.has(task);
	}

	/** Reports whether the end of a task is acknowledged or can still be listed. */
	isDone(task: string): boolean {
		return this.#acknowledgedTasks.has(task) || this.#vms.some(vm => vm.incarnation?.ends.some(({key, ending}) => ending === 'done' && formatTask(key) === task));
	}

	/** Returns the time at which a task last stopped running; the submission of its job before its first run. */
	getLastRunAt(task: string, job: JobId): number {
		return this.#unavailableSince.get(task)?.at ?? this.jobs.get(job)!.job.submittedAt;
	}

	/** Lists the workers of a pool with their capacity and what of it is free. */
	listPoolRoom(pool: string): WorkerRoom[] {
		return this.#vms.flatMap(({incarnation, pool: name}) => incarnation === undefined || name !== pool
			? []
			: [{
				capacity: incarnation.record.capacity, free: addResources(incarnation.record.capacity, sumReservations(incarnation), -1), tasks: new Set(incarnation.runs.keys()),
			}]);
	}

	/** Ends the worker of a VM without notice and starts a new incarnation after `downtimeMs` milliseconds. */
	crashVm(id: VmId, downtimeMs: number): void {
		const vm = this.#findVm(id);
		this.#endIncarnation(vm, false);
		vm.state = 'down';
		this.#scheduleReturn(vm, downtimeMs);
	}

	/** Ends the worker of a VM without notice and starts it again under the same id after `downtimeMs` milliseconds. */
	restartWorker(id: VmId, downtimeMs: number): void {
		const vm = this.#findVm(id);
		const worker = vm.incarnation?.record.id;
		this.#endIncarnation(vm, false);
		this.#options.clock.schedule(downtimeMs, () => {
			if (vm.incarnation === undefined && vm.state === 'up') {
				this.#startIncarnation(vm, worker);
			}
		});
	}

	/** Makes a VM unreachable for `durationMs` milliseconds; its worker keeps running. */
	setUnreachable(id: VmId, durationMs: number): void {
		const vm = this.#findVm(id);
		vm.isUnreachable = true;
		this.#options.clock.schedule(durationMs, () => {
			vm.isUnreachable = false;
		});
	}

	/** Cuts the worker of a VM off for good; it keeps running, and a later one on the VM is reachable. */
	loseWorker(id: VmId): void {
		const {incarnation} = this.#findVm(id);
		if (incarnation !== undefined) {
			incarnation.isLost = true;
		}
	}

	/** Lets no connection from the entries to a VM be opened for `durationMs` milliseconds; its worker keeps running and reaches the registry. */
	cutPath(id: VmId, durationMs: number): void {
		const vm = this.#findVm(id);
		vm.isPathCut = true;
		this.#options.clock.schedule(durationMs, () => {
			vm.isPathCut = false;
		});
	}

	/** Lets the worker of a VM turn away all calls for `durationMs` milliseconds without an effect, as an overloaded one does. */
	shedCalls(id: VmId, durationMs: number): void {
		const vm = this.#findVm(id);
		vm.isShedding = true;
		this.#options.clock.schedule(durationMs, () => {
			vm.isShedding = false;
		});
	}

	/** Changes the capacity of a VM's worker to a share of its full one, without notice. */
	resizeVm(id: VmId, share: number): void {
		const {incarnation} = this.#findVm(id);
		if (incarnation !== undefined) {
			incarnation.earlierCapacities.push({capacity: incarnation.record.capacity, until: this.#options.clock.readMonotonic()});
			incarnation.record = {...incarnation.record, capacity: {...fullCapacity, cpu: fullCapacity.cpu * share, memory: fullCapacity.memory * share}};
		}
	}

	/** Loses the responses of a VM for `durationMs` milliseconds; its worker keeps running and executes all orders. */
	setSilent(id: VmId, durationMs: number): void {
		const vm = this.#findVm(id);
		vm.isSilent = true;
		this.#options.clock.schedule(durationMs, () => {
			vm.isSilent = false;
		});
	}

	/** Removes the registry entry of a VM's worker, which keeps running, for `durationMs` milliseconds. */
	expireEntry(id: VmId, durationMs: number): void {
		this.#findVm(id).entryReturnsAt = this.#options.clock.readMonotonic() + durationMs;
	}

	listRecords(): WorkerRecord[] {
		const now = this.#options.clock.readMonotonic();
		this.#endedRecords = this.#endedRecords.filter(({until}) => until > now);
		return [...this.#vms.flatMap(vm => vm.incarnation === undefined || vm.isUnreachable || vm.incarnation.isLost || vm.entryReturnsAt > now ? [] : [vm.incarnation.record]), ...this.#endedRecords.map(({record}) => record)];
	}

	listVms(): FleetVm[] {
		return this.#vms.map(vm => ({
			id: vm.id, pool: vm.pool, state: vm.state, zone: 'zone-a' as ZoneName, labels: [], capacity: vm.incarnation?.record.capacity ?? fullCapacity, worker: vm.incarnation?.record.id,
		}));
	}

	/** Lists the VMs as the VM control does, subject to its current fault. */
	async readVms(): Promise<FleetVm[]> {
		if (this.isVmListDown) {
			await this.#options.clock.sleep(timeoutMs);
			throw createVmControlError();
		}

		return this.listVms();
	}

	/** Removes a VM for good, without notice. */
	removeVm(id: VmId): void {
		this.#endIncarnation(this.#findVm(id), false);
		this.#vms = this.#vms.filter(vm => vm.id !== id);
	}

	/** Sends an order to a VM, subject to the current fault. */
	async sendVmOrder(id: VmId, fence: OrderFence, execute: (isLate: boolean) => FleetOrderOutcome): Promise<FleetOrderOutcome> {
		const {clock} = this.#options;
		const fault = this.vmOrderFault;
		if (fault !== 'lost') {
			this.#checkFence(this.#findVm(id), fence);
		}

		if (fault === 'refused' || fault === 'busy') {
			return fault;
		}

		const outcome = fault === 'lost' || fault === 'late' ? undefined : execute(false);
		if (fault === 'late' || fault === 'repeated') {
			clock.schedule(lateVmOrderMs, () => {
				execute(true);
			});
		}

		if (fault === 'unanswered' || outcome === undefined) {
			await clock.sleep(timeoutMs);
			throw createVmControlError();
		}

		return outcome;
	}

	/** Executes an order for the maintenance of a VM; disruption budgets don't hold for orders that were held up. */
	maintainVm(id: VmId, wave: string, isLate = false): FleetOrderOutcome {
		const vm = this.#findVm(id);
		if (vm.maintenances.has(wave)) {
			return 'accepted';
		}

		if (vm.state !== 'up') {
			return 'busy';
		}

		if (!isLate) {
			this.#checkBudget(vm);
		}

		vm.maintenances.add(wave);
		this.counts.maintenances++;
		this.#endIncarnation(vm, true);
		vm.state = 'upkeep';
		this.#scheduleReturn(vm, this.#bounds.returnMs);
		return 'accepted';
	}

	/** Executes an order to move a VM to another pool; no worker runs on a VM of the spare pool. */
	moveVm(id: VmId, pool: PoolName, isLate = false): FleetOrderOutcome {
		const vm = this.#findVm(id);
		if (vm.pool === pool) {
			return 'accepted';
		}

		if (vm.state !== 'up') {
			return 'busy';
		}

		if (!isLate) {
			this.#checkBudget(vm);
		}

		this.counts.moves++;
		this.#endIncarnation(vm, true);
		vm.pool = pool;
		vm.state = 'moving';
		this.#scheduleReturn(vm, this.#bounds.returnMs * moveShare);
		return 'accepted';
	}

	/** Executes an order on the worker that a record describes, subject to the current faults. */
	async runOrder<T>(record: WorkerRecord, isRead: boolean, execute: (incarnation: EmulatedIncarnation, isLate?: boolean) => T): Promise<T | undefined> {
		const {clock, random} = this.#options;
		await clock.sleep(networkDelayMs);
		const vm = this.#vms.find(other => other.incarnation?.record.address === record.address);
		if (vm !== undefined && (vm.isUnreachable || (vm.incarnation?.isLost ?? false))) {
			await clock.sleep(1000);
			throw new VerdictError('worker does not answer', {verdict: 'may-have-run', code: 'worker_unavailable'});
		}

		if (vm?.isPathCut) {
			await clock.sleep(timeoutMs);
			throw new VerdictError('connection not opened', {verdict: 'not-run', code: 'worker_unavailable'});
		}

		if (vm === undefined) {
			if (this.isSilentWhenDown) {
				await clock.sleep(timeoutMs);
			}

			throw new VerdictError('connection refused', {verdict: 'not-run', code: 'worker_unavailable'});
		}

		if (vm.isShedding) {
			throw new VerdictError('worker turns calls away', {verdict: 'not-run', code: 'worker_unavailable'});
		}

		if (vm.isSilent) {
			if (vm.incarnation!.record.id === record.id) {
				execute(vm.incarnation!);
			}

			await clock.sleep(timeoutMs);
			throw new VerdictError('worker does not answer', {verdict: 'may-have-run', code: 'worker_unavailable'});
		}

		const draw = isRead ? 1 : random.readFraction();
		const incarnation = vm.incarnation!;
		if (draw < this.orderFaults.lateRate) {
			this.counts.lateOrders++;
			clock.schedule(1000 + (random.readFraction() * 8000), () => {
				// The order is lost with the incarnation that has received it.
				if (!incarnation.isEnded && incarnation.record.id === record.id) {
					execute(incarnation, true);
				}
			});
			await clock.sleep(1200);
			throw new VerdictError('worker does not answer', {verdict: 'may-have-run', code: 'worker_unavailable'});
		}

		const outcome = incarnation.record.id === record.id ? execute(incarnation) : undefined;
		if (draw < this.orderFaults.lateRate + this.orderFaults.lostResponseRate) {
			this.counts.lostResponses++;
			await clock.sleep(1200);
			throw new VerdictError('worker does not answer', {verdict: 'may-have-run', code: 'worker_unavailable'});
		}

		await clock.sleep(networkDelayMs);
		return outcome;
	}

	startRun(incarnation: EmulatedIncarnation, order: StartOrder, isLate = false): StartOutcome {
		const now = this.#options.clock.readMonotonic();
		const name = formatTask(order.key);
		if (order.fencingToken < incarnation.fencingToken) {
			return {status: 'refused', reason: 'fenced'};
		}

		incarnation.fencingToken = order.fencingToken;
		if (order.leaseUntil <= incarnation.readClock(now)) {
			return {status: 'refused', reason: 'expired'};
		}

		this.#extendLease(incarnation, order.leaseUntil);
		if (incarnation.runs.get(name)?.key.run === order.key.run) {
			return {status: 'started'};
		}

		if (order.key.run <= (incarnation.closedRuns.get(name) ?? 0) || incarnation.runs.has(name)) {
			return {status: 'refused', reason: 'superseded'};
		}

		const task = this.#describeTask(order.key);
		const used = sumReservations(incarnation);
		if (this.#options.enforcesCapacity !== false && !isWithin(getReservation(task.step), addResources(incarnation.record.capacity, used, -1))) {
			return {status: 'refused', reason: 'no-room'};
		}

		this.#checkCapacity(incarnation, order.key, addResources(used, getReservation(task.step)), now);

		this.#checkStart(order.key, now, isLate);
		this.counts.starts++;
		const run: EmulatedRun = {
			key: order.key, startedAt: now, task, isStopping: false,
		};
		incarnation.runs.set(name, run);
		if (isLate) {
			this.#checkLateStart(incarnation, run);
		}

		this.#checkCap(run, now);
		this.#scheduleEnd(incarnation, run);
		if (this.jobs.get(order.key.job)!.crashingTasks.has(`${order.key.step}.${order.key.index}`)) {
			this.#scheduleCrash(incarnation, name);
		}

		return {status: 'started'};
	}

	stopRun(incarnation: EmulatedIncarnation, key: RunKey, fencingToken: number): OrderOutcome {
		if (fencingToken < incarnation.fencingToken) {
			return 'refused';
		}

		const name = formatTask(key);
		incarnation.fencingToken = fencingToken;
		incarnation.closedRuns.set(name, Math.max(key.run, incarnation.closedRuns.get(name) ?? 0));
		const run = incarnation.runs.get(name);
		if (run !== undefined && run.key.run <= key.run && !run.isStopping) {
			run.isStopping = true;
			this.#options.clock.schedule(stopDelayMs, () => {
				if (incarnation.runs.get(name) === run && !incarnation.isEnded) {
					incarnation.endRun(run, 'stopped');
				}
			});
		}

		return 'done';
	}

	/** Applies a lease renewal; returns `fenced` when its fencing token is outdated. */
	acceptRenewal(incarnation: EmulatedIncarnation, {fencingToken, acknowledgedEnds: acknowledgedSequence, leaseUntil}: LeaseRenewal): 'fenced' | 'accepted' {
		if (fencingToken < incarnation.fencingToken) {
			return 'fenced';
		}

		incarnation.fencingToken = fencingToken;
		if (leaseUntil !== undefined) {
			this.#extendLease(incarnation, leaseUntil);
		}

		for (const end of incarnation.ends.filter(({sequence}) => sequence <= acknowledgedSequence)) {
			if (end.ending === 'done') {
				this.#acknowledgedTasks.add(formatTask(end.key));
			}
		}

		incarnation.ends.splice(0, incarnation.ends.filter(({sequence}) => sequence <= acknowledgedSequence).length);
		return 'accepted';
	}

	describeIncarnation(incarnation: EmulatedIncarnation): LeaseRenewalOutcome {
		const now = this.#options.clock.readMonotonic();
		return {
			status: 'listed',
			startedAt: incarnation.startedAt,
			clock: Math.floor(incarnation.readClock(now)),
			running: [...incarnation.runs.values()].map(run => ({
				key: run.key, checkpoint: run.task.step.isCheckpointing ? createCheckpoint(run, now) : '', load: 0, percent: computePercent(run, now),
			})),
			ends: incarnation.ends.slice(0, maxListedEnds),
			areEndsComplete: incarnation.ends.length <= maxListedEnds,
		};
	}

	/** Starts a VM again after its downtime, or at the end of a longer one that has begun meanwhile. */
	#scheduleReturn(vm: EmulatedVm, downtimeMs: number): void {
		const {clock} = this.#options;
		const returnsAt = clock.readMonotonic() + downtimeMs;
		vm.returnsAt = Math.max(vm.returnsAt, returnsAt);
		clock.schedule(downtimeMs, () => {
			if (vm.returnsAt <= returnsAt && vm.state !== 'up') {
				vm.state = 'up';
				this.#startIncarnation(vm);
			}
		});
	}

	#startIncarnation(vm: EmulatedVm, worker?: VmId): void {
		if (vm.pool === sparePool) {
			return;
		}

		this.#endedRecords = this.#endedRecords.filter(({record}) => record.id !== worker);

		const {clock, random} = this.#options;
		const startedAt = clock.readMonotonic();
		this.#incarnationCount++;
		const record: WorkerRecord = {
			id: worker ?? `worker-${this.#incarnationCount}` as VmId, startedAt, pool: vm.pool, address: `${vm.id}:1`, zone: 'zone-a' as ZoneName, isDraining: false, capacity: fullCapacity, labels: [],
		};
		vm.incarnation = new EmulatedIncarnation(record, startedAt, 1 - (random.readFraction() * 0.02), (task, isPlanned) => {
			this.#unavailableSince.set(task, {at: clock.readMonotonic(), isPlanned});
		});
	}

	#endIncarnation(vm: EmulatedVm, isPlanned: boolean): void {
		if (vm.incarnation !== undefined) {
			for (const name of vm.incarnation.runs.keys()) {
				vm.incarnation.onEnd(name, isPlanned);
			}

			vm.incarnation.isEnded = true;
			vm.incarnation.runs.clear();
			for (const wake of vm.incarnation.waiters) {
				wake();
			}

			this.#endedRecords.push({record: vm.incarnation.record, until: this.#options.clock.readMonotonic() + (this.#bounds.heartbeatMs * listedHeartbeats)});
			vm.incarnation = undefined;
		}
	}

	#findVm(id: VmId): EmulatedVm {
		return this.#vms.find(vm => vm.id === id)!;
	}

	#extendLease(incarnation: EmulatedIncarnation, until: number): void {
		const now = this.#options.clock.readMonotonic();
		incarnation.leaseUntil = Math.max(incarnation.leaseUntil, Math.min(until, incarnation.readClock(now) + this.#bounds.maxWorkerLeaseMs));
		this.#options.clock.schedule(((incarnation.leaseUntil - incarnation.readClock(now)) / incarnation.clockRate) + 1, () => {
			if (!incarnation.isEnded && incarnation.leaseUntil <= incarnation.readClock(this.#options.clock.readMonotonic())) {
				this.counts.lapsed += incarnation.runs.size;
				for (const run of incarnation.runs.values()) {
					incarnation.endRun(run, 'lapsed');
				}
			}
		});
	}

	#describeTask(key: RunKey): EmulatedTask {
		const emulatedJob = this.jobs.get(key.job)!;
		const step = emulatedJob.job.steps[key.step]!;
		return {step, durationMs: emulatedJob.durationMs, isFailing: emulatedJob.failingTasks.has(`${key.step}.${key.index}.${key.run}`)};
	}

	/** Lists the active runs that belong to the same start of a gang, with their workers. */
	#listGang(key: RunKey): Array<{readonly incarnation: EmulatedIncarnation; readonly run: EmulatedRun}> {
		return this.#vms.flatMap(({incarnation}) => incarnation === undefined ? [] : [...incarnation.runs.values()].map(run => ({incarnation, run})))
			.filter(({run}) => run.key.job === key.job && run.key.step === key.step && run.key.run === key.run);
	}

	#scheduleGangEnd(key: RunKey, {step, durationMs}: EmulatedTask): void {
		if (this.#listGang(key).length < step.count) {
			return;
		}

		this.#options.clock.schedule(durationMs, () => {
			const gang = this.#listGang(key);
			for (const {incarnation, run} of gang) {
				if (gang.length === step.count) {
					this.#doneAt.set(formatTask(run.key), this.#options.clock.readMonotonic());
				}

				incarnation.endRun(run, gang.length === step.count ? 'done' : 'broken');
			}
		});
	}

	#scheduleEnd(incarnation: EmulatedIncarnation, run: EmulatedRun): void {
		const {task, key} = run;
		if (task.step.isGang) {
			this.#scheduleGangEnd(key, task);
			this.#options.clock.schedule(this.#bounds.gangStartMs, () => {
				if (!incarnation.isEnded && incarnation.runs.get(formatTask(key)) === run && this.#listGang(key).length < task.step.count) {
					incarnation.endRun(run, 'alone');
				}
			});
			return;
		}

		if (task.step.isLongRunning && !task.isFailing) {
			return;
		}

		this.#options.clock.schedule(task.durationMs, () => {
			if (incarnation.isEnded || incarnation.runs.get(formatTask(key)) !== run) {
				return;
			}

			if (task.isFailing) {
				this.counts.failed++;
				this.#failures.set(formatTask(key), (this.#failures.get(formatTask(key)) ?? 0) + 1);
				incarnation.endRun(run, 'failed');
			} else {
				this.counts.done++;
				this.#doneAt.set(formatTask(key), this.#options.clock.readMonotonic());
				incarnation.endRun(run, 'done');
			}
		});
	}

	/** Checks that a start leaves a worker within its capacity, or within one that it reported until a moment ago. */
	#checkCapacity({record, earlierCapacities}: EmulatedIncarnation, key: RunKey, used: Resources, now: number): void {
		const noticeMs = this.#bounds.contactMs + this.#bounds.heartbeatMs;
		const known = [record.capacity, ...earlierCapacities.filter(({until}) => now - until <= noticeMs).map(({capacity}) => capacity)];
		if (!known.some(capacity => isWithin(used, capacity))) {
			this.violations.push(`${Math.round(now)}: ${formatTask(key)} brings worker ${record.id} over its capacity, to ${used.cpu} of ${record.capacity.cpu}`);
		}
	}

	#scheduleCrash(incarnation: EmulatedIncarnation, name: string): void {
		const vm = this.#vms.find(other => other.incarnation === incarnation)!;
		this.#options.clock.schedule(crash.delayMs, () => {
			if (!incarnation.isEnded) {
				const {crashes, startsAfter} = this.#crashes.get(name) ?? {crashes: 0, startsAfter: 0};
				this.#crashes.set(name, {crashes: crashes + 1, startsAfter});
				this.counts.crashes++;
				this.crashVm(vm.id, crash.downtimeMs);
			}
		});
	}

	/** Computes what the runs of an account use, without those of one start of a gang. */
	computeAccountUse(account: AccountName, gang: ReadonlySet<EmulatedRun> = new Set()): Resources {
		let sum = noResources;
		for (const {incarnation} of this.#vms) {
			for (const run of incarnation?.runs.values() ?? []) {
				const isCounted = !gang.has(run) && this.jobs.get(run.key.job)!.job.account === account;
				sum = isCounted ? addResources(sum, run.task.step.resources) : sum;
			}
		}

		return sum;
	}

	/** Checks that a start is within the cap of its job's account. */
	#checkCap(run: EmulatedRun, now: number): void {
		const {account} = this.jobs.get(run.key.job)!.job;
		if (account === undefined) {
			return;
		}

		const {step} = run.task;
		const gang = new Set(step.isGang ? this.#listGang(run.key).map(member => member.run) : [run]);
		const others = this.computeAccountUse(account, gang);
		if (!this.caps.isAllowed({
			account, step, others, count: gang.size,
		}, now)) {
			this.violations.push(`${Math.round(now)}: ${formatTask(run.key)} brings account ${account} over its cap, beside ${others.cpu} thousandths of a core and ${others.memory} MB`);
		}
	}

	/** Checks that a late start of a cancelled job is stopped: the run has to be gone once the entries have had contact with the worker and the stop has taken its time. */
	#checkLateStart(incarnation: EmulatedIncarnation, run: EmulatedRun): void {
		const {clock} = this.#options;
		const name = formatTask(run.key);
		clock.schedule(this.#bounds.contactMs + stopDelayMs, () => {
			const now = clock.readMonotonic();
			const isCancelled = now - (this.cancelledAt.get(run.key.job) ?? Number.POSITIVE_INFINITY) > this.#bounds.cancellationMs + stopDelayMs;
			if (isCancelled && !incarnation.isEnded && incarnation.runs.get(name) === run) {
				this.overdueRuns.push({name, startedAt: run.startedAt, until: now});
			}
		});
	}

	#checkStart(key: RunKey, now: number, isLate: boolean): void {
		const name = formatTask(key);
		const crashed = this.#crashes.get(name);
		if (crashed !== undefined && crashed.crashes >= crashBudget.crashes) {
			crashed.startsAfter++;
			if (crashed.startsAfter === crashBudget.startsAfter) {
				this.violations.push(`${Math.round(now)}: ${name} is started ${crashed.startsAfter} times after ${crashed.crashes} workers crashed under it`);
			}
		}

		const {job} = this.jobs.get(key.job)!;
		if (this.#vms.some(vm => vm.incarnation?.runs.has(name))) {
			this.violations.push(`${Math.round(now)}: ${name} has two concurrent runs`);
		}

		if (this.#acknowledgedTasks.has(name)) {
			this.violations.push(`${Math.round(now)}: ${name} starts after its completion was acknowledged`);
		}

		for (const predecessor of job.steps[key.step]!.after) {
			const isDone = Array.from({length: job.steps[predecessor]!.count}, (_, index) => this.#doneAt.has(formatTask({...key, step: predecessor, index}))).every(Boolean);
			if (!isDone) {
				this.violations.push(`${Math.round(now)}: ${name} starts before step ${predecessor} is done`);
			}
		}

		if (!isLate && now - (this.cancelledAt.get(key.job) ?? Number.POSITIVE_INFINITY) > 3000) {
			this.violations.push(`${Math.round(now)}: ${name} starts after its job was cancelled`);
		}

		if (this.refused.has(key.job)) {
			this.violations.push(`${Math.round(now)}: ${name} starts although its job was refused`);
		}

		if (!job.steps[key.step]!.isLongRunning && (this.#failures.get(name) ?? 0) >= job.policy.maxAttempts) {
			this.violations.push(`${Math.round(now)}: ${name} starts after its last allowed attempt`);
		}
	}

	/** Checks that orders for a VM come from one holder at a time, with fencing tokens that never decrease. */
	#checkFence(vm: EmulatedVm, fence: OrderFence): void {
		const now = this.#options.clock.readMonotonic();
		const last = vm.lastOrder;
		vm.lastOrder = {...fence, at: now};
		if (last === undefined) {
			return;
		}

		if (fence.fencingToken < last.fencingToken || (fence.fencingToken === last.fencingToken && fence.holder !== last.holder)) {
			this.violations.push(`VM ${vm.id} got an order of ${fence.holder} under token ${fence.fencingToken} after one of ${last.holder} under ${last.fencingToken}`);
		} else if (fence.holder !== last.holder && now - last.at < this.#bounds.fleetLeaseMs) {
			this.violations.push(`VM ${vm.id} got orders of ${last.holder} and ${fence.holder} within ${now - last.at} ms`);
		}
	}

	/**
	 * Checks that an order ends no more tasks of a step than its disruption budget allows. A task counts as unavailable if an order
	 * ended it, or if it has been down or starting up for at least the time within which the scheduler must detect a loss.
	 */
	#checkBudget(vm: EmulatedVm): void {
		const now = this.#options.clock.readMonotonic();
		for (const run of vm.incarnation?.runs.values() ?? []) {
			const {mayMiss, count} = run.task.step;
			if (mayMiss !== undefined && computePercent(run, now) === percentScale && !this.cancelRequested.has(run.key.job)) {
				const stepTasks = Array.from({length: count}, (_, index) => ({...run.key, index}));
				const unavailable = stepTasks.filter(key => this.#isUnavailable(key, vm, now)).length;
				if (unavailable > mayMiss) {
					this.violations.push(`${Math.round(now)}: order to ${vm.id} leaves ${count - unavailable} of ${count} tasks of ${run.key.job} running`);
				}
			}
		}
	}

	/** Reports whether a task counts as unavailable after an order ends the worker of the given VM. */
	#isUnavailable(key: RunKey, endedVm: EmulatedVm, now: number): boolean {
		const name = formatTask(key);
		const host = this.#vms.find(vm => vm.incarnation?.runs.has(name));
		const isRunning = host !== undefined && computePercent(host.incarnation!.runs.get(name)!, now) === percentScale;
		if (isRunning) {
			return host === endedVm;
		}

		const outage = this.#unavailableSince.get(name);
		const unavailableAt = outage?.at ?? this.jobs.get(key.job)!.job.submittedAt;
		return (outage?.isPlanned ?? false) || now - unavailableAt >= this.#bounds.lossDetectionMs;
	}
}

/** Creates the checkpoint that a run has reached. */
function createCheckpoint(run: EmulatedRun, now: number): string {
	return `${computePercent(run, now)}`.padStart(checkpointLength, '0');
}

function createVmControlError(): Error {
	return new VerdictError('VM control does not answer', {verdict: 'may-have-run', code: 'fleet_unavailable'});
}

function sumReservations(incarnation: EmulatedIncarnation): Resources {
	let sum = noResources;
	for (const run of incarnation.runs.values()) {
		sum = addResources(sum, getReservation(run.task.step));
	}

	return sum;
}

/** Computes the progress of a run in percent; a long-running task reaches 100 after its startup time. */
function computePercent({task, startedAt}: EmulatedRun, now: number): number {
	const total = task.step.isLongRunning ? startupMs : task.durationMs;
	return Math.min(percentScale, Math.floor(((now - startedAt) / total) * percentScale));
}

/** Number of orders to one worker that are open at a time. */
const maxOpenOrders = 2;

/** Sends the orders of one entry to the emulated workers. */
export class EmulatedWorkerControl extends WorkerControl {
	static create(fleet: EmulatedFleet, clock: SimulatedClock): EmulatedWorkerControl {
		return new EmulatedWorkerControl(fleet, clock);
	}

	private constructor(private readonly fleet: EmulatedFleet, private readonly clock: SimulatedClock) {
		super();
	}

	override getOrderLimit(): number {
		return maxOpenOrders;
	}

	override async startRun(worker: WorkerRecord, order: StartOrder): Promise<StartOutcome> {
		return await this.fleet.runOrder(worker, false, (incarnation, isLate) => this.fleet.startRun(incarnation, order, isLate)) ?? {status: 'refused', reason: 'other-life'};
	}

	override async stopRun(worker: WorkerRecord, {key, fencingToken}: {readonly key: RunKey; readonly fencingToken: number}): Promise<OrderOutcome> {
		return await this.fleet.runOrder(worker, false, incarnation => this.fleet.stopRun(incarnation, key, fencingToken)) ?? 'other-life';
	}

	override async renewLease(worker: WorkerRecord, order: LeaseRenewal): Promise<LeaseRenewalOutcome> {
		const renewal = await this.fleet.runOrder(worker, true, incarnation => ({incarnation, outcome: this.fleet.acceptRenewal(incarnation, order)}));
		if (renewal === undefined) {
			return {status: 'other-life'};
		}

		if (renewal.outcome === 'fenced') {
			return {status: 'fenced'};
		}

		const abort = new AbortController();
		const wake = (): void => {
			abort.abort();
		};

		if (renewal.incarnation.ends.length === 0 && (order.waitMs ?? 0) > 0) {
			renewal.incarnation.waiters.add(wake);
			await this.clock.sleep(order.waitMs!, abort.signal);
			renewal.incarnation.waiters.delete(wake);
		}

		if (renewal.incarnation.isEnded) {
			if (this.fleet.isSilentWhenDown) {
				await this.clock.sleep(timeoutMs);
			}

			throw new VerdictError('connection reset', {verdict: 'may-have-run', code: 'worker_unavailable'});
		}

		return await this.fleet.runOrder(worker, true, current => current === renewal.incarnation ? this.fleet.describeIncarnation(current) : undefined) ?? {status: 'other-life'};
	}

	override async throttleRun(): Promise<OrderOutcome> {
		return 'done';
	}

	override async releaseExcept(): Promise<void> {}

	override async close(): Promise<void> {}
}

/** Registry that lists the emulated workers. */
export class EmulatedRegistry extends WorkerRegistry {
	static create(fleet: EmulatedFleet, clock: SimulatedClock): EmulatedRegistry {
		return new EmulatedRegistry(fleet, clock);
	}

	private constructor(private readonly fleet: EmulatedFleet, private readonly clock: SimulatedClock) {
		super();
	}

	override async watchWorkers(waitMs: number): Promise<WorkerRecord[]> {
		await this.clock.sleep(waitMs);
		if (this.fleet.isRegistryDown) {
			throw new VerdictError('registry is down', {verdict: 'not-run', code: 'platform_unavailable'});
		}

		return this.fleet.listRecords();
	}
}

/** Controls the emulated VMs. */
export class EmulatedFleetControl extends FleetControl {
	static create(fleet: EmulatedFleet): EmulatedFleetControl {
		return new EmulatedFleetControl(fleet);
	}

	private constructor(private readonly fleet: EmulatedFleet) {
		super();
	}

	override async listVms(): Promise<FleetVm[]> {
		return this.fleet.readVms();
	}

	override async moveVm(vm: VmId, pool: PoolName, fence: OrderFence): Promise<FleetOrderOutcome> {
		return this.fleet.sendVmOrder(vm, fence, isLate => this.fleet.moveVm(vm, pool, isLate));
	}

	override async maintainVm(vm: VmId, wave: string, fence: OrderFence): Promise<FleetOrderOutcome> {
		return this.fleet.sendVmOrder(vm, fence, isLate => this.fleet.maintainVm(vm, wave, isLate));
	}
}
