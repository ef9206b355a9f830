/**
 * Several job schedulers around one platform in simulated time, with switches for frozen holders, and checks of what happened.
 */
import {
	Log, ManualClock, SeededRandom, type RandomSource,
} from '@tamarackwind/core';
import {
	JobDuty, JobScheduler, JobClient, explainUnplaceable, createPlacementNode, jobTables, type JobSchedulerOptions, type JobRow, type JobSpec, type Submission,
} from '@tamarackwind/jobs';
import {
	MemoryObjectStore, MemoryTableService, TableService, TaskControl, type CommitOutcome, type Row, type RowKey, type ScanOptions, type TaskRun, type TaskStart, type TaskStatus, type Transaction, type VmRecord,
} from '@tamarackwind/clients';
import {createWorkerRecord} from './clusters.js';
import {MemoryTaskControl, WorkerTasks, type TaskScript} from './tasks.js';

/** Holds the calls of a frozen process, before they are sent and before their answers are seen. */
export class FreezeGate {
	static create(): FreezeGate {
		return new FreezeGate();
	}

	/** Freezes the process right before it sends a transaction that this accepts. */
	freezeAtCommit: ((transaction: Transaction) => boolean) | undefined;
	/** Freezes the process right before it sends a start that this accepts. */
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

class GatedTables extends TableService {
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

class GatedTasks extends TaskControl {
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

/** One entry that may hold the duty. */
export type WorldEntry = {
	readonly name: string;
	readonly gate: FreezeGate;
	readonly duty: JobDuty;
	readonly controller: JobScheduler;
	readonly busy: Set<string>;
};

export type JobWorldOptions = {
	readonly seed: number;
	readonly workers: number;
	readonly entries?: number;
	/** Fields laid over those of each worker. */
	readonly worker?: Partial<VmRecord>;
	/** What a job does, by its id; a minute of what it declared by default. */
	readonly readScript?: (jobId: string) => TaskScript | undefined;
	readonly controller?: Partial<JobSchedulerOptions>;
	/** Longest time for which a holder without the tables renews, in milliseconds. */
	readonly offlineMs?: number;
};

const stepMs = 250;
const defaultScript: TaskScript = {runMs: 60_000, usage: {cores: 1, memoryMb: 512, accelerators: 0}};

/** A platform, workers and schedulers in simulated time. */
export class JobWorld {
	static create(options: JobWorldOptions): JobWorld {
		return new JobWorld(options);
	}

	readonly clock = ManualClock.create(1000);
	readonly tables = MemoryTableService.create();
	readonly objects = MemoryObjectStore.create();
	readonly entries: WorldEntry[] = [];
	readonly random: RandomSource;
	readonly tasks: WorkerTasks;
	readonly desk: JobClient;
	vms: VmRecord[];
	readonly #options: JobWorldOptions;

	private constructor(options: JobWorldOptions) {
		this.#options = options;
		this.random = SeededRandom.create(options.seed);
		this.vms = Array.from({length: options.workers}, (_, index) => ({...createWorkerRecord('north', index, 1), ...options.worker}));
		this.tasks = WorkerTasks.create({
			clock: this.clock, objects: this.objects, readScript: async start => options.readScript?.(start.taskId) ?? defaultScript,
		});
		this.desk = JobClient.create({
			clock: this.clock, random: this.random, tables: this.tables, objects: this.objects, explainUnplaceable: spec => this.#explainMisfit(spec),
		});
		for (let index = 0; index < (options.entries ?? 1); index++) {
			this.addEntry();
		}
	}

	/** Adds an entry, such as one in place of a killed one. */
	addEntry(): WorldEntry {
		const gate = FreezeGate.create();
		const name = `entry-${this.entries.length + 1}`;
		const tables = new GatedTables(this.tables, gate);
		const tasks = new GatedTasks(MemoryTaskControl.create(this.tasks), gate);
		const duty = JobDuty.create({
			clock: this.clock, random: this.random, tables, holder: name, offlineMs: this.#options.offlineMs ?? 10_000,
		});
		const controller = JobScheduler.create({
			clock: this.clock,
			random: this.random,
			log: Log.createSilent(),
			tables,
			objects: this.objects,
			tasks,
			duty,
			listWorkers: () => this.vms,
			readQuotas: () => new Map(),
			...this.#options.controller,
		});
		const entry = {
			name, gate, duty, controller, busy: new Set<string>(),
		};
		this.entries.push(entry);
		return entry;
	}

