/**
 * Accepts submitted jobs at an entry. Each job is one conditional insert; inserts are batched into one transaction at a time per partition.
 */
import {
	readErrorMessage, VerdictError, type Clock, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {
	absentVersion, platformBusyCode, type Row, type WatchableTableService,
} from '@tamarackwind/clients';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {type Job} from './jobs.js';
import {getCancelKey, getJobKey, getSubmissionPartition} from './table-keys.js';
import {encodeJob, tombstone, type SubmissionRow} from './records.js';

/**
 * - `accepted`: the job is durable, written by this or an earlier attempt.
 * - `refused`: this attempt has not written the job and never will.
 * - `unknown`: the write may still take effect.
 */
export type SubmitOutcome = 'accepted' | 'refused' | 'unknown';

export type JobSubmitterOptions = {
	readonly clock: Clock;
	readonly tables: WatchableTableService;
	readonly log: RateLimitedLog;
};

/** Jobs in one transaction; the table service accepts 100 entries, and each job needs a check and a write. */
const maxBatchJobs = 40;
/** Delay before a transaction in which submissions are batched, in milliseconds. */
const batchDelayMs = 3;
/** Time without a response after which the outcome of a transaction is in doubt, in milliseconds: above the time of two consecutive transactions at a store that is ninety times slower. */
const responseTimeoutMs = 1500;
/** Maximum time for which a submission waits for a busy partition, in milliseconds: a retry at another entry would take longer. */
const maxBusyWaitMs = 1000;
/** Delay before a transaction that a busy partition rejected is retried, in milliseconds. */
const busyRetryDelayMs = 150;
/** Number of attempts to determine the outcome of a write without a response before the outcome counts as unknown. */
const maxSettleAttempts = 2;

type PendingSubmission = {readonly job: Job; readonly submittedAt: number; readonly resolve: (outcome: SubmitOutcome) => void; expectedVersion: number; isResolved: boolean};

/** Accepts and cancels jobs. */
export class JobSubmitter {
	static create(options: JobSubmitterOptions): JobSubmitter {
		return new JobSubmitter(options);
	}

	readonly #options: JobSubmitterOptions;
	/** Unsent submissions, by partition. */
	readonly #queues = new Map<string, PendingSubmission[]>();
	/** Time at which the in-flight transaction of each partition was sent, on the monotonic clock. */
	readonly #sentAt = new Map<string, number>();
	/** Number of failed transactions of each service whose outcome is being determined. */
	readonly #unsettled = new Map<ServiceName, number>();

	private constructor(options: JobSubmitterOptions) {
		this.#options = options;
	}

	/** Submits a job; a job that already exists is accepted again. While the outcome of earlier submissions is in doubt, the job is refused immediately without an attempt. */
	async submit(job: Job): Promise<SubmitOutcome> {
		const partition = getSubmissionPartition(job.service, job.id);
		if (this.#isInDoubt(job.service, partition)) {
			this.#options.log.info('submission refused', {job: job.id, queue: job.queue, reason: 'earlier submissions have no response yet'});
			return 'refused';
		}

		return new Promise(resolve => {
			const pending: PendingSubmission = {
				job, resolve(outcome) {
					pending.isResolved = true;
					resolve(outcome);
				}, submittedAt: this.#options.clock.readMonotonic(), expectedVersion: absentVersion, isResolved: false,
			};
			const queue = this.#queues.get(partition);
			if (queue === undefined) {
				const first = [pending];
				this.#queues.set(partition, first);
				void this.#drain(job.service, partition, first);
			} else {
				queue.push(pending);
			}
		});
	}

	/**
	 * Cancels a job.
	 *
	 * @returns whether the job exists.
	 * @throws {VerdictError} when the outcome is unknown.
	 */
	async cancel(service: ServiceName, id: JobId): Promise<boolean> {
		const {tables} = this.#options;
		const row = await tables.getRow(getJobKey(service, id));
		if (row === undefined || isTombstone(row)) {
			return false;
		}

		const key = getJobKey(service, id);
		const outcome = await tables.commit({
			checks: [{...key, version: row.version}],
			writes: [{...getCancelKey(service, id), value: {}}],
		});
		return outcome.status === 'committed' || await tables.getRow(getCancelKey(service, id)) !== undefined;
	}

	#isInDoubt(service: ServiceName, partition: string): boolean {
		const sentAt = this.#sentAt.get(partition);
		return (this.#unsettled.get(service) ?? 0) > 0 || (sentAt !== undefined && this.#options.clock.readMonotonic() - sentAt > responseTimeoutMs);
	}

	async #drain(service: ServiceName, partition: string, queue: PendingSubmission[]): Promise<void> {
		const {clock} = this.#options;
		await clock.sleep(batchDelayMs);
		while (queue.length > 0) {
			const batch = queue.splice(0, maxBatchJobs);
			this.#sentAt.set(partition, clock.readMonotonic());
			try {
				await this.#commit(batch);
			} catch (error) {
				const unresolved = batch.filter(({isResolved}) => !isResolved);
				if (this.#isRetryable(unresolved, error)) {
					queue.unshift(...unresolved);
					await clock.sleep(busyRetryDelayMs);
				} else {
					void this.#settle(service, unresolved, error);
					this.#refuseUnsent(queue.splice(0));
				}
			}
		}

		this.#sentAt.delete(partition);
		this.#queues.delete(partition);
	}

	/** Reports whether a batch failed because its partition is busy and all of its jobs can still wait. */
	#isRetryable(batch: readonly PendingSubmission[], error: unknown): boolean {
		const now = this.#options.clock.readMonotonic();
		return error instanceof VerdictError && error.code === platformBusyCode && batch.every(({submittedAt}) => now - submittedAt < maxBusyWaitMs);
	}

	/** Refuses unsent jobs, so that they don't wait for the outcome of the failed batch before them. */
	#refuseUnsent(unsent: readonly PendingSubmission[]): void {
		for (const {job, resolve} of unsent) {
			this.#options.log.info('submission refused', {job: job.id, queue: job.queue, reason: 'the preceding batch failed'});
			resolve('refused');
		}
	}

	/** Commits a batch; on conflicts, jobs that already exist are accepted and the rest are retried. */
	async #commit(batch: readonly PendingSubmission[]): Promise<void> {
		let remaining = [...batch];
		while (remaining.length > 0) {
			const outcome = await this.#options.tables.commit({
				checks: remaining.map(({job, expectedVersion}) => ({...getJobKey(job.service, job.id), version: expectedVersion})),
				writes: remaining.map(({job}) => ({...getJobKey(job.service, job.id), value: encodeJob(job)})),
			});
			if (outcome.status === 'committed') {
				for (const {job, resolve} of remaining) {
					this.#options.log.info('job accepted', {job: job.id, queue: job.queue, version: outcome.version});
					resolve('accepted');
				}

				return;
			}

			remaining = await this.#resolveConflicts(remaining, new Set(outcome.conflicts.map(({key}) => key)));
		}
	}

	/** Accepts the jobs that already exist; returns those that may still be written, including over a tombstone. */
	async #resolveConflicts(remaining: readonly PendingSubmission[], conflicts: ReadonlySet<string>): Promise<PendingSubmission[]> {
		const retried: PendingSubmission[] = [];
		for (const pending of remaining) {
			if (!conflicts.has(pending.job.id)) {
				retried.push(pending);
				continue;
			}

			const row = await this.#options.tables.getRow(getJobKey(pending.job.service, pending.job.id));
			if (row !== undefined && !isTombstone(row)) {
				this.#options.log.info('job accepted before', {job: pending.job.id, queue: pending.job.queue, version: row.version});
				pending.resolve('accepted');
			} else {
				pending.expectedVersion = row?.version ?? absentVersion;
				retried.push(pending);
			}
		}

		return retried;
	}

	/** Determines the outcome of a batch whose transaction failed. */
	async #settle(service: ServiceName, batch: readonly PendingSubmission[], error: unknown): Promise<void> {
		this.#unsettled.set(service, (this.#unsettled.get(service) ?? 0) + 1);
		const isUnsent = error instanceof VerdictError && error.verdict === 'not-run';
		this.#options.log.warn('submissions not written', {
			jobs: batch.map(({job}) => job.id).slice(0, 5), count: batch.length, isUnsent, error: readErrorMessage(error),
		});
		await Promise.all(batch.map(async pending => {
			pending.resolve(isUnsent ? 'refused' : await this.#settleJob(pending));
		}));
		this.#unsettled.set(service, (this.#unsettled.get(service) ?? 1) - 1);
	}

	/** Determines the outcome of one job: writes a tombstone in its place, so that a late write of it fails, or finds that the job exists. */
	async #settleJob({job, expectedVersion}: PendingSubmission): Promise<SubmitOutcome> {
		const {tables, log} = this.#options;
		const key = getJobKey(job.service, job.id);
		for (let attempt = 0; attempt < maxSettleAttempts; attempt++) {
			try {
				const outcome = await tables.commit({checks: [{...key, version: expectedVersion}], writes: [{...key, value: tombstone}]});
				if (outcome.status === 'committed') {
					log.info('job refused permanently', {job: job.id, queue: job.queue, version: outcome.version});
					return 'refused';
				}

				const row = await tables.getRow(key);
				if (row !== undefined && !isTombstone(row)) {
					log.info('job accepted', {job: job.id, queue: job.queue, version: row.version});
					return 'accepted';
				}

				return 'refused';
			} catch (error) {
				log.warn('determining the outcome of a submission failed', {job: job.id, attempt, error: readErrorMessage(error)});
			}
		}

		return 'unknown';
	}
}

function isTombstone(row: Row): boolean {
	return 'isRefused' in (row.value as SubmissionRow);
}
