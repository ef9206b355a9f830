/**
 * The jobs of a service as its holder reads them: all at first, then each submission and cancellation as it is committed.
 */
import {
	readErrorMessage, type Clock, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {type Row, type RowChange, type WatchedTableService} from '@tamarackwind/clients';
import {ActiveJob, type Task} from './active-jobs.js';
import {type DecisionLog} from './decision-logs.js';
import {type Job} from './jobs.js';
import {
	fenceKey, getCancelKey, getJobKey, getJobTable, getProgressKey, getProgressPartition, getSubmissionPartition, listSubmissionPartitions, parseCancelKey, progressTable,
} from './layouts.js';
import {decodeJob, decodeProgress, type Progress} from './records.js';

/** What a change of the submissions means. */
export type JobNews
	= | {readonly kind: 'submitted'; readonly id: JobId; readonly job: Job; readonly version: number}
		| {readonly kind: 'cancelled'; readonly id: JobId};

export type JobFeedOptions = {
	readonly clock: Clock;
	readonly tables: WatchedTableService;
	readonly log: DecisionLog;
	readonly service: ServiceName;
	readonly retentionMs: number;
	readonly onNews: (news: readonly JobNews[]) => void;
};

/** Longest wait of one watch, in milliseconds; a connection that has gone silent shows at its end. */
const watchWaitMs = 1000;
/** Pause after a watch that failed, in milliseconds. */
const retryMs = 100;
/** Pause between two removals of jobs whose retention has ended, in milliseconds. */
const removalIntervalMs = 5000;
/** Jobs removed in one transaction. */
const removalBatch = 30;

/** Reads and follows the submissions of one service. */
export class JobFeed {
	static create(options: JobFeedOptions): JobFeed {
		return new JobFeed(options);
	}

	readonly #options: JobFeedOptions;
	/** Ended jobs by the time when their rows may go. */
	readonly #ended = new Map<JobId, number>();
	#version = 0;
	/** Version at which each partition of the service was read; changes up to it are known. */
	#readAt: ReadonlyMap<string, number> = new Map();
	#isClosed = false;

	private constructor(options: JobFeedOptions) {
		this.#options = options;
	}

	/** Reads all jobs that have not ended, with their progress; `orphans` are the tasks that an earlier holder had assigned. */
	async load(): Promise<{jobs: ActiveJob[]; orphans: Task[]}> {
		const {service, clock, log} = this.#options;
		const progress = await this.#readProgress();
		const rows = await this.#readSubmissions();
		const now = {monotonic: clock.readMonotonic(), wall: clock.readWall()};
		const jobs = new Map<JobId, ActiveJob>();
		for (const item of this.#decodeRows(rows)) {
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
		const orphans = all.flatMap(active => active.tasks.filter(task => task.life !== undefined));
		log.info('service loaded', {
			service, jobs: all.length, running: all.filter(active => !active.isTerminal).length, orphans: orphans.length, version: this.#version,
		});
		return {jobs: all, orphans};
	}

	/** Follows the changes and removes jobs whose retention has ended, until `close`. */
	start(): void {
		void this.#watchAll();
		void this.#removeEnded();
	}

	/** Lets the rows of an ended job go when its retention ends. */
	scheduleRemoval(active: ActiveJob): void {
		const {clock, retentionMs} = this.#options;
		const age = Math.max(0, clock.readWall() - (active.endedAt ?? clock.readWall()));
		this.#ended.set(active.job.id, clock.readMonotonic() + retentionMs - Math.min(age, retentionMs));
	}

	close(): void {
		this.#isClosed = true;
	}

	/** Reads the submissions of all partitions; changes are followed from the oldest of these readings on. */
	async #readSubmissions(): Promise<Row[]> {
		const {tables, service} = this.#options;
		const ranges = await Promise.all(listSubmissionPartitions(service).map(async partition => ({partition, ...await tables.listRange(getJobTable(service), {partition})})));
		this.#readAt = new Map(ranges.map(({partition, version}) => [partition, version]));
		this.#version = Math.min(...this.#readAt.values());
		return ranges.flatMap(({rows}) => rows);
	}

	async #readProgress(): Promise<Map<JobId, Progress>> {
		const {tables, service} = this.#options;
		const {rows} = await tables.listRange(progressTable, {partition: getProgressPartition(service)});
		return new Map(rows.filter(row => row.key !== fenceKey).map(row => [row.key as JobId, decodeProgress(row.value)]));
	}

	async #watchAll(): Promise<void> {
		const {clock, log, service} = this.#options;
		while (!this.#isClosed) {
			try {
				await this.#watch();
			} catch (error) {
				log.warn('submissions not followed', {service, error: readErrorMessage(error)});
				await clock.sleep(retryMs);
			}
		}
	}

	async #watch(): Promise<void> {
		const {tables, service, log, onNews} = this.#options;
		const outcome = await tables.watchRows(getJobTable(service), {after: this.#version, waitMs: watchWaitMs});
		if (this.#isClosed) {
			return;
		}

		if (outcome.status === 'changes') {
			this.#version = outcome.version;
			const changes = outcome.changes.filter(change => change.version > (this.#readAt.get(change.partition ?? '') ?? Number.POSITIVE_INFINITY) && change.value !== undefined);
			if (changes.length > 0) {
				onNews(this.#decodeRows(changes));
			}
		} else {
			log.info('history of submissions is gone', {service, version: this.#version});
			const rows = await this.#readSubmissions();
			onNews(this.#decodeRows(rows.filter(row => !this.#ended.has(row.key as JobId))));
		}
	}

	#decodeRows(rows: ReadonlyArray<Row | RowChange>): JobNews[] {
		const {service, log} = this.#options;
		const news: JobNews[] = [];
		for (const {key, value, version} of rows) {
			const cancelled = parseCancelKey(key);
			if (cancelled !== undefined) {
				news.push({kind: 'cancelled', id: cancelled});
				continue;
			}

			try {
				const job = decodeJob(key as JobId, service, value);
				if (job !== undefined) {
					news.push({
						kind: 'submitted', id: job.id, job, version,
					});
				}
			} catch (error) {
				log.warn('job row can\'t be read', {
					service, job: key, version, error: readErrorMessage(error),
				});
			}
		}

		return news;
	}

	async #removeEnded(): Promise<void> {
		const {clock, log, service} = this.#options;
		while (!this.#isClosed) {
			await clock.sleep(removalIntervalMs);
			const now = clock.readMonotonic();
			const due = [...this.#ended].filter(([, at]) => at <= now).map(([id]) => id).slice(0, removalBatch);
			try {
				await this.#removeJobs(due);
			} catch (error) {
				log.warn('ended jobs not removed', {service, jobs: due.length, error: readErrorMessage(error)});
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

