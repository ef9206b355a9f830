/**
 * Emulated VMs and their workers in simulated time: leases, runs, ends, fencing, upkeep. They record what breaks a promise.
 */
import {
	VerdictError, type JobId, type PoolName, type RandomSource, type VmId, type ZoneName,
} from '@tamarackwind/core';
import {
	addResources, getReservation, isWithin, noResources, type Resources, type StepSpec,
} from '@tamarackwind/scheduling';
import {
	FleetControl, formatTask, WorkerControl, WorkerRegistry, type OrderFence, type FleetOrderOutcome, type FleetVm, type LeaseRenewal, type LeaseRenewalOutcome, type Job, type ListedEnd,
	type OrderOutcome, type RunEnding, type RunKey, type StartOrder, type StartOutcome, type WorkerRecord,
} from '@tamarackwind/workflows';
import {type SimulatedClock} from './simulated-clocks.js';

/** What the emulated workers know of the jobs: how long tasks take and what they need. */
export type EmulatedTask = {readonly step: StepSpec; readonly durationMs: number; readonly isFailing: boolean};

type EmulatedRun = {readonly key: RunKey; readonly startedAt: number; readonly task: EmulatedTask; isStopping: boolean};

const capacity: Resources = {cpu: 8000, memory: 32_000, gpu: 0};
const stopMs = 300;
const upkeepMs = 2000;
const gangMs = 3000;
/** Time within which the loss of a task must have been noticed, in milliseconds. */
const noticeMs = 4500;
const moveMs = 1500;
/** Pool whose VMs are off. */
export const sparePool = 'spare' as PoolName;
const percentScale = 100;
const startupMs = 300;
const maxLeaseMs = 10_000;
const networkMs = 1;
/** Time for which the registry goes on listing a worker that has ended, in milliseconds. */
const registryLagMs = 4500;

/** One life of a worker. */
class EmulatedLife {
	readonly runs = new Map<string, EmulatedRun>();
	readonly ends: ListedEnd[] = [];
	/** Highest run of each task that was stopped or has ended here. */
	readonly closedRuns = new Map<string, number>();
	readonly waiters = new Set<() => void>();
	fencingToken = 0;
	leaseUntil = Number.NEGATIVE_INFINITY;
	isOver = false;
	#sequence = 0;

	constructor(readonly record: WorkerRecord, readonly bornAt: number, readonly clockRate: number, readonly onEnd: (task: string, isOrdered: boolean) => void) {}

	readClock(now: number): number {
		return (now - this.bornAt) * this.clockRate;
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
	readonly id: VmId; pool: PoolName; life: EmulatedLife | undefined; state: FleetVm['state']; isCut: boolean; upkeeps: Set<string>;
};

/** Chances of faults of an order, each from 0 to 1. */
export type OrderFaults = {
	/** The order is carried out and its answer is lost. */
	readonly lostAnswer: number;
	/** The order is carried out seconds later and not answered. */
	readonly late: number;
};

export type EmulatedFleetOptions = {
	readonly clock: SimulatedClock;
	readonly random: RandomSource;
	/** Names of the pools and their numbers of VMs. */
	readonly pools: ReadonlyArray<readonly [PoolName, number]>;
};

/** All emulated VMs; checks the promises at each start. */
export class EmulatedFleet {
	static create(options: EmulatedFleetOptions): EmulatedFleet {
		return new EmulatedFleet(options);
	}

	readonly violations: string[] = [];
	readonly counts = {
		starts: 0, done: 0, failed: 0, lapsed: 0, late: 0, lost: 0, upkeeps: 0, moves: 0,
	};

