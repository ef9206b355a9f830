/**
 * The season build of the demo: a job that outlives the entry that schedules it and the worker that runs it.
 */
import {type JobRow} from '@tamarackwind/jobs';
import {request} from 'undici';
import {findSeasonFaults} from './league-checks.js';
import {type Season, type SeasonRequest} from './leagues.js';
import {type PlatformStandIn} from './platforms.js';
import {waitUntil} from './processes.js';
import {type TaskScript} from './tasks.js';

/** Longer than the time to the first checkpoint and the kill. */
const runMs = 9000;
const finishTimeoutMs = 60_000;
const season: SeasonRequest = {
	association: 'riga-youth', clubs: Array.from({length: 16}, (_, index) => `club-${index + 1}`), pitches: ['stadium', 'park', 'school'],
};
const script: TaskScript = {runMs, usage: {cores: 4, memoryMb: 2048, accelerators: 0}, season};

export type DemoJobOptions = {
	readonly platform: PlatformStandIn;
	readonly token: string;
	/** Caller URL of an entry that is ready. */
	readonly pickUrl: () => string;
};

/** A season build under a lease. */
export class DemoJob {
	/** Submits the build; resolves once it was accepted. */
	static async create(options: DemoJobOptions): Promise<DemoJob> {
		const answer = await request(`${options.pickUrl()}/jobs?kind=build&cores=4`, {
			method: 'POST', headers: {authorization: `Bearer ${options.token}`, 'idempotency-key': 'season-build'}, body: JSON.stringify(script),
		});
		const row = await answer.body.json() as JobRow;
		if (answer.statusCode !== 202) {
			throw new Error(`the season build was not accepted: ${answer.statusCode} ${JSON.stringify(row)}`);
		}

		return new DemoJob(options, row.jobId);
	}

	readonly #options: DemoJobOptions;
	readonly #jobId: string;

	private constructor(options: DemoJobOptions, jobId: string) {
		this.#options = options;
		this.#jobId = jobId;
	}

	/** Waits until the build runs and has a checkpoint; gives its VM. */
	async waitForCheckpoint(): Promise<string> {
		let row: JobRow | undefined;
		await waitUntil(async () => {
			row = await this.#readRow();
			return row.checkpoint !== undefined && row.vmId !== undefined;
		}, finishTimeoutMs);
		return row!.vmId!;
	}

	/** Waits for the result; lists what is wrong with it and with how it came about. */
	async findFaults(): Promise<string[]> {
		await waitUntil(async () => (await this.#readRow()).state === 'finished', finishTimeoutMs);
		const answer = await this.#get(`/jobs/${this.#jobId}/result`);
		const faults = findSeasonFaults(season, await answer.body.json() as Season);
		const starts = this.#options.platform.tasks.history.filter(event => event.type === 'started' && event.taskId === this.#jobId);
		if (starts.length < 2) {
			faults.push('the build was not started again after its worker was lost');
		}

		return faults;
	}

	async #readRow(): Promise<JobRow> {
		const answer = await this.#get(`/jobs/${this.#jobId}`);
		return await answer.body.json() as JobRow;
	}

	async #get(path: string): ReturnType<typeof request> {
		const {pickUrl, token} = this.#options;
		return request(`${pickUrl()}${path}`, {headers: {authorization: `Bearer ${token}`}});
	}
}
