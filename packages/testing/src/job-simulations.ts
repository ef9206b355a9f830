/**
 * Runs several job schedulers on one platform in simulated time, freezes their processes on demand, and checks the task history.
 */
import {
	Log, ManualClock, SeededRandom, type RandomSource,
} from '@tamarackwind/core';
import {
	JobSchedulerLease, JobScheduler, JobClient, explainUnplaceable, createPlacementNode, jobTables, type JobSchedulerOptions, type JobRow, type JobSpec, type Submission,
} from '@tamarackwind/jobs';
import {
	MemoryObjectStore, MemoryTableService, TableService, TaskControl, type CommitOutcome, type Row, type RowKey, type ScanOptions, type TaskRun, type TaskStart, type TaskStatus, type Transaction, type VmRecord,
} from '@tamarackwind/clients';
import {createWorkerRecord} from './clusters.js';
import {MemoryTaskControl, FakeTaskRunner, type TaskScript} from './fake-task-runners.js';

/** Blocks the calls of a frozen process before they are sent and before their responses are received. */
export class FreezeGate {
	static create(): FreezeGate {
		return new FreezeGate();
	}

	/** Freezes the process right before it sends a transaction for which this returns true. */
	freezeAtCommit: ((transaction: Transaction) => boolean) | undefined;
	/** Freezes the process right before it sends a task start for which this returns true. */
	freezeAtStart: ((start: TaskStart) => boolean) | undefined;
	#frozen: {readonly done: Promise<void>; readonly thaw: () => void} | undefined;

	get isFrozen(): boolean {
		return this.#frozen !== undefined;
	}

	freeze(): void {
		let thaw = (): void => {};
		const done = new Promise<void>(resolve => {
			thaw = resolve;
		});
		this.#frozen ??= {done, thaw};
	}

	thaw(): void {
		this.freezeAtCommit = undefined;
		this.freezeAtStart = undefined;
		this.#frozen?.thaw();
		this.#frozen = undefined;
	}

	async run<T>(call: () => Promise<T>): Promise<T> {
		await this.#frozen?.done;
		try {
			return await call();
		} finally {
			await this.#frozen?.done;
		}
	}
}

class FreezableTables extends TableService {
	readonly #inner: TableService;
	readonly #gate: FreezeGate;

	constructor(inner: TableService, gate: FreezeGate) {
		super();
		this.#inner = inner;
		this.#gate = gate;
	}

	override async getRows(keys: readonly RowKey[]): Promise<Array<Row | undefined>> {
		return this.#gate.run(async () => this.#inner.getRows(keys));
	}

	override async scanRows(table: string, options?: ScanOptions): Promise<Row[]> {
		return this.#gate.run(async () => this.#inner.scanRows(table, options));
	}

	override async commit(transaction: Transaction): Promise<CommitOutcome> {
		if (this.#gate.freezeAtCommit?.(transaction)) {
			this.#gate.freeze();
		}

		return this.#gate.run(async () => this.#inner.commit(transaction));
	}

	override async close(): Promise<void> {}
}

class FreezableTasks extends TaskControl {
	readonly #inner: TaskControl;
	readonly #gate: FreezeGate;

	constructor(inner: TaskControl, gate: FreezeGate) {
		super();
		this.#inner = inner;
		this.#gate = gate;
	}

	override async startTask(start: TaskStart): Promise<boolean> {
		if (this.#gate.freezeAtStart?.(start)) {
			this.#gate.freeze();
		}

		return this.#gate.run(async () => this.#inner.startTask(start));
	}

	override async renewTask(run: TaskRun, leaseMs: number, renewBy?: number): Promise<boolean> {
		return this.#gate.run(async () => this.#inner.renewTask(run, leaseMs, renewBy));
	}

	override async checkpointTask(run: TaskRun): Promise<string | undefined> {
		return this.#gate.run(async () => this.#inner.checkpointTask(run));
	}

	override async throttleTask(run: TaskRun, cores: number): Promise<void> {
		await this.#gate.run(async () => this.#inner.throttleTask(run, cores));
	}

