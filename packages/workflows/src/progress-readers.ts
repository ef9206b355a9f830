/**
 * Reads the progress that earlier holders have written, and restores the jobs of a service from it.
 */
import {
	readErrorMessage, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {
	type Row, type RowKey, type TableLimits, type WatchableTableService,
} from '@tamarackwind/clients';
import {ActiveJob} from './active-jobs.js';
import {type JobChange} from './job-feeds.js';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {partSeparator} from './progress-layouts.js';
import {decodeProgress, decodeProgressPart, type Progress} from './records.js';
import {fenceKey, getProgressPartition, progressTable} from './table-keys.js';

export type ProgressReaderOptions = {
	readonly tables: WatchableTableService;
	readonly log: RateLimitedLog;
	readonly service: ServiceName;
};

/** Progress of the jobs of one service, and the jobs whose progress can't be read. */
export type SavedProgress = {
	readonly progress: ReadonlyMap<JobId, Progress>;
	readonly unreadable: ReadonlySet<JobId>;
	/** Keys of all rows of each job. */
	readonly keys: ReadonlyMap<JobId, readonly RowKey[]>;
};

/** Reads the progress of all jobs of a service. */
export async function readProgress({tables, log, service}: ProgressReaderOptions): Promise<SavedProgress> {
	const {rows} = await tables.listRange(progressTable, {partition: getProgressPartition(service)});
	const progress = new Map<JobId, Progress>();
	const unreadable = new Set<JobId>();
	const keys = new Map<JobId, RowKey[]>();
	for (const row of rows.filter(({key}) => key !== fenceKey)) {
		const id = row.key.split(partSeparator)[0] as JobId;
		keys.set(id, [...keys.get(id) ?? [], {table: row.table, partition: row.partition, key: row.key}]);
		try {
			progress.set(id, mergeRow(progress.get(id), row, id));
		} catch (error) {
			unreadable.add(id);
			log.warn('progress row is invalid', {
				service, job: id, row: row.key, version: row.version, error: readErrorMessage(error),
			});
		}
	}

	return {progress, unreadable, keys};
}

/** Adds a row to the progress of its job. The head row sorts before the further ones; it is missing only if a deletion was interrupted. */
function mergeRow(known: Progress | undefined, {key, value}: Row, id: JobId): Progress {
	if (key === id) {
		return decodeProgress(value);
	}

	const {steps} = decodeProgressPart(value);
	return known === undefined ? {state: 'running', steps} : {...known, steps: [...known.steps, ...steps]};
}

/** Restores the submitted jobs. One whose progress can't be read is not scheduled, since its tasks may have run already. */
export function restoreJobs(submissions: readonly JobChange[], {progress, unreadable}: SavedProgress, now: {readonly monotonic: number; readonly wall: number}, limits: TableLimits): ActiveJob[] {
	const jobs = new Map<JobId, ActiveJob>();
	for (const change of submissions.filter(({id}) => !unreadable.has(id))) {
		if (change.kind === 'submitted') {
			const active = ActiveJob.create(change.job, now, limits);
			const saved = progress.get(change.id);
			if (saved !== undefined) {
				active.restoreProgress(saved);
			}

			jobs.set(change.id, active);
		} else {
			const active = jobs.get(change.id);
			if (active !== undefined && !active.isTerminal) {
				active.isCancelled = true;
			}
		}
	}

	for (const active of jobs.values()) {
		active.updateState();
	}

	return [...jobs.values()];
}
