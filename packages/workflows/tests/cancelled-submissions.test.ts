import {
	Log, ManualClock, VerdictError, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {
	MemoryTableService, platformBusyCode, type CommitOutcome, type Row, type RowKey, type Transaction,
} from '@tamarackwind/clients';
import test from 'ava';
import {
	computeTimings, defaultBounds, getJobKey, JobFeed, JobSubmitter, RateLimitedLog, UncheckedPrincipal, type Job, type JobChange, type SubmitOutcome,
} from '../src/index.js';

const id = '5c0e7a21d94b36f8' as JobId;
const unchecked = UncheckedPrincipal.create();
/** Time in which every submission of a case has been settled and every late write carried out, in milliseconds. */
const settledMs = 10_000;

const job: Job = {
	id,
	service: 'north' as ServiceName,
	queue: 'redraw',
	payload: '',
	submittedAt: 0,
	policy: {
		priority: 0, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600,
	},
	steps: [{
		count: 1, resources: {cpu: 1, memory: 1, gpu: 0}, estimatedMs: 1, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false,
		isLongRunning: true, isFiller: false,
	}],
};

/** Entries that share one store, each with its own path to it. */
class Deployment {
	static create(): Deployment {
		return new Deployment();
	}

	readonly clock = ManualClock.create();
	readonly tables = MemoryTableService.create(this.clock);
	readonly #feeds: JobFeed[] = [];

	/** Creates an entry; `commit` replaces how its transactions reach the store. */
	startEntry(commit?: (transaction: Transaction, attempt: number) => Promise<CommitOutcome>): JobSubmitter {
		const {clock, tables} = this;
		let attempts = 0;
		const path = Object.create(tables, {
			commit: {value: async (transaction: Transaction) => commit === undefined ? tables.commit(transaction) : commit(transaction, attempts++)},
			getRow: {value: async (key: RowKey) => tables.getRow(key)},
			limits: {value: tables.limits},
		}) as MemoryTableService;
		return JobSubmitter.create({clock, tables: path, log: RateLimitedLog.create(Log.createSilent(), clock)});
	}

	/** Starts the feed of a holder; the job has no tasks to start once the set no longer has it. */
	async startFeed(): Promise<ReadonlySet<JobId>> {
		const {clock, tables} = this;
		const active = new Set<JobId>();
		const apply = (changes: readonly JobChange[]): void => {
			for (const change of changes) {
				if (change.kind === 'submitted') {
					active.add(change.id);
				} else {
					active.delete(change.id);
				}
			}
		};

		const feed = JobFeed.create({
			clock, tables, log: RateLimitedLog.create(Log.createSilent(), clock), retentionMs: 120_000, timings: computeTimings(defaultBounds),
		});
		this.#feeds.push(feed);
		await feed.load();
		apply(feed.subscribe(job.service, apply));
		return active;
	}

	close(): void {
		for (const feed of this.#feeds) {
			feed.close();
		}
	}
}

function createLostError(): VerdictError {
	return new VerdictError('no answer', {verdict: 'may-have-run', code: 'platform_unavailable'});
}

type Case = {
	readonly name: string;
	/** How the transactions of the entry with the submission reach the store. */
	readonly createPath: (deployment: Deployment) => ((transaction: Transaction, attempt: number) => Promise<CommitOutcome>) | undefined;
	/** Time from the submission to its cancellation, in milliseconds. */
	readonly cancelledAfterMs: number;
	/** Whether the cancellation is sent to the entry that has the submission. */
	readonly isSameEntry?: boolean;
	/** Outcome of the submission; `accepted` by default. */
	readonly outcome?: SubmitOutcome;
};

const cases: readonly Case[] = [
	{name: 'waits in the queue of its entry', createPath: () => undefined, cancelledAfterMs: 0},
	{
		name: 'is being written by a slow store', cancelledAfterMs: 100, createPath: ({clock, tables}) => async transaction => {
			await clock.sleep(700);
			return tables.commit(transaction);
		},
	},
	{
		name: 'is written seconds later by a transaction without an answer', cancelledAfterMs: 1200, createPath: ({clock, tables}) => async (transaction, attempt) => {
			if (attempt > 0) {
				return tables.commit(transaction);
			}

			void (async () => {
				await clock.sleep(4000);
				await tables.commit(transaction);
			})();

			await clock.sleep(1000);
			throw createLostError();
		},
		// Its entry has given the write up before the cancellation.
		outcome: 'refused',
	},
	{
		name: 'is written seconds later, when its entry has no answer to anything', cancelledAfterMs: 1200, outcome: 'unknown', createPath: ({clock, tables}) => async transaction => {
			void (async () => {
				await clock.sleep(4000);
				await tables.commit(transaction);
			})();

			await clock.sleep(1000);
			throw createLostError();
		},
	},
	{
		name: 'is settled after its write was lost', cancelledAfterMs: 500, outcome: 'refused', createPath: ({clock, tables}) => async (transaction, attempt) => {
			if (attempt === 0) {
				await clock.sleep(1000);
				throw createLostError();
			}

			return tables.commit(transaction);
		},
	},
	{
		name: 'is tried again since its partition is busy', cancelledAfterMs: 200, createPath: ({clock, tables}) => async transaction => {
			if (clock.readMonotonic() < 400) {
				throw new VerdictError('too many wait', {verdict: 'not-run', code: platformBusyCode});
			}

			return tables.commit(transaction);
		},
	},
	{
		name: 'belongs to the entry that gets the cancellation', isSameEntry: true, cancelledAfterMs: 100, createPath: ({clock, tables}) => async transaction => {
			await clock.sleep(transaction.writes.some(({value}) => hasJob(value)) ? 700 : 5);
			return tables.commit(transaction);
		},
	},
];

function hasJob(value: unknown): boolean {
	return value !== undefined && 'steps' in (value as Partial<Job>);
}

// Guards against a job that runs although its cancellation was acknowledged while its submission was on its way (review/6).
for (const {name, createPath, cancelledAfterMs, isSameEntry = false, outcome = 'accepted'} of cases) {
	test(`a job has no tasks to start after its cancellation, if its submission ${name}`, async t => {
		const deployment = Deployment.create();
		const {clock} = deployment;
		const known = await deployment.startFeed();
		const first = deployment.startEntry(createPath(deployment));
		const second = deployment.startEntry();
		const submitted = first.submit(job, unchecked);
		await clock.advance(cancelledAfterMs);
		const cancelled = (isSameEntry ? first : second).cancel(id, unchecked);
		await clock.advance(100);
		t.is(await cancelled, 'absent');
		await clock.advance(settledMs);
		t.is(await submitted, outcome);
		t.deepEqual([...known], []);
		const repeated = Promise.all([second, deployment.startEntry()].map(async entry => entry.submit(job, unchecked)));
		await clock.advance(settledMs);
		t.deepEqual(await repeated, ['accepted', 'accepted']);
		t.deepEqual([...known], []);
		t.deepEqual([...await deployment.startFeed()], []);
		deployment.close();
	});
}

// A holder whose history has expired lists all rows again, the cancellation before or after its job.
for (const jobId of ['5c0e7a21d94b36f8', '0000000000000001', 'ffffffffffffffff'] as JobId[]) {
	test(`a holder that has no history of changes starts no tasks of a job that was cancelled before its submission: ${jobId}`, async t => {
		const deployment = Deployment.create();
		const {clock, tables} = deployment;
		const entry = deployment.startEntry();
		const known = await deployment.startFeed();
		tables.clearHistory();
		t.is(await entry.cancel(jobId, unchecked), 'absent');
		const submitted = entry.submit({...job, id: jobId}, unchecked);
		await clock.advance(1000);
		t.is(await submitted, 'accepted');
		tables.clearHistory();
		await clock.advance(settledMs);
		t.deepEqual([...known], []);
		deployment.close();
	});
}

type Conflict = {
	readonly name: string;
	/** Whether the job is stored when the cancellation reads its row. */
	readonly isStoredBefore: boolean;
	readonly value: unknown;
	/** Outcome of the cancellation; what a submission that follows at once adds to the jobs with tasks to start is none in any case. */
	readonly outcome: 'cancelled' | 'absent';
};

const conflicts: readonly Conflict[] = [
	{
		name: 'submitted', isStoredBefore: false, outcome: 'absent', value: job,
	},
	{
		name: 'removed', isStoredBefore: true, outcome: 'absent', value: undefined,
	},
	{
		name: 'refused for good', isStoredBefore: false, outcome: 'absent', value: {isRefused: true},
	},
	{
		name: 'written again', isStoredBefore: true, outcome: 'cancelled', value: job,
	},
];

// Guards against a cancellation that is acknowledged without an effect, since the job changed between its reading and its writing.
for (const {name, isStoredBefore, value, outcome} of conflicts) {
	test(`a job that is ${name} while it is being cancelled is cancelled`, async t => {
		const deployment = Deployment.create();
		const {tables, clock} = deployment;
		if (isStoredBefore) {
			await tables.commit({checks: [], writes: [{...getJobKey(id), value: job}]});
		}

		const getRow = tables.getRow.bind(tables);
		let reads = 0;
		tables.getRow = async (key): Promise<Row | undefined> => {
			const row = await getRow(key);
			if (reads++ === 0) {
				await tables.commit({checks: [], writes: [{...getJobKey(id), value}]});
			}

			return row;
		};

		t.is(await deployment.startEntry().cancel(id, unchecked), outcome);
		tables.getRow = getRow;
		const repeated = deployment.startEntry().submit(job, unchecked);
		await clock.advance(100);
		t.is(await repeated, 'accepted');
		t.deepEqual([...await deployment.startFeed()], []);
		deployment.close();
	});
}

type SlowCase = {readonly name: string; readonly error: VerdictError; readonly faultMs: number; readonly isAnswered: boolean};

const slowCases: readonly SlowCase[] = [
	{
		name: 'answers nothing for 1 s', error: createLostError(), faultMs: 1000, isAnswered: true,
	},
	{
		name: 'answers nothing for 6 s', error: createLostError(), faultMs: 6000, isAnswered: false,
	},
	{
		name: 'turns the busy partition away for 1 s', error: new VerdictError('too many wait', {verdict: 'not-run', code: platformBusyCode}), faultMs: 1000, isAnswered: true,
	},
	{
		name: 'is down', error: new VerdictError('store answered 503', {verdict: 'not-run', code: 'platform_unavailable'}), faultMs: 100, isAnswered: false,
	},
];

// A cancellation waits behind the submission of its job in a slow partition, and must be answered while its caller waits; one that can't be served is refused at once.
for (const {name, error, faultMs, isAnswered} of slowCases) {
	test(`a cancellation is ${isAnswered ? '' : 'not '}answered by an entry whose store ${name}`, async t => {
		const deployment = Deployment.create();
		const {clock, tables} = deployment;
		const entry = deployment.startEntry(async transaction => {
			if (clock.readMonotonic() < faultMs) {
				await clock.sleep(error.verdict === 'not-run' ? 5 : 1000);
				throw error;
			}

			return tables.commit(transaction);
		});
		let outcome = 'open';
		const cancel = async (): Promise<void> => {
			try {
				outcome = await entry.cancel(id, unchecked);
			} catch {
				outcome = 'failed';
			}
		};

		void cancel();
		await clock.advance(name === 'is down' ? 10 : 3000);
		t.is(outcome, isAnswered ? 'absent' : 'failed');
	});
}
