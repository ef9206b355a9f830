/**
 * Watches the operator's declarations: the waves and the newest configuration. An older configuration never replaces a newer one.
 */
import {readErrorMessage, waitAtMost, type Clock} from '@tamarackwind/core';
import {type Row, type WatchableTableService, type WatchOutcome} from '@tamarackwind/clients';
import {AccountDirectory} from './account-directories.js';
import {type Configuration, type Queue, type WaveRequest} from './configurations.js';
import {DeclarationReader, immediateWatchMs, type DeclarationOutcome} from './declaration-readers.js';
import {QueueIndex} from './queue-indexes.js';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {declarationRetryMs, minDeclarationWatchMs, type Timings} from './timings.js';

/** Time by which two watches together end before the configuration counts as stale, in milliseconds. */
const watchMarginMs = 50;
/** Failed attempts in a row from which the store counts as out of reach. A single one may be a lost answer, or a time-out that ended while the process was paused. */
const unreachableAttempts = 2;
/** Maximum number of requests that wait for a confirmation. */
export const maxConfirmationWaits = 1024;

/** A decoded row of the operator. */
export type Declaration
	= | {readonly kind: 'configuration'; readonly configuration: Configuration}
		| {readonly kind: 'wave'; readonly wave: WaveRequest}
		| {readonly kind: 'other'};

/** Decodes rows that the operator writes, and encodes the status of waves. */
export abstract class DeclarationCodec {
	/** Table of the operator's rows. */
	abstract readonly table: string;
	/** Key of the configuration in that table. */
	abstract readonly configurationKey: string;
	/** Decodes a row; throws when it is invalid. */
	abstract decode(key: string, value: unknown): Declaration;
	/** Encodes the row that reports the state of a wave. */
	abstract encodeWaveStatus(wave: WaveRequest, state: 'running' | 'succeeded'): {readonly table: string; readonly key: string; readonly value: unknown};
}

/** Whether a configuration was read as the operator's row or as a copy of it. */
type ConfigurationSource = 'row' | 'copy';

type WatchedChanges = Extract<WatchOutcome, {readonly status: 'changes'}>;

export type DeclarationWatcherOptions = {
	readonly clock: Clock;
	readonly tables: WatchableTableService;
	readonly codec: DeclarationCodec;
	readonly log: RateLimitedLog;
	readonly timings: Timings;
	/** Share from 0 to 1 of the longest delay before this entry copies a large configuration for others; 0 by default. */
	readonly copyDelayShare?: number;
};

/** Watches the operator's rows. */
export class DeclarationWatcher {
	static create(options: DeclarationWatcherOptions): DeclarationWatcher {
		const watcher = new DeclarationWatcher(options);
		void watcher.#run();
		return watcher;
	}

	readonly waves = new Map<string, WaveRequest>();
	readonly #options: DeclarationWatcherOptions;
	readonly #reader: DeclarationReader;
	#configuration: Configuration | undefined;
	#queues = QueueIndex.create([]);
	#accounts: AccountDirectory | undefined;
	#confirmedAt = Number.NEGATIVE_INFINITY;
	#version: number | undefined;
	/** Time beyond its wait that the last watch without a change took, in milliseconds. */
	#answerMs = 0;
	/** Whether the watch that is under way waits for a change, and no response to it has begun to arrive. */
	#isWaiting = false;
	/** Time at which the last confirmation beside a watch was requested, on the monotonic clock, and whether it is under way. */
	#requestedAt = Number.NEGATIVE_INFINITY;
	#isRequesting = false;
	/** Failed attempts since the last one that succeeded. */
	#failedAttempts = 0;
	/** Ends each wait for a confirmation. */
	readonly #waits = new Set<(isConfirmed: boolean) => void>();
	#isClosed = false;

