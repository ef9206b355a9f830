import {
	Log, ManualClock, type AccountName, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {MemoryTableService} from '@tamarackwind/clients';
import {noResources} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	AccountPrincipal, AnonymousPrincipal, computeTimings, defaultBounds, getJobKey, JobFeed, JobSubmitter, jobTable, listSubmissionPartitions, RateLimitedLog, UncheckedPrincipal, type CancelOutcome, type Job, type Principal,
} from '../src/index.js';

const retentionMs = 120_000;
const limits = {valueBytes: 49_152, transactionBytes: 690_000, transactionEntries: 100};
const id = '5c0e7a21d94b36f8' as JobId;
const unchecked = UncheckedPrincipal.create();
const anonymous = AnonymousPrincipal.create();
const [north, south] = ['north', 'south'].map(name => AccountPrincipal.create({
	name: name as AccountName, weight: 1, cap: noResources, keyHashes: [],
})) as [AccountPrincipal, AccountPrincipal];

function createJob({account}: Principal, jobId = id): Job {
	return {
		id: jobId,
		service: 'north' as ServiceName,
		queue: 'redraw',
		payload: '',
		submittedAt: 0,
		policy: {
			priority: 0, maxAttempts: 3, slackFactor: 2, targetLatencyMs: 600,
		},
		steps: [{
			count: 1, resources: {cpu: 1, memory: 1, gpu: 0}, estimatedMs: 1, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false,
			isLongRunning: false, isFiller: false,
		}],
		...(account === undefined ? {} : {account: account.name}),
	};
}

function createId(index: number): JobId {
	return index.toString(16).padStart(16, '0') as JobId;
}

class Store {
	static create(): Store {
		return new Store();
	}

	readonly clock = ManualClock.create();
	readonly tables = MemoryTableService.create(this.clock, limits);
	/** Number of transactions so far. */
	commits = 0;

	private constructor() {
		const commit = this.tables.commit.bind(this.tables);
		this.tables.commit = async transaction => {
			this.commits++;
			return commit(transaction);
		};
	}

	get options(): {clock: ManualClock; tables: MemoryTableService; log: RateLimitedLog} {
		return {clock: this.clock, tables: this.tables, log: RateLimitedLog.create(Log.createSilent(), this.clock)};
	}

	/** Cancels jobs one after the other at one entry, and counts the outcomes. */
	async cancelAll(entry: JobSubmitter, ids: readonly JobId[]): Promise<Partial<Record<CancelOutcome, number>>> {
		const counts: Partial<Record<CancelOutcome, number>> = {};
		for (const jobId of ids) {
			const outcome = await entry.cancel(jobId, unchecked);
			counts[outcome] = (counts[outcome] ?? 0) + 1;
		}

		return counts;
	}

	async countRows(): Promise<number> {
		const ranges = await Promise.all(listSubmissionPartitions().map(async partition => this.tables.listRange(jobTable, {partition})));
		return ranges.flatMap(({rows}) => rows).length;
	}
}

type AccessCase = {readonly name: string; readonly cancelledBy: readonly Principal[]; readonly submittedBy: Principal; readonly isCancelled: boolean};

const accessCases: readonly AccessCase[] = [
	{
		name: 'the account that cancelled it', cancelledBy: [north], submittedBy: north, isCancelled: true,
	},
	{
		name: 'another account', cancelledBy: [south], submittedBy: north, isCancelled: false,
	},
	{
		name: 'the first of two accounts that cancelled it', cancelledBy: [north, south], submittedBy: north, isCancelled: true,
	},
	{
		name: 'the second of two accounts that cancelled it', cancelledBy: [south, north], submittedBy: north, isCancelled: true,
	},
	{
		name: 'an account, after a caller without one cancelled it', cancelledBy: [anonymous], submittedBy: north, isCancelled: false,
	},
	{
		name: 'a caller without an account, after another one cancelled it', cancelledBy: [anonymous], submittedBy: anonymous, isCancelled: true,
	},
	{
		name: 'a caller without an account, after an account cancelled it', cancelledBy: [north], submittedBy: anonymous, isCancelled: true,
	},
	{
		name: 'an account, when it was cancelled before there were accounts', cancelledBy: [unchecked, south], submittedBy: north, isCancelled: true,
	},
];

// Guards against an account that cancels the jobs of another one by their ids before they are stored.
for (const {name, cancelledBy, submittedBy, isCancelled} of accessCases) {
	for (const isLater of [false, true]) {
		test(`a job that was cancelled ${isLater ? 'after' : 'before'} its submission by ${name} ${isCancelled ? 'has no tasks to start' : 'runs'}`, async t => {
			const store = Store.create();
			const {options, clock, tables} = store;
			const entry = JobSubmitter.create(options);
			const submit = async (): Promise<void> => {
				const submitted = entry.submit(createJob(submittedBy), submittedBy);
				await clock.advance(100);
				t.is(await submitted, 'accepted');
			};

			const {getRow} = tables;
			if (isLater) {
				await submit();
				// The cancellations have read that there is no job.
				tables.getRow = async key => key.key === id ? undefined : getRow.call(tables, key);
			}

			for (const principal of cancelledBy) {
				t.is(await entry.cancel(id, principal), 'absent');
			}

			await (isLater ? clock.advance(0) : submit());
			const feed = await startFeed(store);
			t.deepEqual(feed.subscribe('north' as ServiceName, () => {}).map(({kind}) => kind), isCancelled ? ['submitted', 'cancelled'] : ['submitted']);
			feed.close();
		});
	}
}

