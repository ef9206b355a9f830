/**
 * Random histories of a configuration that grows and shrinks, read by entries over links of different rates, beside faults of the store and
 * restarts of entries. Checks at every step that an entry which takes its configuration for current has one that is.
 */
import {
	Log, ManualClock, SeededRandom, type VmId,
} from '@tamarackwind/core';
import {MemoryTableService, type TableLimits} from '@tamarackwind/clients';
import {
	computeTimings, DeclarationCodec, DeclarationWatcher, copyTable, RateLimitedLog, type Bounds, type Configuration, type Declaration,
} from '@tamarackwind/workflows';
import {LinkedTables} from './linked-tables.js';

const stepMs = 20;
/** Size of a queue of the operator's row in a response, in bytes. */
const bytesPerQueue = 284;
/** Ratio of the size of a row of a copy in a response to the size of its value. */
const copyOverhead = 4 / 3;
/** Time without faults at the end of a history, in milliseconds. */
const settlingMs = 8000;
/** Limits of the store for entries; the operator's row may be larger. */
const limits: TableLimits = {valueBytes: 49_152, transactionBytes: 697_500, transactionEntries: 100};
/** Time for which a request waits for a confirmation, in milliseconds. */
const requestWaitMs = 750;
const millisecondsPerSecond = 1000;

type SizedConfiguration = Configuration & {readonly queueCount: number; readonly filler: readonly string[]};

export type ConfigurationHistoryOptions = {
	readonly seed: number;
	readonly seconds: number;
	readonly bounds: Bounds;
	/** Rates of the entries' links, in bytes per second. */
	readonly linkBytesPerS: readonly number[];
	/** Maximum number of queues. */
	readonly maxQueues: number;
	/** Mean time between two versions, in milliseconds. */
	readonly versionGapMs: number;
	/** Mean time between two faults, in milliseconds; none by default. */
	readonly faultGapMs?: number;
};

export type ConfigurationHistoryResult = {
	readonly violations: readonly string[];
	/** Number of versions that the operator wrote. */
	readonly versions: number;
	/** Bytes of responses to the entries over those of one transfer of each version to each entry. */
	readonly transferRatio: number;
	/** Longest time from the writing of a version until every entry had it or a later one, faults included, in milliseconds. */
	readonly longestApplyMs: number;
};

class HistoryCodec extends DeclarationCodec {
	override readonly table = 'op';
	override readonly configurationKey = 'config';

	override decode(key: string, value: unknown): Declaration {
		return key === this.configurationKey
			? {kind: 'configuration', configuration: value as Configuration}
			: {
				kind: 'wave', wave: {
					id: key, vms: [key as VmId], durationMs: 0, cap: 1,
				},
			};
	}

	override encodeWaveStatus(): never {
		throw new Error('the history has no scheduler');
	}
}

/** An entry that reads the configuration over its link. */
class HistoryEntry {
	static create(index: number, tables: LinkedTables, start: () => DeclarationWatcher): HistoryEntry {
		return new HistoryEntry(index, tables, start);
	}

	watcher: DeclarationWatcher;
	/** Largest version that this incarnation had. */
	largestVersion = -1;

	private constructor(readonly index: number, readonly tables: LinkedTables, private readonly start: () => DeclarationWatcher) {
		this.watcher = start();
	}

	restart(): void {
		this.watcher.close();
		this.watcher = this.start();
		this.largestVersion = -1;
	}
}

/** Plays one history. */
class ConfigurationHistory {
	static create(options: ConfigurationHistoryOptions): ConfigurationHistory {
		return new ConfigurationHistory(options);
	}

	readonly #clock = ManualClock.create();
	readonly #random: SeededRandom;
	readonly #tables = MemoryTableService.create(this.#clock);
	readonly #entries: HistoryEntry[];
	readonly #violations = new Set<string>();
	/** Versions of the operator with the times at which they were written. */
	readonly #versions: Array<{readonly version: number; readonly queues: number; readonly writtenAt: number}> = [];
	readonly #waves: string[] = [];
	#queueCount = 50;
	#longestApplyMs = 0;

