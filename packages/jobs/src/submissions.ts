/**
 * What entries do with jobs for callers and operators, whoever holds the duty.
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

export type JobDeskOptions = {
	readonly clock: Clock;
	readonly random: RandomSource;
	readonly tables: TableService;
	readonly objects: ObjectStore;
	/** Says why no VM of the fleet can hold a job, or nothing when one can. */
	readonly explainMisfit: (spec: JobSpec) => string | undefined;
};

/** A job that a caller submits. */
export type Submission = {
	readonly caller: string;
	readonly team?: TeamName;
	/** Key that the caller chose; the same key gives the same job. */
	readonly key?: string;
	readonly spec: JobSpec;
	readonly payload: Uint8Array;
};

const maxCommitTries = 4;
const commitPauseMs = 100;
const maxInlineIds = 100;
const explainPauseMs = 100;

/**
 * Submits, reads and cancels jobs.
 *
 * @example
 * const row = await desk.submitJob({caller: 'north', key: 'season-2027', spec, payload});
 */
export class JobDesk {
	static create(options: JobDeskOptions): JobDesk {
		return new JobDesk(options);
	}

	readonly #options: JobDeskOptions;

	private constructor(options: JobDeskOptions) {
		this.#options = options;
	}

	/**
	 * Stores a job; resolves once it is durable.
	 *
	 * @throws {VerdictError} `not-run` with code `unplaceable`, `key_reused` or `platform_unavailable`; `may-have-run` when the answer of
	 * the platform was lost and could not be read back, in which case the same key finds out.
	 */
	async submitJob(submission: Submission): Promise<JobRow> {
		const {random, objects} = this.#options;
		const row = this.#createRow(submission, buildJobId(submission.caller, submission.key ?? random.createToken()));
		const known = submission.key === undefined ? undefined : await this.#findJob(row.jobId);
		if (known !== undefined) {
			return acceptRepeat(known, row);
		}

		const misfit = this.#options.explainMisfit(submission.spec);
		if (misfit !== undefined) {
			throw new VerdictError(misfit, {verdict: 'not-run', code: 'unplaceable'});
		}

		await markNotRun(async () => objects.putObject(row.payload, submission.payload, {ifAbsent: true}));
		return this.#submitRow(row);
	}

	/**
	 * Reads a job of a caller, or of any caller for an operator.
	 *
	 * @throws {VerdictError} `unknown_job` when there is none or it is another caller's.
	 */
	async getJob(jobId: string, caller?: string): Promise<JobRow> {
		const row = await this.#findJob(jobId);
		if (row === undefined || (caller !== undefined && row.caller !== caller)) {
			throw new VerdictError(`job "${jobId}" does not exist`, {verdict: 'not-run', code: 'unknown_job'});
		}

		return row;
	}

	/** Lists the jobs of a caller, ended ones included, oldest first. */
	async listJobs(caller: string): Promise<JobRow[]> {
		const rows = await this.#options.tables.listRows(jobTables.jobs, buildCallerPrefix(caller));
		return sortRows(rows.filter(row => (row.value as JobRow).caller === caller));
	}

	/** Lists every caller's jobs, oldest first; only those that have not ended unless `isAll`. */
	async listEveryJob(isAll: boolean): Promise<JobRow[]> {
		const {tables} = this.#options;
		if (isAll) {
			return sortRows(await tables.listRows(jobTables.jobs));
		}

		const markers = await tables.listRows(jobTables.open);
		return sortRows(await tables.getRows(markers.map(marker => buildJobKey(marker.key))));
	}

	/** Reads the whole result of a finished job. */
	async fetchResult(jobId: string, caller?: string): Promise<Uint8Array> {
		const row = await this.getJob(jobId, caller);
		const bytes = row.result === undefined ? undefined : await this.#options.objects.getObject(row.result);
		if (bytes === undefined) {
			throw new VerdictError(`job "${jobId}" is ${row.state} and has no result`, {verdict: 'not-run', code: 'no_result'});
		}

		return bytes;
	}

