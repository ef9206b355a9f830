/**
 * Reads the jobs of a service for its scheduler: first all stored jobs, then each submission and cancellation as it is committed.
 */
import {
	readErrorMessage, type Clock, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {type Row, type RowChange, type WatchableTableService} from '@tamarackwind/clients';
import {ActiveJob, type Task} from './active-jobs.js';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {type Job} from './jobs.js';
import {
	fenceKey, getCancelKey, getJobKey, getJobTable, getProgressKey, getProgressPartition, getSubmissionPartition, listSubmissionPartitions, parseCancelKey, progressTable,
} from './table-keys.js';
import {decodeJob, decodeProgress, type Progress} from './records.js';
import {type Timings} from './timings.js';

/** A decoded change of the submitted jobs. */
export type JobChange
	= | {readonly kind: 'submitted'; readonly id: JobId; readonly job: Job; readonly version: number}
		| {readonly kind: 'cancelled'; readonly id: JobId};

export type JobFeedOptions = {
	readonly clock: Clock;
	readonly tables: WatchableTableService;
	readonly log: RateLimitedLog;
	readonly service: ServiceName;
	readonly retentionMs: number;
	readonly timings: Timings;
	readonly onChanges: (changes: readonly JobChange[]) => void;
};

/** Delay after a failed watch, in milliseconds. */
const retryDelayMs = 100;
/** Interval at which jobs past their retention are removed, in milliseconds. */
const removalIntervalMs = 5000;
/** Maximum number of jobs removed in one transaction. */
const maxRemovals = 30;

/** Reads and watches the submissions of one service. */
export class JobFeed {
	static create(options: JobFeedOptions): JobFeed {
		return new JobFeed(options);
	}

	readonly #options: JobFeedOptions;
	/** Ended jobs, with the time at which their rows may be deleted. */
	readonly #ended = new Map<JobId, number>();
	#version = 0;
	/** Version at which each partition of the service was last listed; changes up to it are known. */
	#listedVersions: ReadonlyMap<string, number> = new Map();
	#isClosed = false;

	private constructor(options: JobFeedOptions) {
		this.#options = options;
	}

	/** Reads all stored jobs with their progress; `orphans` are the tasks that an earlier holder had assigned. */
	async load(): Promise<{jobs: ActiveJob[]; orphans: Task[]}> {
		const {service, clock, log} = this.#options;
		const {progress, unreadable} = await this.#readProgress();
		const rows = await this.#readSubmissions();
		const now = {monotonic: clock.readMonotonic(), wall: clock.readWall()};
		const jobs = new Map<JobId, ActiveJob>();
		for (const item of this.#decodeRows(rows)) {
			if (unreadable.has(item.id)) {
				continue;
			}

			if (item.kind === 'submitted') {
				const active = ActiveJob.create(item.job, now);
				const saved = progress.get(item.id);
				if (saved !== undefined) {
					active.restoreProgress(saved);
				}

				jobs.set(item.id, active);
			} else {
				const active = jobs.get(item.id);
				if (active !== undefined && !active.isTerminal) {
					active.isCancelled = true;
				}
			}
		}

		for (const active of jobs.values()) {
			active.updateState();
		}

		const all = [...jobs.values()];
		const orphans = all.flatMap(active => active.tasks.filter(task => task.incarnation !== undefined));
		log.info('service loaded', {
			service, jobs: all.length, running: all.filter(active => !active.isTerminal).length, orphans: orphans.length, version: this.#version,
		});
		return {jobs: all, orphans};
	}

	/** Watches changes and removes jobs past their retention, until `close`. */
	start(): void {
		void this.#watchAll();
		void this.#removeEnded();
	}

	/** Schedules the rows of an ended job for deletion at the end of its retention. */
	scheduleRemoval(active: ActiveJob): void {
		const {clock, retentionMs} = this.#options;
		const age = Math.max(0, clock.readWall() - (active.endedAt ?? clock.readWall()));
		this.#ended.set(active.job.id, clock.readMonotonic() + retentionMs - Math.min(age, retentionMs));
	}

	close(): void {
		this.#isClosed = true;
	}

	/** Lists the submissions of all partitions; the watch continues from the lowest version of these listings. */
	async #readSubmissions(): Promise<Row[]> {
		const {tables, service} = this.#options;
		const ranges = await Promise.all(listSubmissionPartitions(service).map(async partition => ({partition, ...await tables.listRange(getJobTable(service), {partition})})));
		this.#listedVersions = new Map(ranges.map(({partition, version}) => [partition, version]));
		this.#version = Math.min(...this.#listedVersions.values());
		return ranges.flatMap(({rows}) => rows);
	}

	/** Reads the progress of all jobs. A job whose row is unreadable is not scheduled, since its tasks may have run already. */
	async #readProgress(): Promise<{progress: Map<JobId, Progress>; unreadable: Set<JobId>}> {
		const {tables, service, log} = this.#options;
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

	async #watchAll(): Promise<void> {
		const {clock, log, service} = this.#options;
		while (!this.#isClosed) {
			try {
				await this.#watch();
			} catch (error) {
				log.warn('watching submissions failed', {service, error: readErrorMessage(error)});
				await clock.sleep(retryDelayMs);
			}
		}
	}

	async #watch(): Promise<void> {
		const {tables, service, log, onChanges, timings} = this.#options;
		const outcome = await tables.watchRows(getJobTable(service), {after: this.#version, waitMs: timings.submissionWatchMs});
		if (this.#isClosed) {
			return;
		}

		if (outcome.status === 'changes') {
			this.#version = outcome.version;
			const changes = outcome.changes.filter(change => change.version > (this.#listedVersions.get(change.partition ?? '') ?? Number.POSITIVE_INFINITY) && change.value !== undefined);
			if (changes.length > 0) {
				onChanges(this.#decodeRows(changes));
			}
		} else {
			log.info('submission history expired; listing all submissions again', {service, version: this.#version});
			const rows = await this.#readSubmissions();
			onChanges(this.#decodeRows(rows.filter(row => !this.#ended.has(row.key as JobId))));
		}
	}

	#decodeRows(rows: ReadonlyArray<Row | RowChange>): JobChange[] {
		const {service, log} = this.#options;
		const changes: JobChange[] = [];
		for (const {key, value, version} of rows) {
			const cancelled = parseCancelKey(key);
			if (cancelled !== undefined) {
				changes.push({kind: 'cancelled', id: cancelled});
				continue;
			}

			try {
				const job = decodeJob(key as JobId, service, value);
				if (job !== undefined) {
					changes.push({
						kind: 'submitted', id: job.id, job, version,
					});
				}
			} catch (error) {
				log.warn('job row is invalid', {
					service, job: key, version, error: readErrorMessage(error),
				});
			}
		}

		return changes;
	}

	async #removeEnded(): Promise<void> {
		const {clock, log, service} = this.#options;
		while (!this.#isClosed) {
			await clock.sleep(removalIntervalMs);
			const now = clock.readMonotonic();
			const due = [...this.#ended].filter(([, at]) => at <= now).map(([id]) => id).slice(0, maxRemovals);
			try {
				await this.#removeJobs(due);
			} catch (error) {
				log.warn('removing ended jobs failed', {service, jobs: due.length, error: readErrorMessage(error)});
			}
		}
	}

	async #removeJobs(ids: readonly JobId[]): Promise<void> {
		const {tables, service} = this.#options;
		if (ids.length === 0 || this.#isClosed) {
			return;
		}

		const partitions = new Set(ids.map(id => getSubmissionPartition(service, id)));
		await Promise.all([...partitions].map(async partition => {
			const part = ids.filter(id => getSubmissionPartition(service, id) === partition);
			return tables.commit({checks: [], writes: part.flatMap(id => [getJobKey(service, id), getCancelKey(service, id)])});
		}));
		await tables.commit({checks: [], writes: ids.map(id => getProgressKey(service, id))});
		for (const id of ids) {
			this.#ended.delete(id);
		}
	}
}

