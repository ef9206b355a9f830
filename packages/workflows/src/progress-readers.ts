/**
 * Reads the progress that earlier holders have written, and restores the jobs of a service from it.
 */
import {
	readErrorMessage, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {type WatchableTableService} from '@tamarackwind/clients';
import {ActiveJob} from './active-jobs.js';
import {type JobChange} from './job-feeds.js';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {decodeProgress, type Progress} from './records.js';
import {fenceKey, getProgressPartition, progressTable} from './table-keys.js';

export type ProgressReaderOptions = {
	readonly tables: WatchableTableService;
	readonly log: RateLimitedLog;
	readonly service: ServiceName;
};

/** Progress of the jobs of one service, and the jobs whose progress can't be read. */
export type SavedProgress = {readonly progress: ReadonlyMap<JobId, Progress>; readonly unreadable: ReadonlySet<JobId>};

/** Reads the progress of all jobs of a service. */
export async function readProgress({tables, log, service}: ProgressReaderOptions): Promise<SavedProgress> {
	const {rows} = await tables.listRange(progressTable, {partition: getProgressPartition(service)});
	const progress = new Map<JobId, Progress>();
	const unreadable = new Set<JobId>();
	for (const {key, value, version} of rows.filter(row => row.key !== fenceKey)) {
		try {
			progress.set(key as JobId, decodeProgress(value));
		} catch (error) {
			unreadable.add(key as JobId);
			log.warn('progress row is invalid', {
				service, job: key, version, error: readErrorMessage(error),
			});
		}
	}

	return {progress, unreadable};
}

/** Restores the submitted jobs. One whose progress can't be read is not scheduled, since its tasks may have run already. */
export function restoreJobs(submissions: readonly JobChange[], {progress, unreadable}: SavedProgress, now: {readonly monotonic: number; readonly wall: number}): ActiveJob[] {
	const jobs = new Map<JobId, ActiveJob>();
	for (const change of submissions.filter(({id}) => !unreadable.has(id))) {
		if (change.kind === 'submitted') {
			const active = ActiveJob.create(change.job, now);
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
