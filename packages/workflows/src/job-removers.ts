/**
 * Deletes the rows of ended jobs and of advance cancellations after their retention.
 */
import {
	readErrorMessage, type Clock, type JobId,
} from '@tamarackwind/core';
import {type RowKey, type WatchableTableService} from '@tamarackwind/clients';
import {type ActiveJob} from './active-jobs.js';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {
	getAdvanceCancelKey, getCancelKey, getJobKey, getSubmissionPartition,
} from './table-keys.js';

export type JobRemoverOptions = {
	readonly clock: Clock;
	readonly tables: WatchableTableService;
	readonly log: RateLimitedLog;
	/** Retention of ended jobs, in milliseconds. */
	readonly retentionMs: number;
	/** Called when the submission of a job has been deleted. */
	readonly onRemoved: (id: JobId) => void;
	/** Reports whether a job is stored. */
	readonly hasSubmission: (id: JobId) => boolean;
};

/** Interval at which rows are deleted, in milliseconds. */
const removalIntervalMs = 5000;
/** Maximum number of jobs whose submissions are deleted in one interval. */
const maxRemovals = 30;
/** Maximum number of rows deleted in one transaction; the table service accepts 100 entries. */
const maxDeletions = 90;
/**
 * Time between the deletions of a job's submission and of its progress, in milliseconds: a new holder that has listed the submission still
 * finds the progress, and does not run the job again.
 */
const progressDelayMs = 60_000;

/** Maximum number of advance cancellations that are deleted in one transaction, each with a check. */
const maxCancellationDeletions = 45;
/** Maximum number of such transactions in one interval. */
const maxCancellationTransactions = 64;

type EndedJob = {readonly at: number; readonly progress: readonly RowKey[]};

/** Deletes the submissions of ended jobs, and later their progress. */
export class JobRemover {
	static create(options: JobRemoverOptions): JobRemover {
		const remover = new JobRemover(options);
		void remover.#run();
		return remover;
	}

	readonly #options: JobRemoverOptions;
	/** Ended jobs, with the time at which their submissions may be deleted. */
	readonly #ended = new Map<JobId, EndedJob>();
	/** Jobs without a submission, with the time at which their progress may be deleted. */
	readonly #removed = new Map<JobId, EndedJob>();
	/** Advance cancellations, with the versions of their rows and the time at which they may be deleted. */
	readonly #cancellations = new Map<JobId, {readonly at: number; readonly version: number}>();
	#isClosed = false;

	private constructor(options: JobRemoverOptions) {
		this.#options = options;
	}

	/** Schedules the rows of an ended job for deletion at the end of its retention. */
	scheduleJob({job, endedAt, progressKeys}: ActiveJob): void {
		const {clock, retentionMs} = this.#options;
		const age = Math.max(0, clock.readWall() - (endedAt ?? clock.readWall()));
		this.#ended.set(job.id, {at: clock.readMonotonic() + retentionMs - Math.min(age, retentionMs), progress: progressKeys});
	}

	/** Schedules the progress rows of a job without a submission for deletion. */
	scheduleProgress(id: JobId, progress: readonly RowKey[]): void {
		this.#removed.set(id, {at: this.#options.clock.readMonotonic() + progressDelayMs, progress});
	}

	/**
	 * Schedules an advance cancellation for deletion at the end of its retention, by which no submission of its job is on its way any more. While
	 * the job is stored it is kept longer.
	 */
	scheduleAdvanceCancellation(id: JobId, version: number): void {
		const {clock, retentionMs} = this.#options;
		this.#cancellations.set(id, {at: clock.readMonotonic() + retentionMs, version});
	}

	/** Keeps a job whose submission was deleted and has been repeated; returns `false` for a job that has not ended. */
	holdRepeated(id: JobId): boolean {
		const ended = this.#removed.get(id);
		if (ended === undefined) {
			return false;
		}

		this.#removed.delete(id);
		this.#ended.set(id, {...ended, at: this.#options.clock.readMonotonic() + this.#options.retentionMs});
		return true;
	}

	close(): void {
		this.#isClosed = true;
	}

	async #run(): Promise<void> {
		const {clock, log} = this.#options;
		while (!this.#isClosed) {
			await clock.sleep(removalIntervalMs);
			try {
				await this.#removeSubmissions(this.#listDue(this.#ended).slice(0, maxRemovals));
				await this.#removeProgress(this.#listDue(this.#removed));
				await this.#removeCancellations(this.#listDue(this.#cancellations).filter(id => !this.#options.hasSubmission(id)));
			} catch (error) {
				log.warn('removing ended jobs failed', {
					ended: this.#ended.size, removed: this.#removed.size, cancellations: this.#cancellations.size, error: readErrorMessage(error),
				});
			}
		}
	}

	#listDue(jobs: ReadonlyMap<JobId, {readonly at: number}>): JobId[] {
		const now = this.#options.clock.readMonotonic();
		return [...jobs].filter(([, {at}]) => at <= now).map(([id]) => id);
	}

	async #removeSubmissions(ids: readonly JobId[]): Promise<void> {
		const {tables, onRemoved} = this.#options;
		if (this.#isClosed) {
			return;
		}

		const partitions = new Set(ids.map(id => getSubmissionPartition(id)));
		await Promise.all([...partitions].map(async partition => {
			const part = ids.filter(id => getSubmissionPartition(id) === partition);
			return tables.commit({checks: [], writes: part.flatMap(id => [getJobKey(id), getCancelKey(id)])});
		}));
		for (const id of ids) {
			this.scheduleProgress(id, this.#ended.get(id)!.progress);
			this.#ended.delete(id);
			onRemoved(id);
		}
	}

	async #removeProgress(ids: readonly JobId[]): Promise<void> {
		const keys = ids.flatMap(id => this.#removed.get(id)!.progress);
		for (const partition of new Set(keys.map(key => key.partition))) {
			const part = keys.filter(key => key.partition === partition);
			for (let start = 0; start < part.length && !this.#isClosed; start += maxDeletions) {
				await this.#options.tables.commit({checks: [], writes: part.slice(start, start + maxDeletions)});
			}
		}

		for (const id of ids) {
			this.#removed.delete(id);
		}
	}

	async #removeCancellations(ids: readonly JobId[]): Promise<void> {
		const partitions = new Set(ids.map(id => getAdvanceCancelKey(id).partition));
		const batches = [...partitions].flatMap(partition => {
			const part = ids.filter(id => getAdvanceCancelKey(id).partition === partition);
			return Array.from({length: Math.ceil(part.length / maxCancellationDeletions)}, (_, index) => part.slice(index * maxCancellationDeletions, (index + 1) * maxCancellationDeletions));
		});
		for (const batch of batches.slice(0, maxCancellationTransactions)) {
			if (this.#isClosed) {
				return;
			}

			await this.#removeCancellationBatch(batch);
		}
	}

	/** Deletes advance cancellations. One that has changed is left to its later version, which the feed shows. */
	async #removeCancellationBatch(ids: readonly JobId[]): Promise<void> {
		const outcome = await this.#options.tables.commit({
			checks: ids.map(id => ({...getAdvanceCancelKey(id), version: this.#cancellations.get(id)!.version})),
			writes: ids.map(id => getAdvanceCancelKey(id)),
		});
		const done = outcome.status === 'committed' ? new Set(ids.map(id => getAdvanceCancelKey(id).key)) : new Set(outcome.conflicts.map(({key}) => key));
		for (const id of ids.filter(other => done.has(getAdvanceCancelKey(other).key))) {
			this.#cancellations.delete(id);
		}
	}
}
