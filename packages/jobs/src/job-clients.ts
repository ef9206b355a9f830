/**
 * Client of the job scheduler on every entry. It exchanges jobs, cancellations and explanations with the holder of the scheduler lease through the tables.
 */
import {createHash} from 'node:crypto';
import {
	VerdictError, type Clock, type JobId, type RandomSource, type TeamName,
} from '@tamarackwind/core';
import {
	absentVersion, type ObjectStore, type Row, type TableService, type Transaction,
} from '@tamarackwind/clients';
import {
	buildCallerPrefix, buildInsert, buildJobId, buildJobKey, cancelsKey, jobTables, type InboxItem,
} from './rows.js';
import {type CancelSelector, type JobRow, type JobSpec} from './schemas.js';

export type JobClientOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly tables: TableService;
	readonly objects: ObjectStore;
	/** Explains why no VM of the fleet can hold a job; returns `undefined` if one can. */
	readonly explainUnplaceable: (spec: JobSpec) => string | undefined;
};

/** A job to submit. */
export type Submission = {
	readonly caller: string;
	readonly team?: TeamName;
	/** Idempotency key of the caller; the same key returns the same job. */
	readonly key?: string;
	readonly spec: JobSpec;
	readonly payload: Uint8Array;
};

const maxCommitAttempts = 4;
const commitRetryDelayMs = 100;
const maxInlineIds = 100;
const explainPollIntervalMs = 100;

/**
 * Submits, reads, cancels and explains jobs for callers and operators.
 *
 * @example
 * const row = await client.submitJob({caller: 'north', key: 'season-2027', spec, payload});
 */
export class JobClient {
	static create(options: JobClientOptions): JobClient {
		return new JobClient(options);
	}

	readonly #options: JobClientOptions;

	private constructor(options: JobClientOptions) {
		this.#options = options;
	}

	/**
	 * Submits a job; resolves once it is durable.
	 *
	 * @throws {VerdictError} `not-run` with code `unplaceable`, `key_reused` or `platform_unavailable`; `may-have-run` when the response of
	 * the platform was lost and the outcome could not be read. Submitting again with the same key resolves the outcome.
	 */
	async submitJob(submission: Submission): Promise<JobRow> {
		const {random, objects} = this.#options;
		const row = this.#createRow(submission, buildJobId(submission.caller, submission.key ?? random.createToken()));
		const existing = submission.key === undefined ? undefined : await this.#findJob(row.jobId);
		if (existing !== undefined) {
			return checkDigest(existing, row);
		}

		const unplaceableReason = this.#options.explainUnplaceable(submission.spec);
		if (unplaceableReason !== undefined) {
			throw new VerdictError(unplaceableReason, {verdict: 'not-run', code: 'unplaceable'});
		}

		await runAsNotRun(async () => objects.putObject(row.payload, submission.payload, {ifAbsent: true}));
		return this.#submitRow(row);
	}

	/**
	 * Reads a job of `caller`, or of any caller if `caller` is `undefined`.
	 *
	 * @throws {VerdictError} `unknown_job` when the job does not exist or belongs to another caller.
	 */
	async getJob(jobId: string, caller?: string): Promise<JobRow> {
		const row = await this.#findJob(jobId);
		if (row === undefined || (caller !== undefined && row.caller !== caller)) {
			throw new VerdictError(`job "${jobId}" does not exist`, {verdict: 'not-run', code: 'unknown_job'});
		}

		return row;
	}

	/** Lists the jobs of a caller including those that have ended, oldest first. */
	async listJobs(caller: string): Promise<JobRow[]> {
		const rows = await this.#options.tables.listRows(jobTables.jobs, buildCallerPrefix(caller));
		return sortRows(rows.filter(row => (row.value as JobRow).caller === caller));
	}

	/** Lists the jobs of all callers, oldest first; includes those that have ended only if `isAll`. */
	async listAllJobs(isAll: boolean): Promise<JobRow[]> {
		const {tables} = this.#options;
		if (isAll) {
			return sortRows(await tables.listRows(jobTables.jobs));
		}

		const markers = await tables.listRows(jobTables.open);
		return sortRows(await tables.getRows(markers.map(marker => buildJobKey(marker.key))));
	}

	/** Reads the result of a finished job. */
	async fetchResult(jobId: string, caller?: string): Promise<Uint8Array> {
		const row = await this.getJob(jobId, caller);
		const bytes = row.result === undefined ? undefined : await this.#options.objects.getObject(row.result);
		if (bytes === undefined) {
			throw new VerdictError(`job "${jobId}" is ${row.state} and has no result`, {verdict: 'not-run', code: 'no_result'});
		}

		return bytes;
	}

