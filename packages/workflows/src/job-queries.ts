/**
 * Reads the states of jobs from the tables, for responses to clients.
 */
import {type AccountName, type JobId, type ServiceName} from '@tamarackwind/core';
import {getKeyAfter, type WatchableTableService} from '@tamarackwind/clients';
import {isTerminal, type JobState} from './jobs.js';
import {
	getCancelKey, getJobKey, getProgressKey, getSubmissionPartition, jobTable, parseCancelKey,
} from './table-keys.js';
import {decodeJob, decodeProgress} from './records.js';

/** State of a job and the account that owns it; a job without an owner has none. */
export type JobStatus = {readonly state: JobState; readonly account: AccountName | undefined};

/** Maximum number of cached terminal states, which never change. */
const maxCachedStatuses = 4096;

/** Reads the states of jobs. */
export class JobQueries {
	static create(tables: WatchableTableService): JobQueries {
		return new JobQueries(tables);
	}

	readonly #cachedStatuses = new Map<JobId, JobStatus>();

	private constructor(private readonly tables: WatchableTableService) {}

	/** Reads the state and the owner of a job; `undefined` when there is no such job. `service` is the one that its queue belongs to now, which may differ from the one that runs the job. */
	async getStatus(service: ServiceName, id: JobId): Promise<JobStatus | undefined> {
		const cached = this.#cachedStatuses.get(id);
		if (cached !== undefined) {
			return cached;
		}

		const status = await this.#readProgress(service, id) ?? await this.#readSubmission(service, id);
		if (status !== undefined) {
			this.#storeStatus(id, status);
		}

		return status;
	}

	/** Reads the head row of the progress, which includes a cancellation once the holder has processed it. */
	async #readProgress(service: ServiceName, id: JobId): Promise<JobStatus | undefined> {
		const row = await this.tables.getRow(getProgressKey(service, id));
		if (row === undefined) {
			return undefined;
		}

		const {state, account} = decodeProgress(row.value);
		return {state, account};
	}

	async #readSubmission(service: ServiceName, id: JobId): Promise<JobStatus | undefined> {
		const {rows} = await this.tables.readRange(jobTable, {
			partition: getSubmissionPartition(id), from: getJobKey(id).key, to: getKeyAfter(getCancelKey(id).key),
		});
		const row = rows.find(({key}) => key === id);
		const job = row === undefined ? undefined : decodeJob(id, row.value);
		if (job === undefined) {
			return undefined;
		}

		const progress = job.service === service ? undefined : await this.#readProgress(job.service, id);
		return progress ?? {state: rows.some(({key}) => parseCancelKey(key) === id) ? 'cancelled' : 'queued', account: job.account};
	}

	#storeStatus(id: JobId, status: JobStatus): void {
		if (isTerminal(status.state)) {
			this.#cachedStatuses.set(id, status);
			const oldest = this.#cachedStatuses.size > maxCachedStatuses ? this.#cachedStatuses.keys().next().value : undefined;
			if (oldest !== undefined) {
				this.#cachedStatuses.delete(oldest);
			}
		}
	}
}