type CostCase = {readonly name: string; readonly ids: readonly JobId[]; readonly outcomes: Partial<Record<CancelOutcome, number>>; readonly commits: number};

const costCases: readonly CostCase[] = [
	{
		name: 'one unknown job takes one transaction', ids: [id], outcomes: {absent: 1}, commits: 1,
	},
	{
		name: 'the same unknown job 50 times takes as many transactions, all but one refused', ids: Array.from({length: 50}, () => id), outcomes: {absent: 50}, commits: 50,
	},
	{
		name: '200 unknown jobs takes as many transactions, all of which are answered', ids: Array.from({length: 200}, (_, index) => createId(index)), outcomes: {absent: 200}, commits: 200,
	},
	{
		name: '2000 made-up ids takes no more transactions than the budget of the entry', ids: Array.from({length: 2000}, (_, index) => createId(index)), outcomes: {absent: 300, limited: 1700}, commits: 300,
	},
];

for (const {name, ids, outcomes, commits} of costCases) {
	test(`cancelling ${name}`, async t => {
		const store = Store.create();
		t.deepEqual(await store.cancelAll(JobSubmitter.create(store.options), ids), outcomes);
		t.is(store.commits, commits);
	});
}

test('a stored job is cancelled while the budget for unknown jobs is used up, which refills', async t => {
	const store = Store.create();
	const {clock} = store;
	const entry = JobSubmitter.create(store.options);
	const submitted = entry.submit(createJob(unchecked), unchecked);
	await clock.advance(100);
	t.is(await submitted, 'accepted');
	await store.cancelAll(entry, Array.from({length: 400}, (_, index) => createId(index)));
	t.is(await entry.cancel(id, unchecked), 'cancelled');
	t.is(await entry.cancel(createId(1000), unchecked), 'limited');
	await clock.advance(1000);
	t.deepEqual(await store.cancelAll(entry, Array.from({length: 20}, (_, index) => createId(1000 + index))), {absent: 5, limited: 15});
});

/** Starts the feed of a holder, which removes rows after their retention. */
async function startFeed(store: Store): Promise<JobFeed> {
	const feed = JobFeed.create({...store.options, retentionMs, timings: computeTimings(defaultBounds)});
	await feed.load();
	return feed;
}

for (const isTakenOver of [false, true]) {
	test(`the rows of cancelled jobs are removed after their retention${isTakenOver ? ' by a holder that finds them' : ''}`, async t => {
		const store = Store.create();
		const {clock} = store;
		const count = 300;
		const feeds = isTakenOver ? [] : [await startFeed(store)];
		await store.cancelAll(JobSubmitter.create(store.options), Array.from({length: count}, (_, index) => createId(index * 7919)));
		feeds.push(...isTakenOver ? [await startFeed(store)] : []);
		await clock.advance(retentionMs - 6000);
		t.is(await store.countRows(), count);
		const before = store.commits;
		await clock.advance(20_000);
		t.is(await store.countRows(), 0);
		// At most one transaction for each partition of the submissions.
		t.true(store.commits - before <= listSubmissionPartitions().length, `${store.commits - before} transactions`);
		t.is(store.tables.rejections, 0);
		feeds[0]!.close();
	});
}

test('the cancellation of a job is kept while the job is stored', async t => {
	const store = Store.create();
	const {clock, tables, options} = store;
	const feed = await startFeed(store);
	const entry = JobSubmitter.create(options);
	await entry.cancel(id, unchecked);
	const submitted = entry.submit(createJob(unchecked), unchecked);
	await clock.advance(100);
	t.is(await submitted, 'accepted');
	await clock.advance(2 * retentionMs);
	t.is(await store.countRows(), 2);
	await tables.commit({checks: [], writes: [getJobKey(id)]});
	await clock.advance(6000);
	t.is(await store.countRows(), 0);
	feed.close();
});

test('a cancellation that another account has renewed is kept for its whole retention', async t => {
	const store = Store.create();
	const {clock, options} = store;
	const feed = await startFeed(store);
	const entry = JobSubmitter.create(options);
	await entry.cancel(id, north);
	await clock.advance(retentionMs - 1000);
	await entry.cancel(id, south);
	await clock.advance(retentionMs - 6000);
	t.is(await store.countRows(), 1);
	await clock.advance(12_000);
	t.is(await store.countRows(), 0);
	feed.close();
});
