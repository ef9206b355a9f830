/**
 * Emulates the whole system in simulated time: several entries run the real scheduling and recovery code on emulated tables and
 * workers, with injected faults and one random seed.
 */
import {
	Log, SeededRandom, VerdictError, type AccountName, type JobId, type PoolName, type ServiceName, type VmId,
} from '@tamarackwind/core';
import {
	MemoryTableService, WatchableTableService, type CommitOutcome, type RangeOptions, type Row, type RowKey, type RowRange, type ScanOptions, type TableLimits, type Transaction, type WatchOptions,
	type WatchOutcome,
} from '@tamarackwind/clients';
import {type StepSpec} from '@tamarackwind/scheduling';
import {
	defaultBounds, defaultOverloadSettings, computeTimings, LoadMeter, RateLimitedLog, DeclarationCodec, JobSubmitter, JobQueries, DeclarationWatcher, PlacementAdvisor, progressTable, OverloadPolicy, Scheduler, SubmissionGate, UncheckedPrincipal, type Bounds, type ClientAccount, type Configuration, type Declaration, type Job, type OverloadSettings, type PlacementAdvice, type RefusalReason, type Schedule,
	type WaveRequest,
} from '@tamarackwind/workflows';
import {
	EmulatedFleet, EmulatedFleetControl, EmulatedRegistry, EmulatedWorkerControl, sparePool, type EmulatedJob,
} from './emulated-workers.js';
import {SimulatedClock} from './simulated-clocks.js';

/** Faults of one entry's access to the tables. */
export type TableFaults = {
	/** Whether calls fail without an effect. */
	isDown: boolean;
	/** Whether calls time out. A call that times out may have taken effect. */
	isUnresponsive: boolean;
	/** Probability that a write takes effect but its response is lost. */
	lostResponseRate: number;
	/** Probability that a write times out and takes effect seconds later, if its conditions still hold. */
	lateRate: number;
	/** Delay of each call in milliseconds. */
	delayMs: number;
	/** Further delay of transactions of progress, whose partitions are busy, in milliseconds. */
	progressDelayMs: number;
};

/** Limits of the emulated store. */
const storeLimits: TableLimits = {valueBytes: 49_152, transactionBytes: 690_000, transactionEntries: 100};
const callDelayMs = 4;
/** Principal of all requests, since the emulated configuration has no accounts. */
const unchecked = UncheckedPrincipal.create();
const timeoutMs = 1000;
/** Time for which a client waits for an answer, in milliseconds. */
const clientTimeoutMs = 3000;
const maxCancelAttempts = 12;
const cancelRetryMs = 300;
/** Longest time after which a network repeats a request, in milliseconds. */
const maxRepeatDelayMs = 6000;

/** Injects faults into one entry's calls of the tables. */
class FaultyTables extends WatchableTableService {
	override get limits(): TableLimits {
		return this.tables.limits;
	}

	readonly faults: TableFaults = {
		isDown: false, isUnresponsive: false, lostResponseRate: 0, lateRate: 0, delayMs: 0, progressDelayMs: 0,
	};

	/** Whether the entry was killed; its calls then never return. */
	isKilled = false;

	constructor(private readonly tables: MemoryTableService, private readonly clock: SimulatedClock, private readonly random: SeededRandom) {
		super();
	}

	override async getRows(keys: readonly RowKey[]): Promise<Array<Row | undefined>> {
		return this.#call(async () => this.tables.getRows(keys));
	}

	override async scanRows(table: string, options?: ScanOptions): Promise<Row[]> {
		return this.#call(async () => this.tables.scanRows(table, options));
	}

	override async readRange(table: string, options?: RangeOptions): Promise<RowRange> {
		return this.#call(async () => this.tables.readRange(table, options));
	}

	override async watchRows(table: string, options: WatchOptions): Promise<WatchOutcome> {
		return this.#call(async () => this.tables.watchRows(table, options));
	}

	override async commit(transaction: Transaction): Promise<CommitOutcome> {
		const delayMs = transaction.writes.some(({table}) => table === progressTable) ? this.faults.progressDelayMs : 0;
		return this.#call(async () => {
			await this.clock.sleep(delayMs);
			const draw = this.random.readFraction();
			if (draw < this.faults.lateRate) {
				this.clock.schedule(1000 + (this.random.readFraction() * 5000), () => {
					void this.tables.commit(transaction);
				});
				await this.clock.sleep(timeoutMs);
				throw new VerdictError('no answer', {verdict: 'may-have-run', code: 'platform_unavailable'});
			}

			const outcome = await this.tables.commit(transaction);
			if (draw < this.faults.lateRate + this.faults.lostResponseRate) {
				await this.clock.sleep(timeoutMs);
				throw new VerdictError('no answer', {verdict: 'may-have-run', code: 'platform_unavailable'});
			}

			return outcome;
		});
	}

	override async close(): Promise<void> {}

	async #call<T>(run: () => Promise<T>): Promise<T> {
		await this.clock.sleep(callDelayMs + this.faults.delayMs);
		await this.#checkFaults();
		const result = await run();
		await this.#checkFaults();
		return result;
	}

	async #checkFaults(): Promise<void> {
		if (this.isKilled) {
			await new Promise(() => {});
		}

		if (this.faults.isUnresponsive) {
			await this.clock.sleep(timeoutMs);
			throw new VerdictError('no answer', {verdict: 'may-have-run', code: 'platform_unavailable'});
		}

		if (this.faults.isDown) {
			throw new VerdictError('platform is down', {verdict: 'not-run', code: 'platform_unavailable'});
		}
	}
}

