/**
 * Accepts submitted jobs at an entry. Each job is one conditional insert; inserts are batched into one transaction at a time per partition.
 */
import {
	readErrorMessage, VerdictError, waitAtMost, type AccountName, type Clock, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {
	absentVersion, AdaptiveTimeout, platformBusyCode, type Row, type WatchableTableService,
} from '@tamarackwind/clients';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {type Job} from './jobs.js';
import {type Principal} from './principals.js';
import {computeMinRowBytes} from './progress-layouts.js';
import {JobCanceller, type CancelOutcome} from './job-cancellers.js';
import {getJobKey, getSubmissionPartition} from './table-keys.js';
import {
	encodeJob, isTombstone, tombstone, type SubmissionRow,
} from './records.js';

/**
 * - `accepted`: the job is durable, written by this or an earlier attempt.
 * - `refused`: this attempt has not written the job and never will.
 * - `unknown`: the write may still take effect.
 * - `foreign`: a job with this id belongs to another account; this attempt has not changed it.
 */
export type SubmitOutcome = 'accepted' | 'refused' | 'unknown' | 'foreign';

/** Outcome of a submission regardless of who made it, with the owner of an accepted job. */
type Settlement = {readonly outcome: 'accepted'; readonly account: AccountName | undefined} | {readonly outcome: 'unknown'} | {readonly outcome: 'refused'};

/** Outcome of earlier submissions of a job which a refusal of the job would contradict. */
export type EarlierOutcome = Exclude<Settlement, {readonly outcome: 'refused'}>;

export type JobSubmitterOptions = {
	readonly clock: Clock;
	readonly tables: WatchableTableService;
	readonly log: RateLimitedLog;
};

/** Jobs in one transaction; the table service accepts 100 entries, and each job needs a check and a write. */
const maxBatchJobs = 40;
/** Delay before a transaction in which submissions are batched, in milliseconds. */
const batchDelayMs = 3;
/** Maximum time for which a submission waits for a busy partition, in milliseconds: a retry at another entry would take longer. */
const maxBusyWaitMs = 1000;
/** Delay before a transaction that a busy partition rejected is retried, in milliseconds. */
const busyRetryDelayMs = 150;
/** Time since its submission after which no further attempt is made to determine the outcome of a job, in milliseconds: its client has given up. */
const maxSettleMs = 4000;
/** Minimum number of attempts to determine an outcome. */
const minSettleAttempts = 2;
/** Maximum time for which the refusal of a submission that the store turned away waits for the lookup of its job, in milliseconds. */
const maxLookupMs = 300;
/** Number of such lookups that may be open: a part of the connections to the store, which leases and watches share. */
const maxOpenLookups = 8;
/** Minimum interval between attempts to determine an outcome, in milliseconds. */
const settleIntervalMs = 100;
/** Time for which an outcome is kept for the retries of its job, and the number of outcomes that are kept. */
const earlierOutcomes = {maxAgeMs: 60_000, maxCount: 8192} as const;
/** Bounds of the time for which the oldest transaction may be without a response before further submissions are refused, in milliseconds, and its ratio to the longest recent response time. */
const suspicion = {
	minMs: 500, maxMs: 1500, factor: 2, windowMs: 5000,
};

type PendingSubmission = {readonly job: Job; readonly row: SubmissionRow; readonly bytes: number; readonly submittedAt: number; readonly resolve: (settlement: Settlement) => void; expectedVersion: number; isResolved: boolean};

/** Accepts and cancels jobs. */
export class JobSubmitter {
	static create(options: JobSubmitterOptions): JobSubmitter {
		return new JobSubmitter(options);
	}

	readonly #options: JobSubmitterOptions;
	readonly #canceller: JobCanceller;
	/** Unsent submissions, by partition. */
	readonly #queues = new Map<string, PendingSubmission[]>();
	/** Outcomes of the jobs that are being submitted; a transaction must not write a row twice. */
	readonly #pending = new Map<JobId, Promise<Settlement>>();
	/** Latest outcomes that a refusal would contradict, the oldest first, with the time at which they were determined. */
	readonly #earlier = new Map<JobId, {readonly outcome: EarlierOutcome; readonly at: number}>();
	/** Time at which the in-flight transaction of each partition was sent, on the monotonic clock. */
	readonly #sentAt = new Map<string, number>();
	/** Time of the last response of the store, on the monotonic clock. */
	#respondedAt = Number.NEGATIVE_INFINITY;
	readonly #suspicionTimeout: AdaptiveTimeout;
	/** Number of failed transactions of each service whose outcome is being determined. */
	readonly #unsettled = new Map<ServiceName, number>();
	/** Number of open lookups of submissions that the store turned away. */
	#openLookups = 0;

	private constructor(options: JobSubmitterOptions) {
		this.#options = options;
		this.#canceller = JobCanceller.create(options);
		this.#suspicionTimeout = AdaptiveTimeout.create({clock: options.clock, ...suspicion});
	}

	/** Returns an error message that names the limit if the table service can't keep a job or its progress; `undefined` otherwise. */
	findSizeError(job: Job): string | undefined {
		const {valueBytes} = this.#options.tables.limits;
		const bytes = countBytes(encodeJob(job));
		if (bytes > valueBytes) {
			return `job takes ${bytes} bytes, more than the ${valueBytes} bytes that a row of the store holds`;
		}

		const progressBytes = computeMinRowBytes(job);
		return progressBytes > valueBytes ? `progress of the job may take ${progressBytes} bytes, more than the ${valueBytes} bytes that a row of the store holds` : undefined;
	}

	/** Reports whether a job is being submitted by some request. */
	isSubmitting(id: JobId): boolean {
		return this.#pending.has(id);
	}

	/**
	 * Finds the outcome of earlier submissions of a job at this entry: accepted, or unknown while one is on its way or may still take effect.
	 * Returns `undefined` if the entry knows of none, or if all of them were refused.
	 */
	findEarlierOutcome(id: JobId): EarlierOutcome | undefined {
		if (this.#pending.has(id)) {
			return {outcome: 'unknown'};
		}

		const earlier = this.#earlier.get(id);
		return earlier !== undefined && this.#options.clock.readMonotonic() - earlier.at < earlierOutcomes.maxAgeMs ? earlier.outcome : undefined;
	}

	/**
	 * Submits a job; a job that already exists is accepted again if the principal has access to it, and one that is being submitted by
	 * another request gets the outcome of that. While the outcome of earlier submissions is in doubt, the job is refused immediately without
	 * an attempt.
	 */
	async submit(job: Job, principal: Principal): Promise<SubmitOutcome> {
		let pending = this.#pending.get(job.id);
		if (pending === undefined) {
			pending = this.#submitFirst(job);
			this.#pending.set(job.id, pending);
		}

		const settlement = await pending;
		return settlement.outcome !== 'accepted' || principal.hasAccess(settlement.account) ? settlement.outcome : 'foreign';
	}

	async #submitFirst(job: Job): Promise<Settlement> {
		try {
			const settlement = await this.#submit(job);
			if (settlement.outcome !== 'refused') {
				this.#recordOutcome(job.id, settlement);
			}

			return settlement;
		} finally {
			this.#pending.delete(job.id);
		}
	}

	#recordOutcome(id: JobId, outcome: EarlierOutcome): void {
		this.#earlier.delete(id);
		this.#earlier.set(id, {outcome, at: this.#options.clock.readMonotonic()});
		if (this.#earlier.size > earlierOutcomes.maxCount) {
			this.#earlier.delete(this.#earlier.keys().next().value!);
		}
	}

	async #submit(job: Job): Promise<Settlement> {
		const partition = getSubmissionPartition(job.id);
		if (this.#isInDoubt(job.service)) {
			this.#options.log.info('submission refused', {job: job.id, queue: job.queue, reason: 'earlier submissions have no response yet'});
			return {outcome: 'refused'};
		}

		const row = encodeJob(job);
		return new Promise(resolve => {
			const pending: PendingSubmission = {
				job, row, bytes: countBytes(row), resolve(settlement) {
					pending.isResolved = true;
					resolve(settlement);
				}, submittedAt: this.#options.clock.readMonotonic(), expectedVersion: absentVersion, isResolved: false,
			};
			const queue = this.#queues.get(partition);
			if (queue === undefined) {
				const first = [pending];
				this.#queues.set(partition, first);
				void this.#drain(partition, first);
			} else {
				queue.push(pending);
			}
		});
	}

	/**
	 * Cancels a job, also one that is on its way at some entry.
	 *
	 * @throws {VerdictError} when the outcome is unknown.
	 */
	async cancel(id: JobId, principal: Principal): Promise<CancelOutcome> {
		return this.#canceller.cancel(id, principal);
	}

	/** Reports whether an earlier outcome of the service is open, or the store has not responded since its oldest transaction was sent and that is long ago. */
	#isInDoubt(service: ServiceName): boolean {
		const oldestSentAt = Math.min(...this.#sentAt.values());
		return (this.#unsettled.get(service) ?? 0) > 0
			|| (this.#respondedAt < oldestSentAt && this.#options.clock.readMonotonic() - oldestSentAt > this.#suspicionTimeout.ms);
	}

	async #drain(partition: string, queue: PendingSubmission[]): Promise<void> {
		const {clock} = this.#options;
		await clock.sleep(batchDelayMs);
		while (queue.length > 0) {
			const batch = queue.splice(0, this.#countBatch(queue));
			const sentAt = clock.readMonotonic();
			this.#sentAt.set(partition, sentAt);
			try {
				await this.#commit(batch);
				this.#respondedAt = clock.readMonotonic();
				this.#suspicionTimeout.recordResponseTime(this.#respondedAt - sentAt);
			} catch (error) {
				const unresolved = batch.filter(({isResolved}) => !isResolved);
				if (this.#isRetryable(unresolved, error)) {
					queue.unshift(...unresolved);
					await clock.sleep(busyRetryDelayMs);
				} else {
					void this.#settle(unresolved, error);
					this.#refuseUnsent(queue.splice(0));
				}
			}
		}

		this.#sentAt.delete(partition);
		this.#queues.delete(partition);
	}

	/** Counts the jobs at the head of a queue that fit into one transaction. */
	#countBatch(queue: readonly PendingSubmission[]): number {
		const {transactionBytes} = this.#options.tables.limits;
		let bytes = 0;
		const end = queue.slice(0, maxBatchJobs).findIndex(pending => {
			bytes += pending.bytes;
			return bytes > transactionBytes;
		});
		return end === -1 ? maxBatchJobs : Math.max(1, end);
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
			resolve({outcome: 'refused'});
		}
	}

	/** Commits a batch; on conflicts, jobs that already exist are accepted and the rest are retried. */
	async #commit(batch: readonly PendingSubmission[]): Promise<void> {
		let remaining = [...batch];
		while (remaining.length > 0) {
			const outcome = await this.#options.tables.commit({
				checks: remaining.map(({job, expectedVersion}) => ({...getJobKey(job.id), version: expectedVersion})),
				writes: remaining.map(({job, row}) => ({...getJobKey(job.id), value: row})),
				isRepeatable: true,
			});
			if (outcome.status === 'committed') {
				for (const {job, resolve} of remaining) {
					this.#options.log.info('job accepted', {
						job: job.id, queue: job.queue, account: job.account, version: outcome.version,
					});
					resolve({outcome: 'accepted', account: job.account});
				}

				return;
			}

			remaining = await this.#tryResolveConflicts(remaining, new Set(outcome.conflicts.map(({key}) => key)));
		}
	}

	/**
	 * Resolves conflicts.
	 *
	 * @throws {VerdictError} `may-have-run` when the conflicting rows can't be read, since an earlier attempt may have submitted the jobs.
	 */
	async #tryResolveConflicts(remaining: readonly PendingSubmission[], conflicts: ReadonlySet<string>): Promise<PendingSubmission[]> {
		try {
			return await this.#resolveConflicts(remaining, conflicts);
		} catch (error) {
			throw new VerdictError('reading jobs that were submitted before failed', {verdict: 'may-have-run', code: 'platform_unavailable', cause: error});
		}
	}

	/** Resolves the jobs that already exist, with their owners; returns those that may still be written, including over a tombstone. */
	async #resolveConflicts(remaining: readonly PendingSubmission[], conflicts: ReadonlySet<string>): Promise<PendingSubmission[]> {
		const retried: PendingSubmission[] = [];
		for (const pending of remaining) {
			if (!conflicts.has(pending.job.id)) {
				retried.push(pending);
				continue;
			}

			const row = await this.#options.tables.getRow(getJobKey(pending.job.id));
			if (row !== undefined && !isTombstone(row.value)) {
				this.#options.log.info('job accepted before', {job: pending.job.id, queue: pending.job.queue, version: row.version});
				pending.resolve({outcome: 'accepted', account: getOwner(row)});
			} else {
				pending.expectedVersion = row?.version ?? absentVersion;
				retried.push(pending);
			}
		}

		return retried;
	}

	/** Determines the outcome of a batch whose transaction failed. */
	async #settle(batch: readonly PendingSubmission[], error: unknown): Promise<void> {
		const isUnsent = error instanceof VerdictError && error.verdict === 'not-run';
		this.#options.log.warn('submissions not written', {
			jobs: batch.map(({job}) => job.id).slice(0, 5), count: batch.length, isUnsent, error: readErrorMessage(error),
		});
		if (isUnsent) {
			await Promise.all(batch.map(async pending => {
				pending.resolve(await this.#readOutcome(pending.job));
			}));
			return;
		}

		const services = new Set(batch.map(({job}) => job.service));
		this.#countUnsettled(services, 1);
		await Promise.all(batch.map(async pending => {
			pending.resolve(await this.#settleJob(pending));
		}));
		this.#countUnsettled(services, -1);
	}

	/**
	 * Determines the outcome of one job whose transaction the store turned away: another entry may have submitted the job before. A lookup
	 * that fails, takes long or would be one too many tells nothing.
	 */
	async #readOutcome({id, queue}: Job): Promise<Settlement> {
		const {clock, tables, log} = this.#options;
		if (this.#openLookups >= maxOpenLookups) {
			return {outcome: 'refused'};
		}

		let row: Row | undefined;
		const read = async (): Promise<void> => {
			this.#openLookups++;
			try {
				row = await tables.getRow(getJobKey(id));
			} catch {
				// The store turns reads away as well.
			} finally {
				this.#openLookups--;
			}
		};

		await waitAtMost(clock, read(), maxLookupMs);
		if (row === undefined || isTombstone(row.value)) {
			return {outcome: 'refused'};
		}

		log.info('job accepted before', {job: id, queue, version: row.version});
		return {outcome: 'accepted', account: getOwner(row)};
	}

	#countUnsettled(services: ReadonlySet<ServiceName>, change: 1 | -1): void {
		for (const service of services) {
			this.#unsettled.set(service, (this.#unsettled.get(service) ?? 0) + change);
		}
	}

	/** Determines the outcome of one job: writes a tombstone in its place, so that a late write of it fails, or finds that the job exists. */
	async #settleJob({job, submittedAt, expectedVersion}: PendingSubmission): Promise<Settlement> {
		const {clock, tables, log} = this.#options;
		const key = getJobKey(job.id);
		const deadline = submittedAt + maxSettleMs;
		for (let attempt = 0; attempt < minSettleAttempts || clock.readMonotonic() < deadline; attempt++) {
			const startedAt = clock.readMonotonic();
			try {
				const outcome = await tables.commit({checks: [{...key, version: expectedVersion}], writes: [{...key, value: tombstone}], isRepeatable: true});
				if (outcome.status === 'committed') {
					log.info('job refused permanently', {job: job.id, queue: job.queue, version: outcome.version});
					// No earlier transaction of the job can take effect any more.
					this.#earlier.delete(job.id);
					return {outcome: 'refused'};
				}

				const row = await tables.getRow(key);
				if (row !== undefined && !isTombstone(row.value)) {
					log.info('job accepted', {job: job.id, queue: job.queue, version: row.version});
					return {outcome: 'accepted', account: getOwner(row)};
				}

				return {outcome: 'refused'};
			} catch (error) {
				log.warn('determining the outcome of a submission failed', {job: job.id, attempt, error: readErrorMessage(error)});
				const remainingMs = startedAt + settleIntervalMs - clock.readMonotonic();
				if (remainingMs > 0) {
					await clock.sleep(remainingMs);
				}
			}
		}

		return {outcome: 'unknown'};
	}
}

function countBytes(row: SubmissionRow): number {
	return Buffer.byteLength(JSON.stringify(row));
}

/** Returns the account of a submitted job's row. */
function getOwner(row: Row): AccountName | undefined {
	return (row.value as Partial<Job>).account;
}