	readonly jobs = new Map<JobId, {readonly job: Job; readonly durationMs: number; readonly failingTasks: ReadonlySet<string>}>();
	/** Times at which cancellations were acknowledged. */
	readonly cancelledAt = new Map<JobId, number>();
	/** Jobs that a client has asked to cancel; their tasks may be ended from then on. */
	readonly cancelSent = new Set<JobId>();
	/** Jobs of which every attempt to submit them was refused. */
	readonly refused = new Set<JobId>();
	orderFaults: OrderFaults = {lostAnswer: 0, late: 0};
	readonly #options: EmulatedFleetOptions;
	readonly #vms: EmulatedVm[] = [];
	/** Tasks of which an end as done was acknowledged. */
	readonly #notedDone = new Set<string>();
	readonly #done = new Map<string, number>();
	readonly #failures = new Map<string, number>();
	/** When each task last stopped being at work, and whether an order did it. */
	readonly #awaySince = new Map<string, {readonly at: number; readonly isOrdered: boolean}>();
	/** Ended workers that the registry still lists, with the time until which it does. */
	#lingering: Array<{readonly record: WorkerRecord; readonly until: number}> = [];
	#born = 0;

	private constructor(options: EmulatedFleetOptions) {
		this.#options = options;
		for (const [pool, count] of options.pools) {
			for (let index = 0; index < count; index++) {
				const vm: EmulatedVm = {
					id: `vm-${pool}-${index}` as VmId, pool, life: undefined, state: 'up', isCut: false, upkeeps: new Set(),
				};
				this.#vms.push(vm);
				this.#beginLife(vm);
			}
		}
	}

	get vms(): ReadonlyArray<{readonly id: VmId}> {
		return this.#vms;
	}

	/** Tasks of a job that last and run now. */
	countRunning(job: JobId): number {
		return this.#vms.flatMap(vm => [...vm.life?.runs.values() ?? []]).filter(run => run.key.job === job).length;
	}