class EmulatedCodec extends DeclarationCodec {
	override readonly table = 'op';
	override readonly configurationKey = 'config';

	override decode(key: string, value: unknown): Declaration {
		return key === 'config' ? {kind: 'configuration', configuration: value as Configuration} : {kind: 'wave', wave: value as WaveRequest};
	}

	override encodeWaveStatus(wave: WaveRequest, state: 'running' | 'succeeded'): {table: string; key: string; value: unknown} {
		return {table: 'status', key: wave.id, value: {state}};
	}
}

class EmptyAdvisor extends PlacementAdvisor {
	override async requestTickets(): Promise<PlacementAdvice> {
		return {tickets: new Map(), validMs: 0};
	}
}

export type SubmitOptions = Partial<Pick<EmulatedJob, 'failingTasks' | 'crashingTasks'>> & Partial<Pick<Job, 'account'>> & {
	/** Recurrence of the job, with the first due time relative to the submission. */
	readonly schedule?: Schedule;
	/** Pool of the job; a random one by default. */
	readonly pool?: string;
};

/** One emulated entry. */
export type EmulatedEntry = {readonly name: string; readonly tables: FaultyTables; readonly scheduler: Scheduler; readonly submitter: JobSubmitter; readonly queries: JobQueries; readonly gate: SubmissionGate; readonly watcher: DeclarationWatcher};

export type EmulatedSystemOptions = {
	readonly seed: number;
	readonly entries?: number;
	readonly pools?: ReadonlyArray<readonly [string, number]>;
	/** Client accounts of the first configuration; none by default. */
	readonly accounts?: readonly ClientAccount[];
	/** Bounds of the deployment, which the workers enforce. */
	readonly bounds?: Bounds;
	/** Whether workers refuse starts for which they have no capacity; `true` by default. */
	readonly enforcesCapacity?: boolean;
	/** Measures the activities of all entries; by default in simulated time, in which they take none. */
	readonly meter?: LoadMeter;
	/** What entries do when the capacity of a pool is insufficient; by default nothing without accounts. */
	readonly overload?: Partial<OverloadSettings>;
	/** Parts of the configuration that differ from the default. */
	readonly configuration?: Partial<Configuration>;
	/** Receives the log lines; they are discarded by default. */
	readonly write?: (line: string) => void;
};

const defaultPools: ReadonlyArray<readonly [string, number]> = [['north', 3], ['south', 3], [sparePool, 3]];
const retentionMs = 120_000;

/** Holds the entries, tables and workers of one emulated system. */
export class EmulatedSystem {
	static async create(options: EmulatedSystemOptions): Promise<EmulatedSystem> {
		const system = new EmulatedSystem(options);
		await system.#start();
		return system;
	}

	readonly clock = SimulatedClock.create(1_000_000);
	readonly random: SeededRandom;
	readonly fleet: EmulatedFleet;
	readonly tables: MemoryTableService;
	readonly accepted = new Map<JobId, Job>();
	readonly cancelled = new Set<JobId>();
	/** Jobs whose callers have left and cancelled them, whether or not they were accepted. */
	readonly abandoned = new Set<JobId>();
	/** Number of submissions that entries refused, by reason. */
	readonly refusals = new Map<RefusalReason, number>();
	/** Actual ends of jobs less their estimates. */
	readonly estimateErrorsMs: number[] = [];
	readonly #options: EmulatedSystemOptions;
	readonly #pools: ReadonlyArray<readonly [string, number]>;
	#entries: EmulatedEntry[] = [];
	#entryCount = 0;
	/** Version of the configuration. */
	#version = 0;

	private constructor(options: EmulatedSystemOptions) {
		this.#options = options;
		this.#pools = options.pools ?? defaultPools;
		this.random = SeededRandom.create(options.seed);
		this.tables = MemoryTableService.create(this.clock, storeLimits);
		this.fleet = EmulatedFleet.create({
			clock: this.clock, random: this.random, pools: this.#pools.map(([name, count]) => [name as PoolName, count]), bounds: options.bounds, enforcesCapacity: options.enforcesCapacity,
		});
	}

