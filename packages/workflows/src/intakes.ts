/**
 * Acceptance of jobs at an entry: one conditional insert each, gathered into one transaction a partition at a time.
 */
import {
	readErrorMessage, VerdictError, type Clock, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {
	absentVersion, platformBusyCode, type Row, type WatchedTableService,
} from '@tamarackwind/clients';
import {type DecisionLog} from './decision-logs.js';
import {type Job} from './jobs.js';
import {getCancelKey, getJobKey, getSubmissionPartition} from './layouts.js';
import {encodeJob, tombstone, type SubmissionRow} from './records.js';

/**
 * - `accepted`: the job is durable, now or since an earlier attempt.
 * - `refused`: it is not and never will be by this attempt.
 * - `unknown`: its write may still take effect.
 */
export type SubmitOutcome = 'accepted' | 'refused' | 'unknown';

export type IntakeOptions = {
	readonly clock: Clock;
	readonly tables: WatchedTableService;
	readonly log: DecisionLog;
};

/** Jobs in one transaction; the service takes 100 entries, and a job may need a condition and a write. */
const batchJobs = 40;
/** Time in which submissions gather, in milliseconds. */
const gatherMs = 3;
/** Time without an answer after which a transaction is in doubt, in milliseconds: above that of a store ninety times slower, after the one before it. */
const doubtMs = 1500;
/** Time for which a submission may wait for its turn at a partition that is busy, in milliseconds: a second try elsewhere would take longer. */
const busyWaitMs = 1000;
/** Pause before a transaction that a busy partition turned away is tried again, in milliseconds. */
const busyPauseMs = 150;
/** Tries to settle a write whose answer was lost, before its outcome counts as unknown. */
const settleTries = 2;

type Pending = {readonly job: Job; readonly submittedAt: number; readonly resolve: (outcome: SubmitOutcome) => void; expectedVersion: number; isAnswered: boolean};

/** Accepts and cancels jobs. */
export class Intake {
	static create(options: IntakeOptions): Intake {
		return new Intake(options);
	}

	readonly #options: IntakeOptions;
	/** Submissions that have not been sent, by partition. */
	readonly #queues = new Map<string, Pending[]>();
	/** When the transaction in flight of each partition was sent, on the monotonic clock. */
	readonly #sentAt = new Map<string, number>();
	/** Writes of each service whose outcome is being found out. */
	readonly #unsettled = new Map<ServiceName, number>();

	private constructor(options: IntakeOptions) {
		this.#options = options;
	}

	/** Submits a job; a job that is already there is accepted again. While the store is in doubt, it is refused at once and untried. */
	async submit(job: Job): Promise<SubmitOutcome> {
		const partition = getSubmissionPartition(job.service, job.id);
		if (this.#isInDoubt(job.service, partition)) {
			this.#options.log.info('submission refused', {job: job.id, queue: job.queue, reason: 'earlier submissions are not answered'});
			return 'refused';
		}

		return new Promise(resolve => {
			const pending: Pending = {
				job, resolve(outcome) {
					pending.isAnswered = true;
					resolve(outcome);
				}, submittedAt: this.#options.clock.readMonotonic(), expectedVersion: absentVersion, isAnswered: false,
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
	 * @returns whether there is such a job.
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
		return (this.#unsettled.get(service) ?? 0) > 0 || (sentAt !== undefined && this.#options.clock.readMonotonic() - sentAt > doubtMs);
	}

	async #drain(service: ServiceName, partition: string, queue: Pending[]): Promise<void> {
		const {clock} = this.#options;
		await clock.sleep(gatherMs);
		while (queue.length > 0) {
			const batch = queue.splice(0, batchJobs);
			this.#sentAt.set(partition, clock.readMonotonic());
			try {
				await this.#commit(batch);
			} catch (error) {
				const open = batch.filter(({isAnswered}) => !isAnswered);
				if (this.#isWaiting(open, error)) {
					queue.unshift(...open);
					await clock.sleep(busyPauseMs);
				} else {
					void this.#settle(service, open, error);
					this.#refuseUnsent(queue.splice(0));
				}
			}
		}

		this.#sentAt.delete(partition);
		this.#queues.delete(partition);
	}

	/** Tells whether a batch was only turned away for now and its jobs can still wait. */
	#isWaiting(batch: readonly Pending[], error: unknown): boolean {
		const now = this.#options.clock.readMonotonic();
		return error instanceof VerdictError && error.code === platformBusyCode && batch.every(({submittedAt}) => now - submittedAt < busyWaitMs);
	}

	/** Refuses jobs that have not been sent: they need not wait for what becomes of those before them. */
	#refuseUnsent(unsent: readonly Pending[]): void {
		for (const {job, resolve} of unsent) {
			this.#options.log.info('submission refused', {job: job.id, queue: job.queue, reason: 'the store did not answer the one before'});
			resolve('refused');
		}
	}

	/** Commits a batch; jobs that are already there are left out and the rest tried again. */
	async #commit(batch: readonly Pending[]): Promise<void> {
		let open = [...batch];
		while (open.length > 0) {
			const outcome = await this.#options.tables.commit({
				checks: open.map(({job, expectedVersion}) => ({...getJobKey(job.service, job.id), version: expectedVersion})),
				writes: open.map(({job}) => ({...getJobKey(job.service, job.id), value: encodeJob(job)})),
			});
			if (outcome.status === 'committed') {
				for (const {job, resolve} of open) {
					this.#options.log.info('job accepted', {job: job.id, queue: job.queue, version: outcome.version});
					resolve('accepted');
				}

				return;
			}

			open = await this.#resolveConflicts(open, new Set(outcome.conflicts.map(({key}) => key)));
		}
	}

	/** Answers for jobs that are there; gives those that may still be written, over a tombstone too. */
	async #resolveConflicts(open: readonly Pending[], conflicts: ReadonlySet<string>): Promise<Pending[]> {
		const rest: Pending[] = [];
		for (const pending of open) {
			if (!conflicts.has(pending.job.id)) {
				rest.push(pending);
				continue;
			}

			const row = await this.#options.tables.getRow(getJobKey(pending.job.service, pending.job.id));
			if (row !== undefined && !isTombstone(row)) {
				this.#options.log.info('job accepted before', {job: pending.job.id, queue: pending.job.queue, version: row.version});
				pending.resolve('accepted');
			} else {
				pending.expectedVersion = row?.version ?? absentVersion;
				rest.push(pending);
			}
		}

		return rest;
	}

	/** Finds out what became of a batch whose transaction failed. */
	async #settle(service: ServiceName, batch: readonly Pending[], error: unknown): Promise<void> {
		this.#unsettled.set(service, (this.#unsettled.get(service) ?? 0) + 1);
		const isUnsent = error instanceof VerdictError && error.verdict === 'not-run';
		this.#options.log.warn('submissions not written', {
			jobs: batch.map(({job}) => job.id).slice(0, 5), count: batch.length, isUnsent, error: readErrorMessage(error),
		});
		await Promise.all(batch.map(async pending => {
			pending.resolve(isUnsent ? 'refused' : await this.#settleOne(pending));
		}));
		this.#unsettled.set(service, (this.#unsettled.get(service) ?? 1) - 1);
	}

	/** Reads a job back, or writes a tombstone in its place so that a late write of it fails. */
	async #settleOne({job, expectedVersion}: Pending): Promise<SubmitOutcome> {
		const {tables, log} = this.#options;
		const key = getJobKey(job.service, job.id);
		for (let attempt = 0; attempt < settleTries; attempt++) {
			try {
				const outcome = await tables.commit({checks: [{...key, version: expectedVersion}], writes: [{...key, value: tombstone}]});
				if (outcome.status === 'committed') {
					log.info('job refused for good', {job: job.id, queue: job.queue, version: outcome.version});
					return 'refused';
				}

				const row = await tables.getRow(key);
				if (row !== undefined && !isTombstone(row)) {
					log.info('job accepted', {job: job.id, queue: job.queue, version: row.version});
					return 'accepted';
				}

				return 'refused';
			} catch (error) {
				log.warn('submission not settled', {job: job.id, attempt, error: readErrorMessage(error)});
			}
		}

		return 'unknown';
	}
}

function isTombstone(row: Row): boolean {
	return 'isRefused' in (row.value as SubmissionRow);
}
