/**
 * Reads the states of jobs from the tables, for responses to clients.
 */
import {type JobId, type ServiceName} from '@tamarackwind/core';
import {getKeyAfter, type Row, type WatchableTableService} from '@tamarackwind/clients';
import {isTerminal, type JobState} from './jobs.js';
import {
	getCancelKey, getJobKey, getJobTable, getProgressKey, getSubmissionPartition, parseCancelKey,
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

	/** Reads the state of a job that may belong to any of the services; `undefined` when there is no such job. */
	async getState(services: readonly ServiceName[], id: JobId): Promise<JobState | undefined> {
		const cached = this.#cachedStates.get(id);
		if (cached !== undefined) {
			return cached;
		}

		for (const service of services) {
			const state = await this.#readState(service, id);
			if (state !== undefined) {
				this.#storeState(id, state);
				return state;
			}
		}

		return undefined;
	}

	async #readState(service: ServiceName, id: JobId): Promise<JobState | undefined> {
		const progress = await this.tables.getRow(getProgressKey(service, id));
		if (progress !== undefined) {
			// The progress row includes a cancellation once the holder has processed it.
			return decodeProgress(progress.value).state;
		}

		const {rows} = await this.tables.readRange(getJobTable(service), {
			partition: getSubmissionPartition(service, id), from: getJobKey(service, id).key, to: getKeyAfter(getCancelKey(service, id).key),
		});
		const isSubmitted = rows.some(row => row.key === id && decodeJob(id, service, row.value) !== undefined);
		if (!isSubmitted) {
			return undefined;
		}

		return rows.some((row: Row) => parseCancelKey(row.key) === id) ? 'cancelled' : 'queued';
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