	get entries(): readonly EmulatedEntry[] {
		return this.#entries;
	}

	get holder(): EmulatedEntry | undefined {
		return this.#entries.find(({scheduler}) => scheduler.isHeld);
	}

	/** Kills an entry without notice. */
	killEntry(entry: EmulatedEntry): void {
		entry.tables.isKilled = true;
		entry.watcher.close();
		for (const pool of entry.scheduler.pools) {
			pool.close();
		}

		this.#entries = this.#entries.filter(other => other !== entry);
	}

	startEntry(): EmulatedEntry {
		this.#entryCount++;
		const {clock, fleet} = this;
		const name = `entry-${this.#entryCount}`;
		const tables = new FaultyTables(this.tables, clock, this.random);
		const log = RateLimitedLog.create(this.#options.write === undefined ? Log.createSilent() : Log.create({format: 'json', fields: {entry: name}, write: this.#options.write}), clock);
		const codec = new EmulatedCodec();
		const bounds = this.#options.bounds ?? defaultBounds;
		const timings = computeTimings(bounds);
		const watcher = DeclarationWatcher.create({
			clock, tables, codec, log, timings,
		});
		const policy = OverloadPolicy.create({getSettings: () => ({...defaultOverloadSettings, ...this.#options.overload}), getConfiguration: () => watcher.configuration});
		const submitter = JobSubmitter.create({clock, tables, log});
		const queries = JobQueries.create(tables);
		const entry: EmulatedEntry = {
			name,
			tables,
			watcher,
			submitter,
			queries,
			gate: SubmissionGate.create({
				clock, policy, submitter, queries, getOverload: () => entry.scheduler.overload,
			}),
			scheduler: Scheduler.create({
				clock,
				random: this.random,
				tables,
				declarations: watcher,
				codec,
				registry: EmulatedRegistry.create(fleet, clock),
				control: EmulatedWorkerControl.create(fleet, clock),
				advisor: new EmptyAdvisor(),
				fleet: EmulatedFleetControl.create(fleet),
				log,
				meter: this.#options.meter ?? LoadMeter.create(clock),
				holder: name,
				cores: 1,
				retentionMs,
				fleetOrdersPerS: 32,
				bounds,
				timings,
				overloadPolicy: policy,
				onEstimateError: errorMs => {
					this.estimateErrorsMs.push(errorMs);
				},
			}),
		};
		this.#entries.push(entry);
		return entry;
	}

	/** Submits a job to random entries as a client does, in at most 5 attempts; marks it as refused if every attempt was refused. */
	async submit(steps: readonly StepSpec[], durationMs: number, options: SubmitOptions = {}): Promise<JobId> {
		const job = this.#createJob(steps, durationMs, options);
		const {id} = job;
		let hasOnlyRefusals = true;
		for (let attempt = 0; attempt < 5; attempt++) {
			const outcome = await this.#trySubmit(job);
			if (outcome === 'accepted') {
				this.accepted.set(id, job);
				return id;
			}

			hasOnlyRefusals &&= outcome === 'refused';
			await this.clock.sleep(300);
		}

		if (hasOnlyRefusals) {
			this.fleet.refused.add(id);
		}

		return id;
	}

	/**
	 * Submits a job as a client does that leaves before it has an answer, and cancels the job until that is acknowledged; resolves then. The job is
	 * submitted once more afterwards, as a network does that repeats a request.
	 */
	async submitAndLeave(steps: readonly StepSpec[], durationMs: number, leaveMs: number): Promise<JobId> {
		const job = this.#createJob(steps, durationMs, {});
		this.abandoned.add(job.id);
		void this.#trySubmit(job);
		await this.clock.sleep(leaveMs);
		this.fleet.cancelRequested.add(job.id);
		for (let attempt = 0; attempt < maxCancelAttempts && !this.fleet.cancelledAt.has(job.id); attempt++) {
			const entry = this.random.pickItem(this.#entries);
			const outcome = entry === undefined ? 'unknown' : await this.#tryCancel(entry, job.id);
			if (outcome === 'cancelled' || outcome === 'absent') {
				this.fleet.cancelledAt.set(job.id, this.clock.readMonotonic());
			} else {
				await this.clock.sleep(cancelRetryMs);
			}
		}

		await this.clock.sleep(this.random.readFraction() * maxRepeatDelayMs);
		void this.#trySubmit(job);
		return job.id;
	}

	/** Repeats the submission of a job at an entry whose configuration sends the queue to the given service; resolves to the outcome. */
	async repeatSubmission(id: JobId, service: string, entry: EmulatedEntry): Promise<string> {
		const {job} = this.fleet.jobs.get(id)!;
		return entry.submitter.submit({...job, service: service as ServiceName, queue: service}, unchecked);
	}

	/** Cancels a job and records the time of the acknowledgement. */
	async cancel(id: JobId): Promise<void> {
		const job = this.accepted.get(id);
		const entry = this.random.pickItem(this.#entries);
		if (job !== undefined && entry !== undefined) {
			try {
				this.cancelled.add(id);
				this.fleet.cancelRequested.add(id);
				if (await entry.submitter.cancel(id, unchecked) === 'cancelled') {
					this.fleet.cancelledAt.set(id, this.clock.readMonotonic());
				}
			} catch {
				// The outcome is unknown to the client, so nothing is guaranteed.
			}
		}
	}

	/** Declares a wave over the given VMs. */
	async startWave(id: string, vms: readonly VmId[], cap: number): Promise<void> {
		const wave: WaveRequest = {
			id, vms, cap, durationMs: 20_000,
		};
		await this.tables.commit({checks: [], writes: [{table: 'op', key: `wave/${id}`, value: wave}]});
	}

	/** Reads the state of a job as a client does. */
	async getState(id: JobId): Promise<string | undefined> {
		const status = await this.#entries[0]!.queries.getStatus(this.fleet.jobs.get(id)!.job.service, id);
		return status?.state;
	}

	/** Creates a job and registers it with the workers. */
	#createJob(steps: readonly StepSpec[], durationMs: number, {failingTasks = new Set(), crashingTasks = new Set(), schedule, account, pool}: SubmitOptions): Job {
		// The id is drawn before the service, so that known seeds go on playing the same histories.
		const id = this.random.createToken().slice(0, 16) as JobId;
		const service = (pool ?? this.random.pickItem(this.#pools.filter(([name]) => name !== sparePool))![0]) as ServiceName;
		const job: Job = {
			id,
			service,
			queue: service,
			payload: '',
			steps,
			...(schedule === undefined ? {} : {schedule: {...schedule, firstAt: this.clock.readWall() + schedule.firstAt}}),
			submittedAt: this.clock.readWall(),
			...(account === undefined ? {} : {account}),
			policy: {
				priority: 0, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600,
			},
		};
		this.fleet.jobs.set(job.id, {
			job, durationMs, failingTasks, crashingTasks,
		});
		return job;
	}

	/** Sends one cancellation as a client does, which waits 3 s for the answer. */
	async #tryCancel(entry: EmulatedEntry, id: JobId): Promise<string> {
		const cancel = async (): Promise<string> => {
			try {
				return await entry.submitter.cancel(id, unchecked);
			} catch {
				// The outcome is unknown to the client.
				return 'unknown';
			}
		};

		const expire = async (): Promise<string> => {
			await this.clock.sleep(clientTimeoutMs);
			return 'unknown';
		};

		return Promise.race([cancel(), expire()]);
	}

	async #trySubmit(job: Job): Promise<string> {
		const entry = this.random.pickItem(this.#entries);
		if (entry !== undefined && this.#canRefuse && await this.#isRefused(entry, job)) {
			return 'refused';
		}

		return entry === undefined
			? 'unknown'
			: Promise.race([entry.submitter.submit(job, unchecked), (async () => {
				await this.clock.sleep(clientTimeoutMs);
				return 'unknown';
			})()]);
	}

	get #canRefuse(): boolean {
		const {overload, configuration} = this.#options;
		return overload !== undefined || configuration?.accounts !== undefined;
	}

	async #isRefused({gate}: EmulatedEntry, job: Job): Promise<boolean> {
		const refusal = await gate.findRefusal(job);
		if (refusal !== undefined) {
			this.refusals.set(refusal.reason, (this.refusals.get(refusal.reason) ?? 0) + 1);
		}

		return refusal !== undefined;
	}

	/** Declares the next version of the configuration, with the given accounts. */
	async configureAccounts(accounts: readonly ClientAccount[] | undefined): Promise<void> {
		this.#version++;
		const configuration: Configuration = {
			version: this.#version,
			queues: [],
			pools: this.#pools.map(([name]) => ({name: name as ServiceName, isSpare: name === sparePool})),
			limits: {maxBodyBytes: 1_000_000},
			...(accounts === undefined ? {} : {accounts}),
			...this.#options.configuration,
		};
		this.fleet.caps.setAccounts(accounts ?? [], this.clock.readMonotonic());
		await this.tables.commit({checks: [], writes: [{table: 'op', key: 'config', value: configuration}]});
	}

	async #start(): Promise<void> {
		await this.configureAccounts(this.#options.accounts);
		for (let index = 0; index < (this.#options.entries ?? 3); index++) {
			this.startEntry();
		}
	}
}