	/** Ends a VM's worker without notice; another begins after `downMs` milliseconds. */
	crashVm(id: VmId, downMs: number): void {
		const vm = this.#findVm(id);
		this.#endLife(vm, false);
		vm.state = 'down';
		this.#options.clock.schedule(downMs, () => {
			vm.state = 'up';
			this.#beginLife(vm);
		});
	}

	/** Cuts a VM off for `cutMs` milliseconds; its worker runs on. */
	cutVm(id: VmId, cutMs: number): void {
		const vm = this.#findVm(id);
		vm.isCut = true;
		this.#options.clock.schedule(cutMs, () => {
			vm.isCut = false;
		});
	}

	listRecords(): WorkerRecord[] {
		const now = this.#options.clock.readMonotonic();
		this.#lingering = this.#lingering.filter(({until}) => until > now);
		return [...this.#vms.flatMap(vm => vm.life === undefined || vm.isCut ? [] : [vm.life.record]), ...this.#lingering.map(({record}) => record)];
	}

	listVms(): FleetVm[] {
		return this.#vms.map(vm => ({
			id: vm.id, pool: vm.pool, state: vm.state, zone: 'zone-a' as ZoneName, labels: [], capacity, worker: vm.life?.record.id,
		}));
	}

	async maintainVm(id: VmId, wave: string): Promise<FleetOrderOutcome> {
		const vm = this.#findVm(id);
		if (vm.upkeeps.has(wave)) {
			return 'accepted';
		}

		if (vm.state !== 'up') {
			return 'busy';
		}

		this.#checkBudget(vm);
		vm.upkeeps.add(wave);
		this.counts.upkeeps++;
		this.#endLife(vm, true);
		vm.state = 'upkeep';
		this.#options.clock.schedule(upkeepMs, () => {
			vm.state = 'up';
			this.#beginLife(vm);
		});
		return 'accepted';
	}

	/** Moves a VM to another pool; a VM of the spare pool is off. */
	async moveVm(id: VmId, pool: PoolName): Promise<FleetOrderOutcome> {
		const vm = this.#findVm(id);
		if (vm.pool === pool) {
			return 'accepted';
		}

		if (vm.state !== 'up') {
			return 'busy';
		}

		this.#checkBudget(vm);
		this.counts.moves++;
		this.#endLife(vm, true);
		vm.pool = pool;
		vm.state = 'moving';
		this.#options.clock.schedule(moveMs, () => {
			vm.state = 'up';
			this.#beginLife(vm);
		});
		return 'accepted';
	}

	/** Carries an order out on the worker of a record, with the faults in force. */
	async carryOut<T>(record: WorkerRecord, isRead: boolean, act: (life: EmulatedLife) => T): Promise<T | undefined> {
		const {clock, random} = this.#options;
		await clock.sleep(networkMs);
		const vm = this.#vms.find(other => other.life?.record.address === record.address);
		if (vm?.isCut) {
			await clock.sleep(1000);
			throw new VerdictError('worker does not answer', {verdict: 'may-have-run', code: 'worker_unavailable'});
		}

		if (vm === undefined) {
			throw new VerdictError('connection refused', {verdict: 'not-run', code: 'worker_unavailable'});
		}

		const dice = isRead ? 1 : random.readFraction();
		if (dice < this.orderFaults.late) {
			this.counts.late++;
			clock.schedule(1000 + (random.readFraction() * 8000), () => {
				if (vm.life?.record.id === record.id) {
					act(vm.life);
				}
			});
			await clock.sleep(1200);
			throw new VerdictError('worker does not answer', {verdict: 'may-have-run', code: 'worker_unavailable'});
		}

		const life = vm.life!;
		const outcome = life.record.id === record.id ? act(life) : undefined;
		if (dice < this.orderFaults.late + this.orderFaults.lostAnswer) {
			this.counts.lost++;
			await clock.sleep(1200);
			throw new VerdictError('worker does not answer', {verdict: 'may-have-run', code: 'worker_unavailable'});
		}

		await clock.sleep(networkMs);
		return outcome;
	}

	startRun(life: EmulatedLife, order: StartOrder): StartOutcome {
		const now = this.#options.clock.readMonotonic();
		const name = formatTask(order.key);
		if (order.fencingToken < life.fencingToken) {
			return {status: 'refused', reason: 'fenced'};
		}

		life.fencingToken = order.fencingToken;
		if (order.leaseUntil <= life.readClock(now)) {
			return {status: 'refused', reason: 'expired'};
		}

		this.#extendLease(life, order.leaseUntil);
		if (life.runs.get(name)?.key.run === order.key.run) {
			return {status: 'started'};
		}

		if (order.key.run <= (life.closedRuns.get(name) ?? 0) || life.runs.has(name)) {
			return {status: 'refused', reason: 'superseded'};
		}

		const task = this.#describeTask(order.key);
		const used = sumReservations(life);
		if (!isWithin(getReservation(task.step), addResources(capacity, used, -1))) {
			return {status: 'refused', reason: 'no-room'};
		}

		this.#checkStart(order.key, now);
		this.counts.starts++;
		const run: EmulatedRun = {
			key: order.key, startedAt: now, task, isStopping: false,
		};
		life.runs.set(name, run);
		this.#scheduleEnd(life, run);
		return {status: 'started'};
	}

	stopRun(life: EmulatedLife, key: RunKey, fencingToken: number): OrderOutcome {
		if (fencingToken < life.fencingToken) {
			return 'refused';
		}

		const name = formatTask(key);
		life.fencingToken = fencingToken;
		life.closedRuns.set(name, Math.max(key.run, life.closedRuns.get(name) ?? 0));
		const run = life.runs.get(name);
		if (run !== undefined && run.key.run <= key.run && !run.isStopping) {
			run.isStopping = true;
			this.#options.clock.schedule(stopMs, () => {
				if (life.runs.get(name) === run && !life.isOver) {
					life.endRun(run, 'stopped');
				}
			});
		}

		return 'done';
	}

	/** Takes in a call that renews the lease; `undefined` when it is fenced off. */
	acceptHold(life: EmulatedLife, {fencingToken, acknowledgedEnds: seenEnds, leaseUntil}: LeaseRenewal): 'fenced' | 'accepted' {
		if (fencingToken < life.fencingToken) {
			return 'fenced';
		}

		life.fencingToken = fencingToken;
		if (leaseUntil !== undefined) {
			this.#extendLease(life, leaseUntil);
		}

		for (const end of life.ends.filter(({sequence}) => sequence <= seenEnds)) {
			if (end.ending === 'done') {
				this.#notedDone.add(formatTask(end.key));
			}
		}

		life.ends.splice(0, life.ends.filter(({sequence}) => sequence <= seenEnds).length);
		return 'accepted';
	}

	describeLife(life: EmulatedLife): LeaseRenewalOutcome {
		const now = this.#options.clock.readMonotonic();
		return {
			status: 'listed',
			bornAt: life.bornAt,
			clock: Math.floor(life.readClock(now)),
			running: [...life.runs.values()].map(run => ({
				key: run.key, checkpoint: '', load: 0, percent: computePercent(run, now),
			})),
			ends: [...life.ends],
		};
	}

	#beginLife(vm: EmulatedVm): void {
		if (vm.pool === sparePool) {
			return;
		}

		const {clock, random} = this.#options;
		const bornAt = clock.readMonotonic();
		this.#born++;
		const record: WorkerRecord = {
			id: `worker-${this.#born}` as VmId, bornAt, pool: vm.pool, address: `${vm.id}:1`, zone: 'zone-a' as ZoneName, isDraining: false, capacity, labels: [],
		};
		vm.life = new EmulatedLife(record, bornAt, 1 - (random.readFraction() * 0.02), (task, isOrdered) => {
			this.#awaySince.set(task, {at: clock.readMonotonic(), isOrdered});
		});
	}

	#endLife(vm: EmulatedVm, isOrdered: boolean): void {
		if (vm.life !== undefined) {
			for (const name of vm.life.runs.keys()) {
				vm.life.onEnd(name, isOrdered);
			}

			vm.life.isOver = true;
			vm.life.runs.clear();
			this.#lingering.push({record: vm.life.record, until: this.#options.clock.readMonotonic() + registryLagMs});
			vm.life = undefined;
		}
	}

	#findVm(id: VmId): EmulatedVm {
		return this.#vms.find(vm => vm.id === id)!;
	}

	#extendLease(life: EmulatedLife, until: number): void {
		const now = this.#options.clock.readMonotonic();
		life.leaseUntil = Math.max(life.leaseUntil, Math.min(until, life.readClock(now) + maxLeaseMs));
		this.#options.clock.schedule(((life.leaseUntil - life.readClock(now)) / life.clockRate) + 1, () => {
			if (!life.isOver && life.leaseUntil <= life.readClock(this.#options.clock.readMonotonic())) {
				this.counts.lapsed += life.runs.size;
				for (const run of life.runs.values()) {
					life.endRun(run, 'lapsed');
				}
			}
		});
	}

	#describeTask(key: RunKey): EmulatedTask {
		const known = this.jobs.get(key.job)!;
		const step = known.job.steps[key.step]!;
		return {step, durationMs: known.durationMs, isFailing: known.failingTasks.has(`${key.step}.${key.index}.${key.run}`)};
	}

	/** Runs of a gang's start that are present, with their lives. */
	#listGang(key: RunKey): Array<{readonly life: EmulatedLife; readonly run: EmulatedRun}> {
		return this.#vms.flatMap(({life}) => life === undefined ? [] : [...life.runs.values()].map(run => ({life, run})))
			.filter(({run}) => run.key.job === key.job && run.key.step === key.step && run.key.run === key.run);
	}

	#scheduleGangEnd(key: RunKey, {step, durationMs}: EmulatedTask): void {
		if (this.#listGang(key).length < step.count) {
			return;
		}

		this.#options.clock.schedule(durationMs, () => {
			const gang = this.#listGang(key);
			for (const {life, run} of gang) {
				if (gang.length === step.count) {
					this.#done.set(formatTask(run.key), this.#options.clock.readMonotonic());
				}

				life.endRun(run, gang.length === step.count ? 'done' : 'broken');
			}
		});
	}

	#scheduleEnd(life: EmulatedLife, run: EmulatedRun): void {
		const {task, key} = run;
		if (task.step.isGang) {
			this.#scheduleGangEnd(key, task);
			this.#options.clock.schedule(gangMs, () => {
				if (!life.isOver && life.runs.get(formatTask(key)) === run && this.#listGang(key).length < task.step.count) {
					life.endRun(run, 'alone');
				}
			});
			return;
		}

		if (task.step.isLongRunning && !task.isFailing) {
			return;
		}

		this.#options.clock.schedule(task.durationMs, () => {
			if (life.isOver || life.runs.get(formatTask(key)) !== run) {
				return;
			}

			if (task.isFailing) {
				this.counts.failed++;
				this.#failures.set(formatTask(key), (this.#failures.get(formatTask(key)) ?? 0) + 1);
				life.endRun(run, 'failed');
			} else {
				this.counts.done++;
				this.#done.set(formatTask(key), this.#options.clock.readMonotonic());
				life.endRun(run, 'done');
			}
		});
	}

	#checkStart(key: RunKey, now: number): void {
		const name = formatTask(key);
		const {job} = this.jobs.get(key.job)!;
		if (this.#vms.some(vm => vm.life?.runs.has(name))) {
			this.violations.push(`${Math.round(now)}: ${name} runs twice at the same time`);
		}

		if (this.#notedDone.has(name)) {
			this.violations.push(`${Math.round(now)}: ${name} starts after it was done`);
		}

		for (const earlier of job.steps[key.step]!.after) {
			const isDone = Array.from({length: job.steps[earlier]!.count}, (_, index) => this.#done.has(formatTask({...key, step: earlier, index}))).every(Boolean);
			if (!isDone) {
				this.violations.push(`${Math.round(now)}: ${name} starts before step ${earlier} is done`);
			}
		}

		if (now - (this.cancelledAt.get(key.job) ?? Number.POSITIVE_INFINITY) > 3000) {
			this.violations.push(`${Math.round(now)}: ${name} starts after its job was cancelled`);
		}

		if (this.refused.has(key.job)) {
			this.violations.push(`${Math.round(now)}: ${name} starts although its job was refused`);
		}

		if (!job.steps[key.step]!.isLongRunning && (this.#failures.get(name) ?? 0) >= job.policy.maxAttempts) {
			this.violations.push(`${Math.round(now)}: ${name} starts beyond its attempts`);
		}
	}

	/**
	 * An order may not end more tasks of a step than its disruption budget allows. Tasks count as away that an order has ended, and
	 * those that have not been at work for the time within which it must have been noticed.
	 */
	#checkBudget(vm: EmulatedVm): void {
		const now = this.#options.clock.readMonotonic();
		for (const run of vm.life?.runs.values() ?? []) {
			const {mayMiss, count} = run.task.step;
			if (mayMiss !== undefined && computePercent(run, now) === percentScale && !this.cancelSent.has(run.key.job)) {
				const fellows = Array.from({length: count}, (_, index) => ({...run.key, index}));
				const away = fellows.filter(key => this.#isAway(key, vm, now)).length;
				if (away > mayMiss) {
					this.violations.push(`${Math.round(now)}: order to ${vm.id} leaves ${count - away} of ${count} tasks of ${run.key.job} at work`);
				}
			}
		}
	}

	/** Tells whether a task counts as away once the worker of a VM has been ended by an order. */
	#isAway(key: RunKey, ended: EmulatedVm, now: number): boolean {
		const name = formatTask(key);
		const place = this.#vms.find(vm => vm.life?.runs.has(name));
		const isAtWork = place !== undefined && computePercent(place.life!.runs.get(name)!, now) === percentScale;
		if (isAtWork) {
			return place === ended;
		}

		const since = this.#awaySince.get(name);
		const awayAt = since?.at ?? this.jobs.get(key.job)!.job.submittedAt;
		return (since?.isOrdered ?? false) || now - awayAt >= noticeMs;
	}
}