	override async stopTask(run: TaskRun): Promise<void> {
		await this.#gate.run(async () => this.#inner.stopTask(run));
	}

	override async listTasks(vmId: string): Promise<TaskStatus[]> {
		return this.#gate.run(async () => this.#inner.listTasks(vmId));
	}

	override async close(): Promise<void> {}
}

/** One entry that competes for the leader lease. */
export type JobSimulationEntry = {
	readonly name: string;
	readonly gate: FreezeGate;
	readonly lease: JobSchedulerLease;
	readonly controller: JobScheduler;
	readonly activeCalls: Set<string>;
};

export type JobSimulationOptions = {
	readonly seed: number;
	readonly workers: number;
	readonly entries?: number;
	/** Fields that override those of each worker's record. */
	readonly recordOverrides?: Partial<VmRecord>;
	/** Returns the script of a job's task by the job's id; by default a task runs for one minute. */
	readonly readScript?: (jobId: string) => TaskScript | undefined;
	readonly schedulerOptions?: Partial<JobSchedulerOptions>;
	/** Longest time for which a holder that cannot reach the tables renews the leases of runs, in milliseconds. */
	readonly offlineMs?: number;
};

const stepMs = 250;
const defaultScript: TaskScript = {runMs: 60_000, usage: {cores: 1, memoryMb: 512, accelerators: 0}};

/** Simulates a platform, its workers and the job schedulers of several entries. */
export class JobSimulation {
	static create(options: JobSimulationOptions): JobSimulation {
		return new JobSimulation(options);
	}

	readonly clock = ManualClock.create(1000);
	readonly tables = MemoryTableService.create();
	readonly objects = MemoryObjectStore.create();
	readonly entries: JobSimulationEntry[] = [];
	readonly random: RandomSource;
	readonly tasks: FakeTaskRunner;
	readonly client: JobClient;
	vms: VmRecord[];
	readonly #options: JobSimulationOptions;

	private constructor(options: JobSimulationOptions) {
		this.#options = options;
		this.random = SeededRandom.create(options.seed);
		this.vms = Array.from({length: options.workers}, (_, index) => ({...createWorkerRecord('north', index, 1), ...options.recordOverrides}));
		this.tasks = FakeTaskRunner.create({
			clock: this.clock, objects: this.objects, readScript: async start => options.readScript?.(start.taskId) ?? defaultScript,
		});
		this.client = JobClient.create({
			clock: this.clock, random: this.random, tables: this.tables, objects: this.objects, explainUnplaceable: spec => this.#explainUnplaceable(spec),
		});
		for (let index = 0; index < (options.entries ?? 1); index++) {
			this.addEntry();
		}
	}

	/** Adds an entry, for example to replace a killed one. */
	addEntry(): JobSimulationEntry {
		const gate = FreezeGate.create();
		const name = `entry-${this.entries.length + 1}`;
		const tables = new FreezableTables(this.tables, gate);
		const tasks = new FreezableTasks(MemoryTaskControl.create(this.tasks), gate);
		const lease = JobSchedulerLease.create({
			clock: this.clock, random: this.random, tables, holder: name, offlineMs: this.#options.offlineMs ?? 10_000,
		});
		const controller = JobScheduler.create({
			clock: this.clock,
			random: this.random,
			log: Log.createSilent(),
			tables,
			objects: this.objects,
			tasks,
			schedulerLease: lease,
			listWorkers: () => this.vms,
			readQuotas: () => new Map(),
			...this.#options.schedulerOptions,
		});
		const entry = {
			name, gate, lease, controller, activeCalls: new Set<string>(),
		};
		this.entries.push(entry);
		return entry;
	}

	/** Entry that holds the leader lease. */
	get holder(): JobSimulationEntry | undefined {
		return this.entries.find(entry => entry.lease.isHeld());
	}

	/** Kills an entry by freezing it permanently. */
	killEntry(entry: JobSimulationEntry): void {
		entry.gate.freeze();
		this.entries.splice(this.entries.indexOf(entry), 1);
	}

