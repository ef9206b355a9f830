/**
 * States of jobs as entries tell them to clients, read from the tables.
 */
import {type JobId, type ServiceName} from '@tamarackwind/core';
import {getKeyAfter, type Row, type WatchedTableService} from '@tamarackwind/clients';
import {isTerminal, type JobState} from './jobs.js';
import {
	getCancelKey, getJobKey, getJobTable, getProgressKey, getSubmissionPartition, parseCancelKey,
} from './layouts.js';
import {decodeJob, decodeProgress} from './records.js';

/** Terminal states kept, which never change. */
const keptStates = 4096;

/** Reads the states of jobs. */
export class JobQueries {
	static create(tables: WatchedTableService): JobQueries {
		return new JobQueries(tables);
	}

	readonly #kept = new Map<JobId, JobState>();

	private constructor(private readonly tables: WatchedTableService) {}

	/** Reads the state of a job among the services that may have it; `undefined` when there is no such job. */
	async getState(services: readonly ServiceName[], id: JobId): Promise<JobState | undefined> {
		const kept = this.#kept.get(id);
		if (kept !== undefined) {
			return kept;
		}

		for (const service of services) {
			const state = await this.#readState(service, id);
			if (state !== undefined) {
				this.#store(id, state);
				return state;
			}
		}

		return undefined;
	}

	async #readState(service: ServiceName, id: JobId): Promise<JobState | undefined> {
		const progress = await this.tables.getRow(getProgressKey(service, id));
		if (progress !== undefined) {
			// A cancellation shows here as soon as the holder has taken it in.
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

	#store(id: JobId, state: JobState): void {
		if (isTerminal(state)) {
			this.#kept.set(id, state);
			const oldest = this.#kept.size > keptStates ? this.#kept.keys().next().value : undefined;
			if (oldest !== undefined) {
				this.#kept.delete(oldest);
			}
		}
	}
}