	/**
	 * Cancels any number of jobs with one durable marker. Afterwards no start of such a job can commit; running ones are stopped.
	 *
	 * @throws {VerdictError} when the marker could not be written or its outcome is unknown.
	 */
	async cancelJobs(selector: CancelSelector, caller?: string): Promise<void> {
		const {random, objects} = this.#options;
		const token = random.createToken();
		const {jobIds} = selector;
		const isLong = jobIds !== undefined && jobIds.length > maxInlineIds;
		const idsObject = isLong ? `jobs/cancels/${token}` : undefined;
		if (idsObject !== undefined) {
			await runAsNotRun(async () => objects.putObject(idsObject, Buffer.from(JSON.stringify(jobIds))));
		}

		const item: InboxItem = {
			type: 'cancelled', caller, selector: isLong ? {...selector, jobIds: []} : selector, idsObject,
		};
		await this.#commitWithRetry({
			checks: [],
			writes: [{table: jobTables.inbox, key: `cancelled-${token}`, value: item}, {...cancelsKey, value: {token}}],
		});
	}

	/** Requests an explanation of a job from the holder of the scheduler lease; resolves to `undefined` if none arrives within `timeoutMs`. */
	async explainJob(jobId: string, timeoutMs: number): Promise<string | undefined> {
		const {clock, random, tables} = this.#options;
		const token = random.createToken();
		const item: InboxItem = {type: 'explained', jobId, token};
		await tables.commit({checks: [], writes: [{table: jobTables.inbox, key: `explained-${token}`, value: item}]});
		const deadline = clock.readMonotonic() + timeoutMs;
		while (clock.readMonotonic() < deadline) {
			const explanation = await tables.getRow({table: jobTables.answers, key: token});
			if (explanation !== undefined) {
				await tables.commit({checks: [], writes: [{table: jobTables.answers, key: token}]});
				return (explanation.value as {text: string}).text;
			}

			await clock.sleep(explainPollIntervalMs);
		}

		return undefined;
	}

	#createRow({caller, team, spec, payload}: Submission, jobId: JobId): JobRow {
		const digest = createHash('sha256').update(JSON.stringify(spec)).update('\n').update(payload).digest('hex');
		return {
			jobId, caller, team, spec, digest, payload: `jobs/payloads/${jobId}-${digest.slice(0, 16)}`, submittedAt: this.#options.clock.readWall(),
			state: 'queued', epoch: 0, writeId: this.#options.random.createToken(), failedVms: [], evictions: 0,
		};
	}

	async #findJob(jobId: string): Promise<JobRow | undefined> {
		return (await runAsNotRun(async () => this.#options.tables.getRow(buildJobKey(jobId))))?.value as JobRow | undefined;
	}

	async #submitRow(row: JobRow): Promise<JobRow> {
		const outcome = await this.#commitWithRetry({
			checks: [{...buildJobKey(row.jobId), version: absentVersion}],
			writes: buildInsert(row),
		});
		if (outcome.status === 'committed') {
			return row;
		}

		try {
			const existing = await this.#options.tables.getRow(buildJobKey(row.jobId));
			return checkDigest(existing!.value as JobRow, row);
		} catch (error) {
			throw error instanceof VerdictError && error.code === 'key_reused' ? error : createUnknownOutcomeError(error);
		}
	}

	/** Retries a transaction while its outcome is unknown. A retry is safe, since the transaction checks absence or writes the same values. */
	async #commitWithRetry(transaction: Transaction): ReturnType<TableService['commit']> {
		let isUncertain = false;
		for (let attempt = 1; ; attempt++) {
			try {
				return await this.#options.tables.commit(transaction);
			} catch (error) {
				isUncertain ||= !(error instanceof VerdictError) || error.verdict !== 'not-run';
				if (!isUncertain) {
					throw error;
				}

				if (attempt === maxCommitAttempts) {
					throw createUnknownOutcomeError(error);
				}
			}

			await this.#options.clock.sleep(commitRetryDelayMs);
		}
	}
}

function sortRows(rows: ReadonlyArray<Row | undefined>): JobRow[] {
	return rows
		.flatMap(row => row === undefined ? [] : row.value as JobRow)
		.toSorted((a, b) => a.submittedAt - b.submittedAt);
}

function checkDigest(existing: JobRow, row: JobRow): JobRow {
	if (existing.digest !== row.digest) {
		throw new VerdictError(`the key of job "${row.jobId}" was used before with another request`, {verdict: 'not-run', code: 'key_reused'});
	}

	return existing;
}

function createUnknownOutcomeError(cause: unknown): VerdictError {
	return new VerdictError('the platform\'s answer was lost; the same key tells whether the job was accepted', {
		verdict: 'may-have-run', code: 'platform_unavailable', cause,
	});
}

/** Runs a step that makes no job runnable, so that any failure of it has the verdict `not-run`. */
async function runAsNotRun<T>(step: () => Promise<T>): Promise<T> {
	try {
		return await step();
	} catch (error) {
		throw new VerdictError('the platform is unavailable', {verdict: 'not-run', code: 'platform_unavailable', cause: error});
	}
}