function sumReservations(life: EmulatedLife): Resources {
	let sum = noResources;
	for (const run of life.runs.values()) {
		sum = addResources(sum, getReservation(run.task.step));
	}

	return sum;
}

/** Progress of a run in percent; a lasting task is at work after a short startup. */
function computePercent({task, startedAt}: EmulatedRun, now: number): number {
	const total = task.step.isLongRunning ? startupMs : task.durationMs;
	return Math.min(percentScale, Math.floor(((now - startedAt) / total) * percentScale));
}

/** Orders of one entry to the emulated workers. */
export class EmulatedWorkerControl extends WorkerControl {
	static create(fleet: EmulatedFleet, clock: SimulatedClock): EmulatedWorkerControl {
		return new EmulatedWorkerControl(fleet, clock);
	}

	private constructor(private readonly fleet: EmulatedFleet, private readonly clock: SimulatedClock) {
		super();
	}

	override async startRun(worker: WorkerRecord, order: StartOrder): Promise<StartOutcome> {
		return await this.fleet.carryOut(worker, false, life => this.fleet.startRun(life, order)) ?? {status: 'refused', reason: 'other-life'};
	}

	override async stopRun(worker: WorkerRecord, {key, fencingToken}: {readonly key: RunKey; readonly fencingToken: number}): Promise<OrderOutcome> {
		return await this.fleet.carryOut(worker, false, life => this.fleet.stopRun(life, key, fencingToken)) ?? 'other-life';
	}