	/**
	 * Cancels jobs with one durable marker, however many they are. No start of such a job is committed afterwards; one that runs is stopped.
	 *
	 * @throws {VerdictError} when the marker could not be written.
	 */
	async cancelJobs(selector: CancelSelector, caller?: string): Promise<void> {
		const {random, objects} = this.#options;
		const token = random.createToken();
		const {jobIds} = selector;
		const isLong = jobIds !== undefined && jobIds.length > maxInlineIds;
		const idsObject = isLong ? `jobs/cancels/${token}` : undefined;
		if (idsObject !== undefined) {
			await markNotRun(async () => objects.putObject(idsObject, Buffer.from(JSON.stringify(jobIds))));
		}

		const item: InboxItem = {
			type: 'cancelled', caller, selector: isLong ? {...selector, jobIds: []} : selector, idsObject,
		};
		await this.#commitRepeatedly({
			checks: [],
			writes: [{table: jobTables.inbox, key: `cancelled-${token}`, value: item}, {...cancelsKey, value: {token}}],
		});
	}

	/** Asks the holder of the duty why a job waits or where it was placed; gives `undefined` when none answers within `timeoutMs`. */
	async explainJob(jobId: string, timeoutMs: number): Promise<string | undefined> {
		const {clock, random, tables} = this.#options;
		const token = random.createToken();
		const item: InboxItem = {type: 'explained', jobId, token};
		await tables.commit({checks: [], writes: [{table: jobTables.inbox, key: `explained-${token}`, value: item}]});
		const end = clock.readMonotonic() + timeoutMs;
		while (clock.readMonotonic() < end) {
			const answer = await tables.getRow({table: jobTables.answers, key: token});
			if (answer !== undefined) {
				await tables.commit({checks: [], writes: [{table: jobTables.answers, key: token}]});
				return (answer.value as {text: string}).text;
			}

			await clock.sleep(explainPauseMs);
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
		return (await markNotRun(async () => this.#options.tables.getRow(buildJobKey(jobId))))?.value as JobRow | undefined;
	}

	async #submitRow(row: JobRow): Promise<JobRow> {
		const outcome = await this.#commitRepeatedly({
			checks: [{...buildJobKey(row.jobId), version: absentVersion}],
			writes: buildInsert(row),
		});
		if (outcome.status === 'committed') {
			return row;
		}

		try {
			const known = await this.#options.tables.getRow(buildJobKey(row.jobId));
			return acceptRepeat(known!.value as JobRow, row);
		} catch (error) {
			throw error instanceof VerdictError && error.code === 'key_reused' ? error : createLostError(error);
		}
	}

	/** Commits until the answer is known; repeating is harmless, since the transaction either checks absence or writes the same again. */
	async #commitRepeatedly(transaction: Transaction): ReturnType<TableService['commit']> {
		let isUncertain = false;
		for (let tries = 1; ; tries++) {
			try {
				return await this.#options.tables.commit(transaction);
			} catch (error) {
				isUncertain ||= !(error instanceof VerdictError) || error.verdict !== 'not-run';
				if (!isUncertain) {
					throw error;
				}

				if (tries === maxCommitTries) {
					throw createLostError(error);
				}
			}

			await this.#options.clock.sleep(commitPauseMs);
		}
	}
}

function sortRows(rows: ReadonlyArray<Row | undefined>): JobRow[] {
	return rows
		.flatMap(row => row === undefined ? [] : row.value as JobRow)
		.toSorted((a, b) => a.submittedAt - b.submittedAt);
}

function acceptRepeat(known: JobRow, row: JobRow): JobRow {
	if (known.digest !== row.digest) {
		throw new VerdictError(`the key of job "${row.jobId}" was used before with another request`, {verdict: 'not-run', code: 'key_reused'});
	}

	return known;
}

function createLostError(cause: unknown): VerdictError {
	return new VerdictError('the platform\'s answer was lost; the same key tells whether the job was accepted', {
		verdict: 'may-have-run', code: 'platform_unavailable', cause,
	});
}

/** Runs a step that makes no job runnable, so that its failure is `not-run` whatever became of it. */
async function markNotRun<T>(step: () => Promise<T>): Promise<T> {
	try {
		return await step();
	} catch (error) {
		throw new VerdictError('the platform is unavailable', {verdict: 'not-run', code: 'platform_unavailable', cause: error});
	}
}