	/** Reboots a worker; the VM list contains its new incarnation immediately. */
	async rebootWorker(vmId: string): Promise<void> {
		await this.tasks.restartWorker(vmId);
		this.vms = this.vms.map(vm => vm.vmId === vmId ? {...vm, incarnation: `${Number(vm.incarnation) + 1}`} : vm);
	}

	/** Submits a job without advancing simulated time. */
	async submit(spec: Partial<JobSpec> & Pick<JobSpec, 'kind'>, overrides: Partial<Submission> = {}): Promise<JobRow> {
		return this.client.submitJob({
			caller: 'caller-1',
			payload: new Uint8Array(),
			...overrides,
			spec: {
				workClass: 'batch', cores: 1, memoryMb: 1024, accelerators: 0, runMs: 60_000, ...spec,
			},
		});
	}

	/** Advances simulated time; every 250 ms each entry refreshes its lease, renews its runs and starts a scheduling turn. */
	async run(ms: number): Promise<void> {
		for (let passed = 0; passed < ms; passed += stepMs) {
			for (const entry of this.entries) {
				this.#startCall(entry, 'lease', async () => entry.lease.refresh());
				this.#startCall(entry, 'renewal', async () => entry.controller.renewRuns());
				this.#startCall(entry, 'turn', async () => entry.controller.runTurn());
			}

			await this.clock.advance(stepMs);
		}
	}

	/** Advances time until a condition holds; returns `false` when it does not hold within `limitMs`. */
	async runUntil(condition: () => boolean | Promise<boolean>, limitMs: number): Promise<boolean> {
		for (let passed = 0; passed < limitMs; passed += stepMs) {
			if (await condition()) {
				return true;
			}

			await this.run(stepMs);
		}

		return condition();
	}

	/** Reads the rows of all jobs after clearing the faults of the tables. */
	async readJobs(): Promise<JobRow[]> {
		this.tables.faults.setFaults({});
		return (await this.tables.listRows(jobTables.jobs)).map(row => row.value as JobRow);
	}

	/** Lists the times at which runs of a job started. */
	listStarts(jobId: string): readonly number[] {
		return this.tasks.history.filter(event => event.type === 'started' && event.taskId === jobId).map(event => event.at);
	}

	#startCall(entry: JobSimulationEntry, call: string, run: () => Promise<void>): void {
		if (entry.activeCalls.has(call) || entry.gate.isFrozen) {
			return;
		}

		entry.activeCalls.add(call);
		void (async () => {
			try {
				await run();
			} catch {
				// The next turn retries.
			} finally {
				entry.activeCalls.delete(call);
			}
		})();
	}

	#explainUnplaceable(spec: JobSpec): string | undefined {
		const size = {cores: spec.cores, memoryMb: spec.memoryMb, accelerators: spec.accelerators};
		return explainUnplaceable({size, spec, excludedVms: new Set()}, this.vms.map(vm => createPlacementNode(vm)));
	}
}

/** Finds violations in a task history: two concurrent runs of one job, and a second run of a refresh. */
export function findTaskViolations(tasks: FakeTaskRunner): string[] {
	const violations: string[] = [];
	const running = new Map<string, string>();
	const startedRefreshes = new Set<string>();
	for (const event of tasks.history.toSorted((a, b) => a.at - b.at)) {
		const runId = `${event.vmId} ${event.epoch}`;
		if (event.type === 'started') {
			if (running.has(event.taskId)) {
				violations.push(`${event.taskId} started on ${runId} at ${event.at} while ${running.get(event.taskId)} ran`);
			}

			if (event.kind === 'refresh' && startedRefreshes.has(event.taskId)) {
				violations.push(`refresh ${event.taskId} started a second time on ${runId}`);
			}

			startedRefreshes.add(event.taskId);
			running.set(event.taskId, runId);
		} else if (event.type === 'ended' && running.get(event.taskId) === runId) {
			running.delete(event.taskId);
		}
	}

	return violations;
}
