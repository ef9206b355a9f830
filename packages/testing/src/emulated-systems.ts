/**
 * The emulator of the whole system: several entries with the real scheduling and recovery code, emulated tables and workers,
 * one seed, simulated time, and faults.
 */
import {
	Log, SeededRandom, VerdictError, type JobId, type PoolName, type ServiceName, type VmId,
} from '@tamarackwind/core';
import {
	MemoryTableService, WatchableTableService, type CommitOutcome, type RangeOptions, type Row, type RowKey, type RowRange, type ScanOptions, type Transaction, type WatchOptions,
	type WatchOutcome,
} from '@tamarackwind/clients';
import {type StepSpec} from '@tamarackwind/scheduling';
import {
	RateLimitedLog, DeclarationCodec, JobSubmitter, JobQueries, DeclarationWatcher, PlacementAdvisor, Scheduler, type Configuration, type Declaration, type Job, type PlacementAdvice,
	type WaveRequest,
} from '@tamarackwind/workflows';
import {
	EmulatedFleet, EmulatedFleetControl, EmulatedRegistry, EmulatedWorkerControl, sparePool,
} from './emulated-workers.js';
import {SimulatedClock} from './simulated-clocks.js';

/** Faults of the tables as one entry meets them. */
export type TableFaults = {
	/** Calls fail without an effect. */
	isDown: boolean;
	/** Calls get no answer for as long. */
	isSilent: boolean;
	/** Chance that a write takes effect and its answer is lost. */
	lostAnswer: number;
	/** Chance that a write is not answered and takes effect seconds later, if its conditions still hold. */
	late: number;
	/** Delay of each call in milliseconds. */
	delayMs: number;
};

const callMs = 4;
const timeoutMs = 1000;

/** The tables as one entry reaches them. */
class FaultyTables extends WatchableTableService {
	readonly faults: TableFaults = {
		isDown: false, isSilent: false, lostAnswer: 0, late: 0, delayMs: 0,
	};

	/** Set when the entry was killed: its calls never return. */
	isDead = false;

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
		return this.#call(async () => {
			const dice = this.random.readFraction();
			if (dice < this.faults.late) {
				this.clock.schedule(1000 + (this.random.readFraction() * 5000), () => {
					void this.tables.commit(transaction);
				});
				await this.clock.sleep(timeoutMs);
				throw new VerdictError('no answer', {verdict: 'may-have-run', code: 'platform_unavailable'});
			}

			const outcome = await this.tables.commit(transaction);
			if (dice < this.faults.late + this.faults.lostAnswer) {
				await this.clock.sleep(timeoutMs);
				throw new VerdictError('no answer', {verdict: 'may-have-run', code: 'platform_unavailable'});
			}

			return outcome;
		});
	}

	override async close(): Promise<void> {}

	async #call<T>(act: () => Promise<T>): Promise<T> {
		await this.clock.sleep(callMs + this.faults.delayMs);
		await this.#checkFaults();
		const result = await act();
		await this.#checkFaults();
		return result;
	}

	async #checkFaults(): Promise<void> {
		if (this.isDead) {
			await new Promise(() => {});
		}

		if (this.faults.isSilent) {
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

	override decode(key: string, value: unknown): Declaration {
		return key === 'config' ? {kind: 'configuration', configuration: value as Configuration} : {kind: 'wave', wave: value as WaveRequest};
	}

	override encodeWaveStatus(wave: WaveRequest, state: 'running' | 'succeeded'): {table: string; key: string; value: unknown} {
		return {table: 'status', key: wave.id, value: {state}};
	}
}

class SilentAdvisor extends PlacementAdvisor {
	override async requestTickets(): Promise<PlacementAdvice> {
		return {tickets: new Map(), validMs: 0};
	}
}

/** One emulated entry. */
export type EmulatedEntry = {readonly name: string; readonly tables: FaultyTables; readonly scheduler: Scheduler; readonly intake: JobSubmitter; readonly queries: JobQueries; readonly watch: DeclarationWatcher};

export type EmulatedSystemOptions = {
	readonly seed: number;
	readonly entries?: number;
	readonly pools?: ReadonlyArray<readonly [string, number]>;
	/** Where log lines go; nowhere by default. */
	readonly write?: (line: string) => void;
};

const defaultPools: ReadonlyArray<readonly [string, number]> = [['north', 3], ['south', 3], [sparePool, 3]];
const retentionMs = 120_000;