	private constructor(private readonly options: ConfigurationHistoryOptions) {
		this.#random = SeededRandom.create(options.seed);
		const log = RateLimitedLog.create(Log.createSilent(), this.#clock);
		const timings = computeTimings(options.bounds);
		this.#entries = options.linkBytesPerS.map((bytesPerS, index) => {
			const tables = LinkedTables.create({
				clock: this.#clock, tables: this.#tables, limits, bytesPerS, measureRow,
			});
			return HistoryEntry.create(index, tables, () => DeclarationWatcher.create({
				clock: this.#clock, tables, codec: new HistoryCodec(), log, timings, copyDelayShare: index / options.linkBytesPerS.length,
			}));
		});
	}

	async play(): Promise<ConfigurationHistoryResult> {
		const {seconds, versionGapMs, faultGapMs} = this.options;
		const endAt = seconds * millisecondsPerSecond;
		await this.#putVersion();
		let nextVersionAt = this.#drawGap(versionGapMs);
		let nextFaultAt = faultGapMs === undefined ? Number.POSITIVE_INFINITY : this.#drawGap(faultGapMs);
		while (this.#clock.readMonotonic() < endAt) {
			const now = this.#clock.readMonotonic();
			if (now >= nextVersionAt) {
				await this.#putVersion();
				nextVersionAt = now + this.#drawGap(versionGapMs);
			}

			if (now >= nextFaultAt) {
				this.#applyFault();
				nextFaultAt = now + this.#drawGap(faultGapMs!);
			}

			await this.#step();
		}

		await this.#settle();
		for (const {watcher} of this.#entries) {
			watcher.close();
		}

		return {
			violations: [...this.#violations], versions: this.#versions.length, transferRatio: this.#computeTransferRatio(), longestApplyMs: this.#longestApplyMs,
		};
	}

	#computeTransferRatio(): number {
		const needed = this.#entries.length * this.#versions.reduce((sum, {queues}) => sum + (queues * bytesPerQueue), 0);
		return this.#entries.reduce((sum, {tables}) => sum + tables.deliveredBytes, 0) / needed;
	}

	#drawGap(meanMs: number): number {
		return 2 * meanMs * this.#random.readFraction();
	}

	async #putVersion(): Promise<void> {
		const draw = this.#random.readFraction();
		const changed = draw < 0.4 ? this.#queueCount + 1400 : (draw < 0.5 ? Math.floor(this.#queueCount / 2) : this.#queueCount + 1);
		this.#queueCount = Math.min(this.options.maxQueues, changed);
		const version = this.#versions.length + 1;
		const configuration: SizedConfiguration = {
			version, queues: [], pools: [], limits: {maxBodyBytes: 1000}, queueCount: this.#queueCount, filler: Array.from({length: this.#queueCount}, () => this.#random.readFraction().toString(36).slice(2)),
		};
		const wave = `wave/${version}`;
		await this.#tables.commit({checks: [], writes: [{table: 'op', key: wave, value: {}}]});
		await this.#tables.commit({checks: [], writes: [{table: 'op', key: 'config', value: configuration}]});
		this.#waves.push(wave);
		this.#versions.push({version, queues: this.#queueCount, writtenAt: this.#clock.readMonotonic()});
	}

	#applyFault(): void {
		const entries = this.#random.readFraction() < 0.4 ? this.#entries : [this.#random.pickItem(this.#entries)!];
		const ms = 300 + (this.#random.readFraction() * 3000);
		const kind = this.#random.pickItem(['down', 'silent', 'slow', 'history', 'restart'] as const)!;
		if (kind === 'history') {
			this.#tables.clearHistory();
			return;
		}

		for (const entry of entries) {
			if (kind === 'restart') {
				entry.restart();
			} else if (kind === 'slow') {
				entry.tables.delayMs = 4 + (this.#random.readFraction() * 1500);
			} else {
				entry.tables.state = kind;
			}

			this.#clock.startTimer(ms, () => {
				entry.tables.state = 'up';
				entry.tables.delayMs = 0;
			});
		}
	}

	async #step(): Promise<void> {
		await this.#clock.advance(stepMs);
		for (const entry of this.#entries) {
			this.#checkEntry(entry);
		}
	}

	#checkEntry(entry: HistoryEntry): void {
		const now = this.#clock.readMonotonic();
		const version = entry.watcher.configuration?.version ?? -1;
		const due = this.#versions.findLast(({writtenAt}) => now - writtenAt > this.options.bounds.configurationMs)?.version ?? -1;
		if (entry.watcher.isFresh && version < due) {
			this.#violations.add(`entry ${entry.index} takes version ${version} for current, and ${due} is due`);
		}

		if (!entry.watcher.isFresh) {
			// As a request would that meets the outdated configuration.
			void entry.watcher.waitForConfirmation(requestWaitMs);
		}

		if (version < entry.largestVersion) {
			this.#violations.add(`entry ${entry.index} goes back from version ${entry.largestVersion} to ${version}`);
		}

		entry.largestVersion = version;
		const missing = this.#versions.find(candidate => candidate.version > version);
		if (missing !== undefined) {
			this.#longestApplyMs = Math.max(this.#longestApplyMs, now - missing.writtenAt);
		}
	}

	async #settle(): Promise<void> {
		for (let elapsedMs = 0; elapsedMs < settlingMs; elapsedMs += stepMs) {
			await this.#step();
		}

		const newest = this.#versions.at(-1)!.version;
		for (const {index, watcher} of this.#entries) {
			if (watcher.configuration?.version !== newest || !watcher.isFresh) {
				this.#violations.add(`entry ${index} has version ${watcher.configuration?.version} at the end, and the newest is ${newest}`);
			}

			const missing = this.#waves.filter(wave => !watcher.waves.has(wave));
			if (missing.length > 0) {
				this.#violations.add(`entry ${index} lacks ${missing.join(', ')} at the end`);
			}
		}
	}
}

/** Plays one history and returns what it broke. */
export async function playConfigurationHistory(options: ConfigurationHistoryOptions): Promise<ConfigurationHistoryResult> {
	return ConfigurationHistory.create(options).play();
}

function measureRow({table, value}: {readonly table: string; readonly value?: unknown}): number {
	if (table === copyTable) {
		return typeof value === 'string' ? value.length * copyOverhead : 0;
	}

	return ((value as Partial<SizedConfiguration> | undefined)?.queueCount ?? 0) * bytesPerQueue;
}
