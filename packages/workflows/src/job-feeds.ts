/**
 * Reads the submitted jobs of all services for the schedulers of their pools: first all stored jobs, then each submission and
 * cancellation as it is committed.
 */
import {
	readErrorMessage, type Clock, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {
	type Row, type RowChange, type RowKey, type WatchableTableService,
} from '@tamarackwind/clients';
import {type ActiveJob} from './active-jobs.js';
import {type RateLimitedLog} from './rate-limited-logs.js';
import {JobRemover} from './job-removers.js';
import {type Job} from './jobs.js';
import {
	getAdvanceCancelKey, jobTable, listSubmissionPartitions, parseCancelKey,
} from './table-keys.js';
import {hasCancelled} from './advance-cancellations.js';
import {decodeAdvanceCancellation, decodeJob, type AdvanceCancellation} from './records.js';
import {type Timings} from './timings.js';

/** A decoded change of the submitted jobs. */
export type JobChange
	= | {readonly kind: 'submitted'; readonly id: JobId; readonly job: Job; readonly version: number}
		| {readonly kind: 'cancelled'; readonly id: JobId};

/** Receives the changes of one service's jobs. */
export type JobSubscriber = (changes: readonly JobChange[]) => void;

export type JobFeedOptions = {
	readonly clock: Clock;
	readonly tables: WatchableTableService;
	readonly log: RateLimitedLog;
	/** Retention of ended jobs, in milliseconds. */
	readonly retentionMs: number;
	readonly timings: Timings;
};

/** A job and what has changed of it. */
type ChangedJob = {readonly job: Job; readonly changes: readonly JobChange[]};

type Submission = {readonly job: Job; readonly version: number; isCancelled: boolean};

/** Delay after a failed watch, in milliseconds. */
const retryDelayMs = 100;

/** Reads and watches the submissions of all services. A job belongs to the service that its queue had when it was accepted. */
export class JobFeed {
	static create(options: JobFeedOptions): JobFeed {
		return new JobFeed(options);
	}

	readonly #options: JobFeedOptions;
	readonly #remover: JobRemover;
	readonly #submissions = new Map<JobId, Submission>();
	/** Cancellations of jobs that were not stored. */
	readonly #advanceCancellations = new Map<JobId, AdvanceCancellation>();
	readonly #subscribers = new Map<ServiceName, JobSubscriber>();
	#loaded: Promise<void> | undefined;
	#version = 0;
	/** Version at which each partition was last listed; changes up to it are known. */
	#listedVersions: ReadonlyMap<string, number> = new Map();
	#isClosed = false;

	private constructor(options: JobFeedOptions) {
		this.#options = options;
		this.#remover = JobRemover.create({
			...options,
			onRemoved: id => {
				this.#submissions.delete(id);
			},
			hasSubmission: id => this.#submissions.has(id),
		});
	}

	/** Lists all submissions, and starts to watch their changes. Further calls wait for the same listing. */
	async load(): Promise<void> {
		this.#loaded ??= this.#start();
		try {
			await this.#loaded;
		} catch (error) {
			this.#loaded = undefined;
			throw error;
		}
	}

	/** Returns the known jobs of a service as changes; later ones are passed to the subscriber. */
	subscribe(service: ServiceName, subscriber: JobSubscriber): JobChange[] {
		this.#subscribers.set(service, subscriber);
		return [...this.#submissions].filter(([, {job}]) => job.service === service).flatMap(([id, {job, version, isCancelled}]): JobChange[] => [
			{
				kind: 'submitted', id, job, version,
			},
			...(isCancelled ? [{kind: 'cancelled', id} as const] : []),
		]);
	}

	/** Ends the subscription of a service. */
	endSubscription(service: ServiceName, subscriber: JobSubscriber): void {
		if (this.#subscribers.get(service) === subscriber) {
			this.#subscribers.delete(service);
		}
	}

	/** Schedules the rows of an ended job for deletion at the end of its retention. */
	scheduleRemoval(active: ActiveJob): void {
		this.#remover.scheduleJob(active);
	}

	/** Schedules progress rows without a submitted job for deletion. */
	scheduleProgressRemoval(id: JobId, keys: readonly RowKey[]): void {
		this.#remover.scheduleProgress(id, keys);
	}

	close(): void {
		this.#isClosed = true;
		this.#remover.close();
		this.#subscribers.clear();
	}

	async #start(): Promise<void> {
		this.#update(await this.#readSubmissions());
		void this.#watchAll();
	}

	/** Lists the submissions of all partitions; the watch continues from the lowest version of these listings. */
	async #readSubmissions(): Promise<Row[]> {
		const {tables} = this.#options;
		const ranges = await Promise.all(listSubmissionPartitions().map(async partition => ({partition, ...await tables.listRange(jobTable, {partition})})));
		this.#listedVersions = new Map(ranges.map(({partition, version}) => [partition, version]));
		this.#version = Math.min(...this.#listedVersions.values());
		return ranges.flatMap(({rows}) => rows);
	}

	async #watchAll(): Promise<void> {
		const {clock, log} = this.#options;
		while (!this.#isClosed) {
			try {
				await this.#watch();
			} catch (error) {
				log.warn('watching submissions failed', {error: readErrorMessage(error)});
				await clock.sleep(retryDelayMs);
			}
		}
	}

	async #watch(): Promise<void> {
		const {tables, log, timings} = this.#options;
		const outcome = await tables.watchRows(jobTable, {after: this.#version, waitMs: timings.submissionWatchMs});
		if (this.#isClosed) {
			return;
		}

		if (outcome.status === 'changes') {
			this.#version = outcome.version;
			this.#update(outcome.changes.filter(change => change.version > (this.#listedVersions.get(change.partition ?? '') ?? Number.POSITIVE_INFINITY)));
		} else {
			log.info('submission history expired; listing all submissions again', {version: this.#version});
			const rows = await this.#readSubmissions();
			const listed = new Set(rows.map(({key}) => key));
			this.#advanceCancellations.clear();
			this.#update([...rows, ...[...this.#submissions.keys()].filter(id => !listed.has(id)).map(key => ({table: jobTable, key, version: this.#version}))]);
		}
	}

	/** Applies rows to the known submissions, and passes what is new to the subscribers. */
	#update(rows: ReadonlyArray<Row | RowChange>): void {
		const changes = new Map<ServiceName, JobChange[]>();
		for (const row of rows) {
			const changed = this.#applyRow(row);
			if (changed !== undefined) {
				const {service} = changed.job;
				changes.set(service, [...changes.get(service) ?? [], ...changed.changes]);
			}
		}

		for (const [service, list] of changes) {
			this.#subscribers.get(service)?.(list);
		}
	}

	/** Applies a row to the known submissions; returns what changed for the subscribers, if anything. */
	#applyRow({key, partition, value, version}: Row | RowChange): ChangedJob | undefined {
		const cancelled = parseCancelKey(key);
		if (cancelled !== undefined) {
			if (partition === getAdvanceCancelKey(cancelled).partition) {
				return this.#applyAdvanceCancellation(cancelled, value, version);
			}

			return value === undefined ? undefined : this.#applyCancellation(cancelled);
		}

		const id = key as JobId;
		if (value === undefined) {
			this.#submissions.delete(id);
			return undefined;
		}

		const job = this.#submissions.has(id) ? undefined : this.#decode(id, value, version);
		if (job === undefined) {
			return undefined;
		}

		const isCancelled = this.#isCancelledInAdvance(id, job);
		this.#submissions.set(id, {job, version, isCancelled});
		if (this.#remover.holdRepeated(id)) {
			return undefined;
		}

		const submitted: JobChange = {
			kind: 'submitted', id, job, version,
		};
		return {job, changes: isCancelled ? [submitted, {kind: 'cancelled', id}] : [submitted]};
	}

	#applyCancellation(id: JobId): ChangedJob | undefined {
		const submission = this.#submissions.get(id);
		if (submission === undefined || submission.isCancelled) {
			return undefined;
		}

		submission.isCancelled = true;
		return {job: submission.job, changes: [{kind: 'cancelled', id}]};
	}

	/** Applies the cancellation of a job that was not stored when it was cancelled, and may be by now or later. */
	#applyAdvanceCancellation(id: JobId, value: unknown, version: number): ChangedJob | undefined {
		if (value === undefined) {
			this.#advanceCancellations.delete(id);
			return undefined;
		}

		try {
			this.#advanceCancellations.set(id, decodeAdvanceCancellation(value));
		} catch (error) {
			this.#options.log.warn('advance cancellation is invalid', {job: id, version, error: readErrorMessage(error)});
			return undefined;
		}

		this.#remover.scheduleAdvanceCancellation(id, version);
		const submission = this.#submissions.get(id);
		return submission !== undefined && this.#isCancelledInAdvance(id, submission.job) ? this.#applyCancellation(id) : undefined;
	}

	#isCancelledInAdvance(id: JobId, {account}: Job): boolean {
		const cancellation = this.#advanceCancellations.get(id);
		return cancellation !== undefined && hasCancelled(cancellation, account);
	}

	/** Decodes the row of a job; `undefined` for a tombstone and for an invalid row. */
	#decode(id: JobId, value: unknown, version: number): Job | undefined {
		try {
			return decodeJob(id, value);
		} catch (error) {
			this.#options.log.warn('job row is invalid', {job: id, version, error: readErrorMessage(error)});
			return undefined;
		}
	}
}