/** Entries, tables and workers of one history. */
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
	readonly #options: EmulatedSystemOptions;
	readonly #pools: ReadonlyArray<readonly [string, number]>;
	#entries: EmulatedEntry[] = [];
	#entryCount = 0;

	private constructor(options: EmulatedSystemOptions) {
		this.#options = options;
		this.#pools = options.pools ?? defaultPools;
		this.random = SeededRandom.create(options.seed);
		this.tables = MemoryTableService.create(this.clock);
		this.fleet = EmulatedFleet.create({clock: this.clock, random: this.random, pools: this.#pools.map(([name, count]) => [name as PoolName, count])});
	}

	get entries(): readonly EmulatedEntry[] {
		return this.#entries;
	}

	get holder(): EmulatedEntry | undefined {
		return this.#entries.find(({scheduler}) => scheduler.isHeld);
	}

	/** Kills an entry without notice. */
	killEntry(entry: EmulatedEntry): void {
		entry.tables.isDead = true;
		entry.watch.close();
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
		const watch = DeclarationWatcher.create({
			clock, tables, codec, log,
		});
		const entry = {
			name,
			tables,
			watch,
			intake: JobSubmitter.create({clock, tables, log}),
			queries: JobQueries.create(tables),
			scheduler: Scheduler.create({
				clock,
				random: this.random,
				tables,
				operator: watch,
				codec,
				registry: EmulatedRegistry.create(fleet, clock),
				control: EmulatedWorkerControl.create(fleet, clock),
				advisor: new SilentAdvisor(),
				fleet: EmulatedFleetControl.create(fleet),
				log,
				holder: name,
				cores: 1,
				retentionMs,
				fleetLeaseMs: 3000,
				returnMs: 2000,
				fleetOrdersPerS: 32,
				maxLeaseMs: 10_000,
			}),
		};
		this.#entries.push(entry);
		return entry;
	}

	/** Submits a job at an entry as a client would, again at others until it is accepted or surely refused. */
	async submit(steps: readonly StepSpec[], durationMs: number, failingTasks: ReadonlySet<string> = new Set()): Promise<JobId> {
		const id = this.random.createToken().slice(0, 16) as JobId;
		const service = this.random.pickItem(this.#pools.filter(([name]) => name !== sparePool))![0] as ServiceName;
		const job: Job = {
			id,
			service,
			queue: service,
			payload: '',
			steps,
			submittedAt: this.clock.readWall(),
			policy: {
				priority: 0, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600,
			},
		};
		this.fleet.jobs.set(id, {job, durationMs, failingTasks});
		let isRefusedOnly = true;
		for (let attempt = 0; attempt < 5; attempt++) {
			const outcome = await this.#trySubmit(job);
			if (outcome === 'accepted') {
				this.accepted.set(id, job);
				return id;
			}

			isRefusedOnly &&= outcome === 'refused';
			await this.clock.sleep(300);
		}

		if (isRefusedOnly) {
			this.fleet.refused.add(id);
		}

		return id;
	}

	/** Cancels a job; notes the time of the acknowledgement. */
	async cancel(id: JobId): Promise<void> {
		const job = this.accepted.get(id);
		const entry = this.random.pickItem(this.#entries);
		if (job !== undefined && entry !== undefined) {
			try {
				this.cancelled.add(id);
				this.fleet.cancelSent.add(id);
				if (await entry.intake.cancel(job.service, id)) {
					this.fleet.cancelledAt.set(id, this.clock.readMonotonic());
				}
			} catch {
				// The client does not know; nothing is promised.
			}
		}
	}

	/** Asks for a wave over some VMs. */
	async startWave(id: string, vms: readonly VmId[], cap: number): Promise<void> {
		const wave: WaveRequest = {
			id, vms, cap, durationMs: 20_000,
		};
		await this.tables.commit({checks: [], writes: [{table: 'op', key: `wave/${id}`, value: wave}]});
	}

	/** Reads the state of a job as a client would. */
	async getState(id: JobId): Promise<string | undefined> {
		return this.#entries[0]!.queries.getState([this.fleet.jobs.get(id)!.job.service], id);
	}

	async #trySubmit(job: Job): Promise<string> {
		const entry = this.random.pickItem(this.#entries);
		return entry === undefined
			? 'unknown'
			: Promise.race([entry.intake.submit(job), (async () => {
				await this.clock.sleep(3000);
				return 'unknown';
			})()]);
	}

	async #start(): Promise<void> {
		const configuration: Configuration = {
			version: 1, queues: [], pools: this.#pools.map(([name]) => ({name: name as ServiceName, isSpare: name === sparePool})), limits: {maxBodyBytes: 1_000_000},
		};
		await this.tables.commit({checks: [], writes: [{table: 'op', key: 'config', value: configuration}]});
		for (let index = 0; index < (this.#options.entries ?? 3); index++) {
			this.startEntry();
		}
	}
}
