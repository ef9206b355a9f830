/**
 * Plays submissions and cancellations of one job at several entries that share a store, with faults on the way from an entry to the store, and follows what
 * a holder would run.
 */
import {
	Log, ManualClock, VerdictError, type AccountName, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {
	MemoryTableService, platformBusyCode, type CommitOutcome, type RowKey, type TableLimits, type Transaction,
} from '@tamarackwind/clients';
import {
	computeTimings, defaultBounds, JobFeed, JobSubmitter, jobTable, listSubmissionPartitions, RateLimitedLog, UncheckedPrincipal, type CancelOutcome, type Job, type JobChange,
} from '@tamarackwind/workflows';
import {createStep} from './system-histories.js';

/** Sends a transaction of an entry to the store; `attempt` counts those of the entry from 0. */
export type StorePath = (transaction: Transaction, attempt: number) => Promise<CommitOutcome>;

const service = 'north' as ServiceName;
const unchecked = UncheckedPrincipal.create();
const limits: TableLimits = {valueBytes: 49_152, transactionBytes: 690_000, transactionEntries: 100};
/** Retention of ended jobs, in milliseconds. */
export const playRetentionMs = 120_000;

/** Creates a job of one short task. */
export function createShortJob(id: JobId, account?: AccountName): Job {
	return {
		id,
		service,
		queue: 'redraw',
		payload: '',
		submittedAt: 0,
		policy: {
			priority: 0, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600,
		},
		steps: [createStep({})],
		...(account === undefined ? {} : {account}),
	};
}

/** Creates the error of a call whose answer was lost. */
export function createLostError(): VerdictError {
	return new VerdictError('no answer', {verdict: 'may-have-run', code: 'platform_unavailable'});
}

/** Creates the error of a call that a busy partition turned away. */
export function createBusyError(): VerdictError {
	return new VerdictError('too many wait', {verdict: 'not-run', code: platformBusyCode});
}

/** Holds the store, the entries and the holders' feeds of one play. */
export class SubmissionPlay {
	static create(): SubmissionPlay {
		return new SubmissionPlay();
	}

	readonly clock = ManualClock.create();
	readonly tables = MemoryTableService.create(this.clock, limits);
	readonly log = RateLimitedLog.create(Log.createSilent(), this.clock);
	/** Number of transactions that reached the store. */
	commits = 0;
	readonly #feeds: JobFeed[] = [];

	private constructor() {
		const commit = this.tables.commit.bind(this.tables);
		this.tables.commit = async transaction => {
			this.commits++;
			return commit(transaction);
		};
	}

	/** Creates an entry with a path of its own to the store. */
	startEntry(path: StorePath = async transaction => this.tables.commit(transaction)): JobSubmitter {
		const {clock, tables, log} = this;
		let attempts = 0;
		const entryTables = Object.create(tables, {
			commit: {value: async (transaction: Transaction) => path(transaction, attempts++)},
			getRow: {value: async (key: RowKey) => tables.getRow(key)},
			limits: {value: tables.limits},
		}) as MemoryTableService;
		return JobSubmitter.create({clock, tables: entryTables, log});
	}

	/** Carries a transaction out later, and gives no answer. */
	async commitLate(transaction: Transaction, delayMs: number): Promise<never> {
		const run = async (): Promise<void> => {
			await this.clock.sleep(delayMs);
			await this.tables.commit(transaction);
		};

		void run();
		await this.clock.sleep(1000);
		throw createLostError();
	}

	/** Starts the feed of a holder; the set has the jobs whose tasks it may start, and no others once they are cancelled. */
	async startFeed(): Promise<ReadonlySet<JobId>> {
		const {clock, tables, log} = this;
		const active = new Set<JobId>();
		const apply = (changes: readonly JobChange[]): void => {
			for (const change of changes) {
				if (change.kind === 'submitted') {
					active.add(change.id);
				} else {
					active.delete(change.id);
				}
			}
		};

		const feed = JobFeed.create({
			clock, tables, log, retentionMs: playRetentionMs, timings: computeTimings(defaultBounds),
		});
		this.#feeds.push(feed);
		await feed.load();
		apply(feed.subscribe(service, apply));
		return active;
	}

	/** Cancels jobs one after the other at one entry, and counts the outcomes. */
	async cancelAll(entry: JobSubmitter, ids: readonly JobId[]): Promise<Partial<Record<CancelOutcome, number>>> {
		const counts: Partial<Record<CancelOutcome, number>> = {};
		for (const id of ids) {
			const outcome = await entry.cancel(id, unchecked);
			counts[outcome] = (counts[outcome] ?? 0) + 1;
		}

		return counts;
	}

	/** Counts the rows of jobs and cancellations. */
	async countRows(): Promise<number> {
		const ranges = await Promise.all(listSubmissionPartitions().map(async partition => this.tables.listRange(jobTable, {partition})));
		return ranges.flatMap(({rows}) => rows).length;
	}

	close(): void {
		for (const feed of this.#feeds) {
			feed.close();
		}
	}
}
