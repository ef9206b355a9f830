/**
 * Slot demand of the pools: each entry reports its own mean and the planner sums the reports.
 */
import {
	Loop, type Clock, type EntryId, type PoolName,
} from '@tamarackwind/core';
import {type Row, type TableService} from '@tamarackwind/clients';
import {type Demand} from './rebalance-planners.js';
import {fleetTables} from './rows.js';

/** Value of an entry's row: mean number of slots in use or waited for, by pool. */
export type DemandRow = {readonly pools: Readonly<Record<string, number>>};

/** Source of the demand that the planner uses. */
export abstract class DemandSource {
	/** Reads the demand summed over all entries. */
	abstract readDemand(): Promise<Demand>;
}

export type DemandReporterOptions = {
	readonly clock: Clock;
	readonly tables: TableService;
	readonly entryId: EntryId;
	/** Counts the slots that this entry currently uses or waits for. */
	readonly countSlots: () => ReadonlyMap<PoolName, number>;
	readonly onError: (error: unknown) => void;
	readonly reportIntervalMs?: number;
};

const sampleIntervalMs = 1000;
const defaultReportIntervalMs = 30_000;
const timeConstantMs = 300_000;

/** An exponential moving average over irregular samples. */
export class ExponentialMovingAverage {
	/** Creates an average with a time constant of `timeConstantMs` milliseconds. */
	static create(timeConstantMs: number): ExponentialMovingAverage {
		return new ExponentialMovingAverage(timeConstantMs);
	}

	readonly #timeConstantMs: number;
	#value = 0;
	#at: number | undefined;

	private constructor(timeConstantMs: number) {
		this.#timeConstantMs = timeConstantMs;
	}

	get value(): number {
		return this.#value;
	}

	/** Adds the value observed since the last sample; `now` is in milliseconds. */
	addSample(sample: number, now: number): void {
		const weight = this.#at === undefined ? 0 : 1 - Math.exp((this.#at - now) / this.#timeConstantMs);
		this.#value += (sample - this.#value) * weight;
		this.#at = now;
	}
}

/** Samples this entry's demand and writes its mean to the entry's row every `reportIntervalMs` milliseconds. */
export class DemandReporter {
	static create(options: DemandReporterOptions): DemandReporter {
		return new DemandReporter(options);
	}

	readonly #options: DemandReporterOptions;
	readonly #means = new Map<PoolName, ExponentialMovingAverage>();
	readonly #loop: Loop;
	#reportedAt = Number.NEGATIVE_INFINITY;

	private constructor(options: DemandReporterOptions) {
		this.#options = options;
		this.#loop = Loop.create({
			clock: options.clock, intervalMs: sampleIntervalMs, run: async () => this.#runTurn(), onError: options.onError,
		});
	}

	async close(): Promise<void> {
		await this.#loop.close();
	}

	async #runTurn(): Promise<void> {
		const {clock, countSlots, reportIntervalMs = defaultReportIntervalMs} = this.#options;
		const now = clock.readMonotonic();
		const slots = countSlots();
		for (const pool of new Set([...slots.keys(), ...this.#means.keys()])) {
			const mean = this.#means.get(pool) ?? ExponentialMovingAverage.create(timeConstantMs);
			this.#means.set(pool, mean);
			mean.addSample(slots.get(pool) ?? 0, now);
		}

		if (now - this.#reportedAt >= reportIntervalMs) {
			this.#reportedAt = now;
			await this.#report();
		}
	}

	async #report(): Promise<void> {
		const {tables, entryId} = this.#options;
		const value: DemandRow = {pools: Object.fromEntries([...this.#means].map(([pool, mean]) => [pool, mean.value]))};
		await tables.commit({checks: [], writes: [{table: fleetTables.demand, key: entryId, value}]});
	}
}

const reportTtlMs = 4 * defaultReportIntervalMs;
const readIntervalMs = 15_000;

/** Sums the rows of the entries and ignores rows that are no longer renewed. */
export class TableDemandSource extends DemandSource {
	static create(clock: Clock, tables: TableService): TableDemandSource {
		return new TableDemandSource(clock, tables);
	}

	readonly #clock: Clock;
	readonly #tables: TableService;
	readonly #lastSeenVersions = new Map<string, {readonly version: number; readonly at: number}>();
	#demand: Demand = new Map();
	#readAt = Number.NEGATIVE_INFINITY;

	private constructor(clock: Clock, tables: TableService) {
		super();
		this.#clock = clock;
		this.#tables = tables;
	}

	override async readDemand(): Promise<Demand> {
		const now = this.#clock.readMonotonic();
		if (now - this.#readAt >= readIntervalMs) {
			const rows = await this.#tables.listRows(fleetTables.demand) as Array<Row<DemandRow>>;
			this.#readAt = now;
			this.#demand = sumDemand(rows.filter(row => this.#isRenewed(row, now)));
		}

		return this.#demand;
	}

	#isRenewed({key, version}: Row, now: number): boolean {
		const seen = this.#lastSeenVersions.get(key);
		if (seen?.version !== version) {
			this.#lastSeenVersions.set(key, {version, at: now});
			return true;
		}

		return now - seen.at < reportTtlMs;
	}
}

function sumDemand(rows: ReadonlyArray<Row<DemandRow>>): Demand {
	const demand = new Map<PoolName, number>();
	for (const [name, slots] of rows.flatMap(row => Object.entries(row.value.pools))) {
		const pool = name as PoolName;
		demand.set(pool, (demand.get(pool) ?? 0) + slots);
	}

	return demand;
}
