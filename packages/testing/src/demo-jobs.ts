/**
 * The season build of the demo: a job that must survive the loss of the entry that schedules it and of the worker that runs it.
 */
import {type JobRow} from '@tamarackwind/jobs';
import {request} from 'undici';
import {findSeasonFaults} from './league-checks.js';
import {type Season, type SeasonRequest} from './league-services.js';
import {type FakePlatform} from './fake-platforms.js';
import {waitUntil} from './entry-processes.js';
import {type TaskScript} from './fake-task-runners.js';

/** Exceeds the time until the first checkpoint and the kill, so that the build is still running when its worker is lost. */
const runMs = 9000;
const jobTimeoutMs = 60_000;
const season: SeasonRequest = {
	association: 'riga-youth', clubs: Array.from({length: 16}, (_, index) => `club-${index + 1}`), pitches: ['stadium', 'park', 'school'],
};
const script: TaskScript = {runMs, usage: {cores: 4, memoryMb: 2048, accelerators: 0}, season};

export type DemoJobOptions = {
	readonly platform: FakePlatform;
	readonly token: string;
	/** Returns the caller URL of a ready entry. */
	readonly pickUrl: () => string;
};

/** A season build that is submitted as a job. */
export class DemoJob {
	/** Submits the build; resolves once it is accepted. */
	static async create(options: DemoJobOptions): Promise<DemoJob> {
		const response = await request(`${options.pickUrl()}/jobs?kind=build&cores=4`, {
			method: 'POST', headers: {authorization: `Bearer ${options.token}`, 'idempotency-key': 'season-build'}, body: JSON.stringify(script),
		});
		const row = await response.body.json() as JobRow;
		if (response.statusCode !== 202) {
			throw new Error(`the season build was not accepted: ${response.statusCode} ${JSON.stringify(row)}`);
		}

		return new DemoJob(options, row.jobId);
	}

	readonly #options: DemoJobOptions;
	readonly #jobId: string;

	private constructor(options: DemoJobOptions, jobId: string) {
		this.#options = options;
		this.#jobId = jobId;
	}

	/** Waits until the build is running and has a checkpoint; returns the id of its VM. */
	async waitForCheckpoint(): Promise<string> {
		let row: JobRow | undefined;
		await waitUntil(async () => {
			row = await this.#readRow();
			return row.checkpoint !== undefined && row.vmId !== undefined;
		}, jobTimeoutMs);
		return row!.vmId!;
	}

	/** Waits for the result; returns its faults, and another fault if the build was not restarted. */
	async findFaults(): Promise<string[]> {
		await waitUntil(async () => (await this.#readRow()).state === 'finished', jobTimeoutMs);
		const response = await this.#get(`/jobs/${this.#jobId}/result`);
		const faults = findSeasonFaults(season, await response.body.json() as Season);
		const starts = this.#options.platform.tasks.history.filter(event => event.type === 'started' && event.taskId === this.#jobId);
		if (starts.length < 2) {
			faults.push('the build was not restarted after its worker was lost');
		}

		return faults;
	}

	async #readRow(): Promise<JobRow> {
		const response = await this.#get(`/jobs/${this.#jobId}`);
		return await response.body.json() as JobRow;
	}

	async #get(path: string): ReturnType<typeof request> {
		const {pickUrl, token} = this.#options;
		return request(`${pickUrl()}${path}`, {headers: {authorization: `Bearer ${token}`}});
	}
}