	override async renewLease(worker: WorkerRecord, order: LeaseRenewal): Promise<LeaseRenewalOutcome> {
		const life = await this.fleet.carryOut(worker, true, life => ({life, outcome: this.fleet.acceptHold(life, order)}));
		if (life === undefined) {
			return {status: 'other-life'};
		}

		if (life.outcome === 'fenced') {
			return {status: 'fenced'};
		}

		const abort = new AbortController();
		const wake = (): void => {
			abort.abort();
		};

		if (life.life.ends.length === 0 && (order.waitMs ?? 0) > 0) {
			life.life.waiters.add(wake);
			await this.clock.sleep(order.waitMs!, abort.signal);
			life.life.waiters.delete(wake);
		}

		return await this.fleet.carryOut(worker, true, same => same === life.life ? this.fleet.describeLife(same) : undefined) ?? {status: 'other-life'};
	}

	override async throttleRun(): Promise<OrderOutcome> {
		return 'done';
	}

	override async releaseExcept(): Promise<void> {}

	override async close(): Promise<void> {}
}

/** The registry as it lists the emulated workers. */
export class EmulatedRegistry extends WorkerRegistry {
	static create(fleet: EmulatedFleet, clock: SimulatedClock): EmulatedRegistry {
		return new EmulatedRegistry(fleet, clock);
	}

	private constructor(private readonly fleet: EmulatedFleet, private readonly clock: SimulatedClock) {
		super();
	}

	override async watchWorkers(waitMs: number): Promise<WorkerRecord[]> {
		await this.clock.sleep(waitMs);
		return this.fleet.listRecords();
	}
}

/** Control of the emulated VMs. */
export class EmulatedFleetControl extends FleetControl {
	static create(fleet: EmulatedFleet): EmulatedFleetControl {
		return new EmulatedFleetControl(fleet);
	}

	private constructor(private readonly fleet: EmulatedFleet) {
		super();
	}

	override async listVms(): Promise<FleetVm[]> {
		return this.fleet.listVms();
	}

	override async moveVm(vm: VmId, pool: PoolName): Promise<FleetOrderOutcome> {
		return this.fleet.moveVm(vm, pool);
	}

	override async maintainVm(vm: VmId, wave: string, _fence: OrderFence): Promise<FleetOrderOutcome> {
		return this.fleet.maintainVm(vm, wave);
	}
}
