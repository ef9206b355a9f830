/**
 * Cancels jobs at an entry. A job that is not stored may be on its way at another entry or in the store, so the absence of its row alone does not
 * tell that it will never run: its cancellation is stored in advance, and the holder starts no task of a job that is stored later.
 */
import {VerdictError, type Clock, type JobId} from '@tamarackwind/core';
import {
	absentVersion, platformBusyCode, type Row, type WatchableTableService,
} from '@tamarackwind/clients';
import {type Principal} from './principals.js';
import {RateBudget} from './rate-budgets.js';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {type Job} from './jobs.js';
import {decodeAdvanceCancellation, isTombstone} from './records.js';
import {getAdvanceCancelKey, getCancelKey, getJobKey} from './table-keys.js';
import {addCanceller, isCoveredFor} from './advance-cancellations.js';

/**
 * - `cancelled`: the job will start no further tasks.
 * - `absent`: there is no such job, and one whose submission is on its way will start no tasks.
 * - `foreign`: the job belongs to another account; nothing was changed.
 * - `limited`: there is no such job yet, and too many cancellations of that kind came lately; nothing was changed.
 */
export type CancelOutcome = 'cancelled' | 'absent' | 'foreign' | 'limited';

export type JobCancellerOptions = {
	readonly clock: Clock;
	readonly tables: WatchableTableService;
	readonly log: RateLimitedLog;
};

/** Number of times that the rows of a job may change during its cancellation, as at its removal. */
const maxChanges = 4;
/** Time after which no call of the store is repeated, in milliseconds: the usual timeout of a caller, less that of a call. */
const maxRetryMs = 2000;
/** Delay before a call of the store is repeated, in milliseconds. */
const retryDelayMs = 100;
/** Advance cancellations that one entry writes: a client that invents ids must not use up the write rate of the store. */
const advanceBudget = {burst: 300, perS: 5} as const;

type Cancellation = {
	readonly id: JobId;
	readonly principal: Principal;
	/** Time of the request, on the monotonic clock. */
	readonly startedAt: number;
	/** Whether an advance cancellation is within the budget of the entry. */
	isCounted: boolean;
	/** Row of an earlier advance cancellation, once a conflict has shown that there is one. */
	advance?: Row;
};

/** Cancels jobs, whether they are stored or on their way. */
export class JobCanceller {
	static create(options: JobCancellerOptions): JobCanceller {
		return new JobCanceller(options);
	}

	readonly #options: JobCancellerOptions;
	readonly #budget: RateBudget;

	private constructor(options: JobCancellerOptions) {
		this.#options = options;
		this.#budget = RateBudget.create({clock: options.clock, ...advanceBudget});
	}

	/**
	 * Cancels a job. A call of the store without an answer is repeated while the caller may wait, since cancellations may be repeated: one that waits
	 * behind the submission of its job in a slow partition outlasts the timeout of a call.
	 *
	 * @throws {VerdictError} when the outcome is unknown.
	 */
	async cancel(id: JobId, principal: Principal): Promise<CancelOutcome> {
		const {clock} = this.#options;
		const cancellation: Cancellation = {
			id, principal, startedAt: clock.readMonotonic(), isCounted: false,
		};
		for (let changes = 0; changes < maxChanges;) {
			try {
				const outcome = await this.#tryOnce(cancellation);
				if (outcome !== undefined) {
					return outcome;
				}

				changes++;
			} catch (error) {
				if (!this.#isRetryable(cancellation, error)) {
					throw error;
				}

				await clock.sleep(retryDelayMs);
			}
		}

		throw new VerdictError(`job "${id}" changed during each of ${maxChanges} attempts to cancel it`, {verdict: 'may-have-run', code: 'job_changing'});
	}

	/** Makes one attempt; `undefined` if a row has changed during it. */
	async #tryOnce(cancellation: Cancellation): Promise<CancelOutcome | undefined> {
		const row = await this.#options.tables.getRow(getJobKey(cancellation.id));
		return row === undefined || isTombstone(row.value) ? this.#tryCancelInAdvance(cancellation) : this.#tryCancel(cancellation, row);
	}

	/** Reports whether a call of the store had no answer, or waited behind too many others, and the caller may still wait. */
	#isRetryable({startedAt}: Cancellation, error: unknown): boolean {
		const isOverdue = error instanceof VerdictError && (error.verdict === 'may-have-run' || error.code === platformBusyCode);
		return isOverdue && this.#options.clock.readMonotonic() - startedAt < maxRetryMs;
	}

	/** Cancels a stored job; `undefined` if its row has changed since it was read. */
	async #tryCancel({id, principal}: Cancellation, {version, value}: Row): Promise<CancelOutcome | undefined> {
		if (!principal.hasAccess((value as Partial<Job>).account)) {
			return 'foreign';
		}

		const {tables} = this.#options;
		const outcome = await tables.commit({
			checks: [{...getJobKey(id), version}],
			writes: [{...getCancelKey(id), value: {}}],
			isRepeatable: true,
		});
		return outcome.status === 'committed' ? 'cancelled' : undefined;
	}

	/** Cancels a job that is not stored; `undefined` if another advance cancellation of the job was written at the same time. */
	async #tryCancelInAdvance(cancellation: Cancellation): Promise<CancelOutcome | undefined> {
		const {tables, log} = this.#options;
		const {id, principal, advance} = cancellation;
		if (advance !== undefined && isCoveredFor(decodeAdvanceCancellation(advance.value), principal)) {
			return 'absent';
		}

		cancellation.isCounted ||= this.#budget.tryConsume();
		if (!cancellation.isCounted) {
			log.warn('cancellation refused', {job: id, reason: 'too many cancellations of jobs that are not stored'});
			return 'limited';
		}

		const key = getAdvanceCancelKey(id);
		const outcome = await tables.commit({
			checks: [{...key, version: advance?.version ?? absentVersion}],
			writes: [{...key, value: addCanceller(decodeAdvanceCancellation(advance?.value ?? {}), principal)}],
			isRepeatable: true,
		});
		if (outcome.status === 'conflict') {
			cancellation.advance = await tables.getRow(key);
			return undefined;
		}

		log.info('job cancelled before it was stored', {job: id, account: principal.account?.name, version: outcome.version});
		return 'absent';
	}
}
