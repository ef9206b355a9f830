/**
 * Deletes the rows of ended jobs after their retention.
 */
import {
	readErrorMessage, type Clock, type JobId,
} from '@tamarackwind/core';
import {type RowKey, type WatchableTableService} from '@tamarackwind/clients';
import {type ActiveJob} from './active-jobs.js';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {
	getCancelKey, getJobKey, getSubmissionPartition,
} from './table-keys.js';

export type JobRemoverOptions = {
	readonly clock: Clock;
	readonly tables: WatchableTableService;
	readonly log: RateLimitedLog;
	/** Retention of ended jobs, in milliseconds. */
	readonly retentionMs: number;
	/** Called when the submission of a job has been deleted. */
	readonly onRemoved: (id: JobId) => void;
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
			} catch (error) {
				log.warn('removing ended jobs failed', {ended: this.#ended.size, removed: this.#removed.size, error: readErrorMessage(error)});
			}
		}
	}

	#listDue(jobs: ReadonlyMap<JobId, EndedJob>): JobId[] {
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
}
