/**
 * Reads the states of jobs from the tables, for responses to clients.
 */
import {type JobId, type ServiceName} from '@tamarackwind/core';
import {getKeyAfter, type WatchableTableService} from '@tamarackwind/clients';
import {isTerminal, type JobState} from './jobs.js';
import {
	getCancelKey, getJobKey, getProgressKey, getSubmissionPartition, jobTable, parseCancelKey,
} from './table-keys.js';
import {decodeJob, decodeProgress} from './records.js';

/** Maximum number of cached terminal states, which never change. */
const maxCachedStates = 4096;

/** Reads the states of jobs. */
export class JobQueries {
	static create(tables: WatchableTableService): JobQueries {
		return new JobQueries(tables);
	}

	readonly #cachedStates = new Map<JobId, JobState>();

	private constructor(private readonly tables: WatchableTableService) {}

	/** Reads the state of a job; `undefined` when there is no such job. `service` is the one that its queue belongs to now, which may differ from the one that runs the job. */
	async getState(service: ServiceName, id: JobId): Promise<JobState | undefined> {
		const cached = this.#cachedStates.get(id);
		if (cached !== undefined) {
			return cached;
		}

		const state = await this.#readProgressState(service, id) ?? await this.#readSubmissionState(service, id);
		if (state !== undefined) {
			this.#storeState(id, state);
		}

		return state;
	}

	/** Reads the state in the progress row, which includes a cancellation once the holder has processed it. */
	async #readProgressState(service: ServiceName, id: JobId): Promise<JobState | undefined> {
		const progress = await this.tables.getRow(getProgressKey(service, id));
		return progress === undefined ? undefined : decodeProgress(progress.value).state;
	}

	async #readSubmissionState(service: ServiceName, id: JobId): Promise<JobState | undefined> {
		const {rows} = await this.tables.readRange(jobTable, {
			partition: getSubmissionPartition(id), from: getJobKey(id).key, to: getKeyAfter(getCancelKey(id).key),
		});
		const row = rows.find(({key}) => key === id);
		const job = row === undefined ? undefined : decodeJob(id, row.value);
		if (job === undefined) {
			return undefined;
		}

		const state = job.service === service ? undefined : await this.#readProgressState(job.service, id);
		return state ?? (rows.some(({key}) => parseCancelKey(key) === id) ? 'cancelled' : 'queued');
	}

	#storeState(id: JobId, state: JobState): void {
		if (isTerminal(state)) {
			this.#cachedStates.set(id, state);
			const oldest = this.#cachedStates.size > maxCachedStates ? this.#cachedStates.keys().next().value : undefined;
			if (oldest !== undefined) {
				this.#cachedStates.delete(oldest);
			}
		}
	}
}
