/**
 * Demand of the pools: each entry reports its own mean, the planner sums them.
 */
import {
	Loop, type Clock, type EntryId, type PoolName,
} from '@tamarackwind/core';
import {type Row, type TableService} from '@tamarackwind/clients';
import {type Demand} from './needs.js';
import {fleetTables} from './rows.js';

/** Value of an entry's row: mean slots in use or waited for, by pool. */
export type DemandRow = {readonly pools: Readonly<Record<string, number>>};

/** Where the planner learns what the pools need. */
export abstract class DemandSource {
	/** Reads the demand summed over all entries. */
	abstract readDemand(): Promise<Demand>;
}

export type DemandReporterOptions = {
	readonly clock: Clock;
	readonly tables: TableService;
	readonly entryId: EntryId;
	/** Counts the slots that this entry uses or waits for now. */
	readonly countSlots: () => ReadonlyMap<PoolName, number>;
	readonly onError: (error: unknown) => void;
	readonly reportIntervalMs?: number;
};

const sampleIntervalMs = 1000;
const defaultReportIntervalMs = 30_000;
const meanTimeMs = 300_000;

/** An exponentially weighted mean over time. */
export class SlidingMean {
	/** Creates a mean that forgets over `timeMs` milliseconds. */
	static create(timeMs: number): SlidingMean {
		return new SlidingMean(timeMs);
	}

	readonly #timeMs: number;
	#value = 0;
	#at: number | undefined;

	private constructor(timeMs: number) {
		this.#timeMs = timeMs;
	}

	get value(): number {
		return this.#value;
	}

	/** Adds what was seen since the last sample. */
	addSample(sample: number, now: number): void {
		const weight = this.#at === undefined ? 0 : 1 - Math.exp((this.#at - now) / this.#timeMs);
		this.#value += (sample - this.#value) * weight;
		this.#at = now;
	}
}

/** Reports this entry's demand at a low rate. */
export class DemandReporter {
	static create(options: DemandReporterOptions): DemandReporter {
		return new DemandReporter(options);
	}

	readonly #options: DemandReporterOptions;
	readonly #means = new Map<PoolName, SlidingMean>();
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
			const mean = this.#means.get(pool) ?? SlidingMean.create(meanTimeMs);
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

const reportLifetimeMs = 4 * defaultReportIntervalMs;
const readIntervalMs = 15_000;

/** Sums the rows of the entries; a row that is no longer renewed does not count. */
export class ReportedDemand extends DemandSource {
	static create(clock: Clock, tables: TableService): ReportedDemand {
		return new ReportedDemand(clock, tables);
	}

	readonly #clock: Clock;
	readonly #tables: TableService;
	readonly #seen = new Map<string, {readonly version: number; readonly at: number}>();
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
		const seen = this.#seen.get(key);
		if (seen?.version !== version) {
			this.#seen.set(key, {version, at: now});
			return true;
		}

		return now - seen.at < reportLifetimeMs;
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