	private constructor(options: DeclarationWatcherOptions) {
		this.#options = options;
		const {codec, copyDelayShare = 0} = options;
		this.#reader = DeclarationReader.create({
			...options, table: codec.table, configurationKey: codec.configurationKey, copyDelayShare,
		});
	}

	/** Newest configuration read so far; `undefined` before the first. */
	get configuration(): Configuration | undefined {
		return this.#configuration;
	}

	/** Finds the queue of a request in that configuration. */
	findQueue(host: string, path: string): Queue | undefined {
		return this.#queues.findQueue(host, path);
	}

	/** Accounts of that configuration by key; `undefined` where requests are not authenticated. */
	get accounts(): AccountDirectory | undefined {
		return this.#accounts;
	}

	/** Time since the store last confirmed the configuration as the newest, in milliseconds. */
	get ageMs(): number {
		return this.#options.clock.readBootTime() - this.#confirmedAt;
	}

	/** Number of failed attempts to confirm the configuration since the last one that succeeded. */
	get failedAttempts(): number {
		return this.#failedAttempts;
	}

	get isFresh(): boolean {
		return this.#configuration !== undefined && this.ageMs < this.#options.timings.staleConfigurationMs;
	}

	/** Whether the configuration is recent enough to tell which keys are valid. */
	get hasFreshKeys(): boolean {
		return this.#configuration !== undefined && this.ageMs < this.#options.timings.staleKeysMs;
	}

	/**
	 * Waits for the next confirmation of the configuration, and requests one beside a watch that waits for a change. The confirmation may still
	 * leave the configuration outdated if it was requested long ago. Returns `false` if none came within `ms`, and immediately if none can come
	 * soon: the store is out of reach or has no configuration, or too many requests wait.
	 */
	async waitForConfirmation(ms: number): Promise<boolean> {
		if (!this.#isConfirmable || this.#waits.size >= maxConfirmationWaits) {
			return false;
		}

		let isConfirmed = false;
		let end = (_isConfirmed: boolean): void => {};
		const ended = new Promise<void>(resolve => {
			end = outcome => {
				isConfirmed = outcome;
				resolve();
			};
		});
		this.#waits.add(end);
		void this.#requestConfirmation();
		try {
			await waitAtMost(this.#options.clock, ended, ms);
		} finally {
			this.#waits.delete(end);
		}

		return isConfirmed;
	}

	close(): void {
		this.#isClosed = true;
		this.#reader.close();
		this.#endWaits(false);
	}

	get #isConfirmable(): boolean {
		return !this.#isClosed && this.#failedAttempts < unreachableAttempts && (this.#configuration !== undefined || this.#version === undefined);
	}

	#endWaits(isConfirmed: boolean): void {
		for (const end of this.#waits) {
			end(isConfirmed);
		}
	}

	async #run(): Promise<void> {
		const {clock, log} = this.#options;
		let isLost = false;
		while (!this.#isClosed) {
			const startedAt = clock.readBootTime();
			try {
				const isConfirmed = await (this.#version === undefined ? this.#load() : this.#watch(this.#version));
				if (isConfirmed) {
					this.#recordConfirmation(startedAt);
				}

				this.#failedAttempts = 0;
				if (isLost) {
					isLost = false;
					log.info('store regained', {configuration: this.#configuration?.version});
				}
			} catch (error) {
				this.#failedAttempts++;
				if (!this.#isConfirmable) {
					this.#endWaits(false);
				}

				if (!isLost) {
					isLost = true;
					log.warn('store lost', {configuration: this.#configuration?.version, error: readErrorMessage(error)});
				}

				await clock.sleep(declarationRetryMs);
			}
		}
	}

	#recordConfirmation(startedAt: number): void {
		this.#confirmedAt = Math.max(this.#confirmedAt, startedAt);
		this.#endWaits(true);
	}

	/** Requests a confirmation beside a watch that waits for a change, whose answer may be lost. At most one is under way, and one is requested each `declarationRetryMs`. */
	async #requestConfirmation(): Promise<void> {
		const {clock} = this.#options;
		const now = clock.readMonotonic();
		if (!this.#isWaiting || this.#isRequesting || now - this.#requestedAt < declarationRetryMs) {
			return;
		}

		this.#isRequesting = true;
		this.#requestedAt = now;
		const startedAt = clock.readBootTime();
		try {
			const outcome = await this.#reader.requestChanges(this.#version!);
			if (outcome.status === 'changes') {
				this.#applyChanges(outcome);
				this.#recordConfirmation(startedAt);
			}
		} catch {
			// The watch that is under way finds out whether the store answers.
		} finally {
			this.#isRequesting = false;
		}
	}

	/** Applies the changes of a watch, unless those of a later one have been applied. */
	#applyChanges({changes, version}: WatchedChanges): void {
		if (this.#version !== undefined && version < this.#version) {
			return;
		}

		for (const {key, value} of changes) {
			this.#apply(key, value);
		}

		this.#version = version;
	}

	/** Reads all rows, which confirms the configuration. */
	async #load(): Promise<boolean> {
		const {tables, codec} = this.#options;
		const {rows, version} = await tables.listRange(codec.table);
		this.#applyRows(rows);
		this.#version = version;
		return true;
	}

	#applyRows(rows: readonly Row[]): void {
		for (const {key, value} of rows) {
			this.#apply(key, value);
		}
	}

	/** Waits for changes; returns whether the configuration is confirmed. */
	async #watch(after: number): Promise<boolean> {
		const {clock} = this.#options;
		const waitMs = this.#computeWaitMs();
		const startedAt = clock.readMonotonic();
		const outcome = await this.#waitForChange(after, waitMs);
		if (outcome.status === 'expired') {
			this.#version = undefined;
			return this.#load();
		}

		if (outcome.status === 'copied') {
			// The next watch continues from the copied row, and confirms that it is the newest or reads a newer one.
			const {copy, others} = outcome;
			this.#apply(copy.key, copy.value, 'copy');
			this.#applyRows(others);
			this.#version = copy.version;
			return false;
		}

		const elapsedMs = clock.readMonotonic() - startedAt;
		if (outcome.changes.length === 0 && elapsedMs >= waitMs) {
			this.#answerMs = elapsedMs - waitMs;
		}

		this.#applyChanges(outcome);
		return true;
	}

	async #waitForChange(after: number, waitMs: number): Promise<DeclarationOutcome> {
		this.#isWaiting = waitMs > immediateWatchMs;
		try {
			return await this.#reader.watch({after, waitMs}, () => {
				this.#isWaiting = false;
			});
		} finally {
			this.#isWaiting = false;
		}
	}

	/**
	 * Computes the wait of the next watch. A watch confirms the configuration as of its start, so two of them have to end before it counts as
	 * stale, for keys or at all. Once the next one would end too late, as after a pause of the process or an outage of the store, it doesn't wait
	 * for a change.
	 */
	#computeWaitMs(): number {
		const {declarationWatchMs, staleKeysMs} = this.#options.timings;
		const spareMs = this.#answerMs + watchMarginMs;
		const remainingMs = staleKeysMs - this.ageMs - spareMs;
		return remainingMs < minDeclarationWatchMs
			? immediateWatchMs
			: Math.floor(Math.max(minDeclarationWatchMs, Math.min(declarationWatchMs, (staleKeysMs / 2) - spareMs, remainingMs)));
	}

	#apply(key: string, value: unknown, source: ConfigurationSource = 'row'): void {
		const {codec, log} = this.#options;
		if (value === undefined) {
			return;
		}

		try {
			const declaration = codec.decode(key, value);
			if (declaration.kind === 'configuration' && declaration.configuration.version > (this.#configuration?.version ?? -1)) {
				this.#replaceConfiguration(declaration.configuration, source);
			} else if (declaration.kind === 'wave') {
				this.waves.set(declaration.wave.id, declaration.wave);
			}
		} catch (error) {
			log.warn('declaration is invalid', {key, error: readErrorMessage(error)});
		}
	}

	#replaceConfiguration(configuration: Configuration, source: ConfigurationSource): void {
		const {log} = this.#options;
		const {version, queues, accounts} = configuration;
		const directory = accounts === undefined ? undefined : AccountDirectory.create(accounts);
		log.info('configuration in force', {
			version, before: this.#configuration?.version, queues: queues.length, accounts: accounts?.length, source,
		});
		if (directory !== undefined && directory.conflicts.length > 0) {
			log.warn('keys of several accounts count for none', {version, accounts: directory.conflicts});
		}

		this.#configuration = configuration;
		this.#queues = QueueIndex.create(queues);
		this.#accounts = directory;
	}
}