	/** The entry that holds the duty now. */
	get holder(): WorldEntry | undefined {
		return this.entries.find(entry => entry.duty.isHeld());
	}

	/** Kills an entry: it is frozen for ever. */
	killEntry(entry: WorldEntry): void {
		entry.gate.freeze();
		this.entries.splice(this.entries.indexOf(entry), 1);
	}

	/** Reboots a worker; the list shows its new incarnation at once. */
	async rebootWorker(vmId: string): Promise<void> {
		await this.tasks.restartWorker(vmId);
		this.vms = this.vms.map(vm => vm.vmId === vmId ? {...vm, incarnation: `${Number(vm.incarnation) + 1}`} : vm);
	}

	/** Submits a job in the present. */
	async submit(spec: Partial<JobSpec> & Pick<JobSpec, 'kind'>, more: Partial<Submission> = {}): Promise<JobRow> {
		return this.desk.submitJob({
			caller: 'caller-1',
			payload: new Uint8Array(),
			...more,
			spec: {
				workClass: 'batch', cores: 1, memoryMb: 1024, accelerators: 0, runMs: 60_000, ...spec,
			},
		});
	}

	/** Lets simulated time pass, with a turn of every entry each quarter of a second. */
	async run(ms: number): Promise<void> {
		for (let passed = 0; passed < ms; passed += stepMs) {
			for (const entry of this.entries) {
				this.#begin(entry, 'duty', async () => entry.duty.refresh());
				this.#begin(entry, 'keep', async () => entry.controller.renewRuns());
				this.#begin(entry, 'turn', async () => entry.controller.runTurn());
			}

			await this.clock.advance(stepMs);
		}
	}

	/** Lets time pass until a condition holds; gives `false` when it doesn't within `limitMs`. */
	async runUntil(condition: () => boolean | Promise<boolean>, limitMs: number): Promise<boolean> {
		for (let passed = 0; passed < limitMs; passed += stepMs) {
			if (await condition()) {
				return true;
			}

			await this.run(stepMs);
		}

		return condition();
	}

	/** Rows of all jobs, past any fault of the platform. */
	async readJobs(): Promise<JobRow[]> {
		this.tables.faults.setFaults({});
		return (await this.tables.listRows(jobTables.jobs)).map(row => row.value as JobRow);
	}

	/** Times at which runs of a job started. */
	listStarts(jobId: string): readonly number[] {
		return this.tasks.history.filter(event => event.type === 'started' && event.taskId === jobId).map(event => event.at);
	}

	#begin(entry: WorldEntry, name: string, run: () => Promise<void>): void {
		if (entry.busy.has(name) || entry.gate.isFrozen) {
			return;
		}

		entry.busy.add(name);
		void (async () => {
			try {
				await run();
			} catch {
				// A turn that failed is followed by the next one.
			} finally {
				entry.busy.delete(name);
			}
		})();
	}

	#explainMisfit(spec: JobSpec): string | undefined {
		const size = {cores: spec.cores, memoryMb: spec.memoryMb, accelerators: spec.accelerators};
		return explainUnplaceable({size, spec, excludedVms: new Set()}, this.vms.map(vm => createPlacementNode(vm)));
	}
}

/** Finds what must never happen in a history: two runs of one job at a time, a second run of a refresh. */
export function checkTaskHistory(tasks: WorkerTasks): string[] {
	const faults: string[] = [];
	const running = new Map<string, string>();
	const refreshed = new Set<string>();
	for (const event of tasks.history.toSorted((a, b) => a.at - b.at)) {
		const run = `${event.vmId} ${event.epoch}`;
		if (event.type === 'started') {
			if (running.has(event.taskId)) {
				faults.push(`${event.taskId} started on ${run} at ${event.at} while ${running.get(event.taskId)} ran`);
			}

			if (event.kind === 'refresh' && refreshed.has(event.taskId)) {
				faults.push(`refresh ${event.taskId} started a second time on ${run}`);
			}

			refreshed.add(event.taskId);
			running.set(event.taskId, run);
		} else if (event.type === 'ended' && running.get(event.taskId) === run) {
			running.delete(event.taskId);
		}
	}

	return faults;
}
