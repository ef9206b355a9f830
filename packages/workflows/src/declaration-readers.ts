/**
 * Reads the operator's rows. A large configuration is read as the operator's row and, once that has taken a while, as its compressed copy at the
 * same time; whichever arrives first is used.
 */
import {readErrorMessage, type Clock} from '@tamarackwind/core';
import {
	getKeyAfter, type Row, type RowChange, type WatchableTableService, type WatchOptions, type WatchOutcome,
} from '@tamarackwind/clients';
import {ConfigurationCopies, type CopiedRow} from './configuration-copies.js';
import {type RateLimitedLog} from './rate-limited-logs.js';

/** Wait of a watch that is answered as soon as the store can, in milliseconds. */
export const immediateWatchMs = 1;
/** Size of a response with changes from which they are copied, in bytes: below it a link of 5 Mbit/s carries them in 0.1 s. */
const minCopiedBytes = 65_536;
/** Time after the head of a response before its copy is looked for, in milliseconds: fast links have carried the response by then. */
const copyWaitMs = 100;
/** Rate at which the body of a response has arrived at an entry that writes a copy, in bytes per second. */
const minWriterBytesPerS = 4_000_000;
const millisecondsPerSecond = 1000;
/** Maximum delay before an entry writes a copy, in milliseconds, so that the others find it written. */
const maxWriteDelayMs = 150;

/** Outcome of a watch: the changes, the copy of the newest configuration with the other rows, or `expired` as of the table service. */
export type DeclarationOutcome = WatchOutcome | {readonly status: 'copied'; readonly copy: CopiedRow; readonly others: readonly Row[]};

export type DeclarationReaderOptions = {
	readonly clock: Clock;
	readonly tables: WatchableTableService;
	readonly log: RateLimitedLog;
	/** Table of the operator's rows, and the key of the configuration among them. */
	readonly table: string;
	readonly configurationKey: string;
	/** Share from 0 to 1 of the longest delay before this entry writes a copy; it should differ between entries. */
	readonly copyDelayShare: number;
};

/** The body of a response that is arriving. */
type Transfer = {readonly bytes: number; readonly startedAt: number};

/** Watches the operator's rows for one entry. */
export class DeclarationReader {
	static create(options: DeclarationReaderOptions): DeclarationReader {
		return new DeclarationReader(options);
	}

	readonly #options: DeclarationReaderOptions;
	readonly #copies: ConfigurationCopies;
	/** Ends each call that is under way. */
	readonly #endings = new Set<AbortController>();
	#isClosed = false;

	private constructor(options: DeclarationReaderOptions) {
		this.#options = options;
		this.#copies = ConfigurationCopies.create(options.tables);
	}

	/**
	 * Waits for changes. A copy is newer than `after`, and does not confirm that no later version exists. Calls `onResponse` once the response
	 * begins to arrive.
	 */
	async watch(options: Pick<WatchOptions, 'after' | 'waitMs'>, onResponse: () => void): Promise<DeclarationOutcome> {
		const {clock, tables, table} = this.#options;
		const ending = this.#beginCall();
		const {signal} = ending;
		let transfer: Transfer | undefined;
		try {
			return await new Promise<DeclarationOutcome>((resolve, reject) => {
				const readRow = async (): Promise<void> => {
					const outcome = await tables.watchRows(table, {
						...options, signal, onResponseSize(bytes) {
							onResponse();
							const isFirst = transfer === undefined;
							if (bytes >= minCopiedBytes) {
								transfer = {bytes, startedAt: transfer?.startedAt ?? clock.readMonotonic()};
							}

							if (isFirst && transfer !== undefined) {
								void readCopy();
							}
						},
					});
					this.#checkTransfer(outcome, transfer);
					resolve(outcome);
				};

				const readCopy = async (): Promise<void> => {
					try {
						const copied = await this.#readCopy(options.after, signal);
						if (copied !== undefined) {
							resolve(copied);
						}
					} catch (error) {
						if (!signal.aborted) {
							this.#options.log.info('copy of the configuration not read', {error: readErrorMessage(error)});
						}
					}
				};

				readRow().catch(reject);
			});
		} finally {
			this.#endCall(ending);
		}
	}

	/** Asks for changes beside a watch that waits for them. A large response is given up: that watch receives it too. */
	async requestChanges(after: number): Promise<WatchOutcome> {
		const ending = this.#beginCall();
		try {
			return await this.#options.tables.watchRows(this.#options.table, {
				after, waitMs: immediateWatchMs, signal: ending.signal, onResponseSize(bytes) {
					if (bytes >= minCopiedBytes) {
						ending.abort();
					}
				},
			});
		} finally {
			this.#endCall(ending);
		}
	}

	close(): void {
		this.#isClosed = true;
		for (const ending of this.#endings) {
			ending.abort();
		}
	}

	#beginCall(): AbortController {
		const ending = new AbortController();
		this.#endings.add(ending);
		return ending;
	}

	#endCall(ending: AbortController): void {
		this.#endings.delete(ending);
		ending.abort();
	}

	async #readCopy(after: number, signal: AbortSignal): Promise<DeclarationOutcome | undefined> {
		const {clock, tables, table, configurationKey} = this.#options;
		await clock.sleep(copyWaitMs, signal);
		const copy = signal.aborted ? undefined : await this.#copies.waitForCopy(after, signal);
		if (copy === undefined || signal.aborted) {
			return undefined;
		}

		// The response that is given up may hold changes of other rows.
		const ranges = await Promise.all([tables.listRange(table, {to: configurationKey}), tables.listRange(table, {from: getKeyAfter(configurationKey)})]);
		return {status: 'copied', copy, others: ranges.flatMap(({rows}) => rows)};
	}

	/** Writes a copy of a configuration that has arrived fast. */
	#checkTransfer(outcome: WatchOutcome, transfer: Transfer | undefined): void {
		const {clock, configurationKey} = this.#options;
		if (transfer === undefined || outcome.status !== 'changes') {
			return;
		}

		const elapsedMs = clock.readMonotonic() - transfer.startedAt;
		if (elapsedMs * minWriterBytesPerS > transfer.bytes * millisecondsPerSecond) {
			return;
		}

		const change = outcome.changes.findLast(({key}) => key === configurationKey);
		if (change?.value !== undefined) {
			void this.#writeCopy(change, transfer.bytes);
		}
	}

	async #writeCopy({key, value, version}: RowChange, bytes: number): Promise<void> {
		const {clock, log, copyDelayShare} = this.#options;
		await clock.sleep(copyDelayShare * maxWriteDelayMs);
		if (this.#isClosed) {
			return;
		}

		try {
			const outcome = await this.#copies.write({key, value, version});
			if (outcome !== 'already-written') {
				log.info('copy of the configuration', {outcome, version, bytes});
			}
		} catch (error) {
			log.warn('copy of the configuration not written', {version, error: readErrorMessage(error)});
		}
	}
}
