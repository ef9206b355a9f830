import {
	Log, ManualClock, VerdictError, type AccountName, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {
	MemoryTableService, platformBusyCode, type CommitOutcome, type Transaction,
} from '@tamarackwind/clients';
import {noResources} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	AccountPrincipal, AnonymousPrincipal, decodeJob, getCancelKey, RateLimitedLog, getJobKey, getSubmissionPartition, JobSubmitter, tombstone, UncheckedPrincipal, type Job, type Principal, type SubmitOutcome,
} from '../src/index.js';

const service = 'north' as ServiceName;
const unchecked = UncheckedPrincipal.create();

function createJob(id: string): Job {
	return {
		id: id as JobId,
		service,
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
	};
}

type Fault = 'none' | 'refused' | 'lost after' | 'lost before' | 'late' | 'all lost';

/** Creates a table service that injects one fault per commit, in order; the last fault applies to all further commits. */
function createTables(clock: ManualClock, faults: readonly Fault[]): MemoryTableService {
	const tables = MemoryTableService.create(clock);
	const commit = tables.commit.bind(tables);
	let commitCount = 0;
	tables.commit = async (transaction: Transaction): Promise<CommitOutcome> => {
		const fault = faults[Math.min(commitCount++, faults.length - 1)]!;
		if (fault === 'none') {
			return commit(transaction);
		}

		if (fault === 'refused') {
			throw new VerdictError('store answered 503', {verdict: 'not-run', code: 'platform_unavailable'});
		}

		if (fault === 'lost after') {
			await commit(transaction);
		} else if (fault === 'late') {
			delayedWrites.push(async () => commit(transaction));
		}

		throw new VerdictError('no answer', {verdict: 'may-have-run', code: 'platform_unavailable'});
	};

	const delayedWrites: Array<() => Promise<CommitOutcome>> = [];
	lateWrites.set(tables, delayedWrites);
	return tables;
}

const lateWrites = new WeakMap<MemoryTableService, Array<() => Promise<CommitOutcome>>>();

type Case = {readonly name: string; readonly faults: readonly Fault[]; readonly outcome: SubmitOutcome; readonly isStored: boolean};

const cases: readonly Case[] = [
	{
		name: 'a successful commit', faults: ['none'], outcome: 'accepted', isStored: true,
	},
	{
		name: 'a refused commit', faults: ['refused'], outcome: 'refused', isStored: false,
	},
	{
		name: 'a response lost after the commit', faults: ['lost after', 'none'], outcome: 'accepted', isStored: true,
	},
	{
		name: 'a transaction lost before the commit', faults: ['lost before', 'none'], outcome: 'refused', isStored: false,
	},
	{
		name: 'a delayed transaction that arrives after the refusal', faults: ['late', 'none'], outcome: 'refused', isStored: false,
	},
	{
		name: 'a commit followed only by transactions without a response', faults: ['lost after', 'lost before'], outcome: 'unknown', isStored: true,
	},
	{
		name: 'a lost transaction and a tombstone whose response was lost', faults: ['lost before', 'lost after', 'none'], outcome: 'refused', isStored: false,
	},
];

for (const {name, faults, outcome, isStored} of cases) {
	test(`submission with ${name}`, async t => {
		const clock = ManualClock.create();
		const tables = createTables(clock, faults);
		const submitter = JobSubmitter.create({clock, tables, log: RateLimitedLog.create(Log.createSilent(), clock)});
		const submitted = submitter.submit(createJob('0123456789abcdef'), unchecked);
		await clock.advance(4100);
		t.is(await submitted, outcome);
		for (const write of lateWrites.get(tables)!) {
			await write();
		}

		const row = await tables.getRow(getJobKey('0123456789abcdef' as JobId));
		t.is(row !== undefined && !('isRefused' in (row.value as Record<string, unknown>)), isStored);
	});
}

test('an existing job is accepted again, and a refused job is accepted by a later attempt', async t => {
	const clock = ManualClock.create();
	const tables = MemoryTableService.create(clock);
	const submitter = JobSubmitter.create({clock, tables, log: RateLimitedLog.create(Log.createSilent(), clock)});
	await tables.commit({checks: [], writes: [{...getJobKey('refused' as JobId), value: tombstone}]});
	const submitted = Promise.all(['new', 'new', 'refused'].map(async id => submitter.submit(createJob(id), unchecked)));
	await clock.advance(100);
	t.deepEqual(await submitted, ['accepted', 'accepted', 'accepted']);
	t.is(await submitter.cancel('new' as JobId, unchecked), 'cancelled');
	t.is(await submitter.cancel('other' as JobId, unchecked), 'absent');
});

/** Lists ids of jobs that share a partition. */
function listJobsOfOnePartition(count: number): string[] {
	const ids = Array.from({length: 2000}, (_, index) => index.toString(16).padStart(16, '0'));
	const partition = getSubmissionPartition(ids[0] as JobId);
	return ids.filter(id => getSubmissionPartition(id as JobId) === partition).slice(0, count);
}

type BusyCase = {readonly name: string; readonly busyMs: number; readonly outcome: SubmitOutcome};

const busyCases: readonly BusyCase[] = [
	{name: 'for a short time', busyMs: 500, outcome: 'accepted'},
	{name: 'for a long time', busyMs: 5000, outcome: 'refused'},
];

for (const {name, busyMs, outcome} of busyCases) {
	test(`a submission waits while its partition is busy ${name}`, async t => {
		const clock = ManualClock.create();
		const tables = MemoryTableService.create(clock);
		const commit = tables.commit.bind(tables);
		tables.commit = async (transaction: Transaction): Promise<CommitOutcome> => {
			if (clock.readMonotonic() < busyMs) {
				throw new VerdictError('too many wait', {verdict: 'not-run', code: platformBusyCode});
			}

			return commit(transaction);
		};

		const submitter = JobSubmitter.create({clock, tables, log: RateLimitedLog.create(Log.createSilent(), clock)});
		const submitted = submitter.submit(createJob('0123456789abcdef'), unchecked);
		await clock.advance(1300);
		t.is(await submitted, outcome);
	});
}

test('jobs of one service are spread over partitions, so that a slow transaction does not delay all others', async t => {
	const clock = ManualClock.create();
	const tables = MemoryTableService.create(clock);
	const commit = tables.commit.bind(tables);
	const latestTransactions = new Map<string, Promise<void>>();
	// A store that takes 0.7 s per transaction and commits the transactions of a partition sequentially.
	tables.commit = async (transaction: Transaction): Promise<CommitOutcome> => {
		const partition = transaction.writes[0]!.partition!;
		const previous = latestTransactions.get(partition);
		const delay = (async () => {
			await previous;
			await clock.sleep(700);
		})();
		latestTransactions.set(partition, delay);
		await delay;
		return commit(transaction);
	};

	const log = RateLimitedLog.create(Log.createSilent(), clock);
	const entries = Array.from({length: 9}, () => JobSubmitter.create({clock, tables, log}));
	const submissions = Promise.all(entries.map(async (submitter, index) => submitter.submit(createJob(`${index}123456789abcdef`), unchecked)));
	await clock.advance(2200);
	t.deepEqual(await submissions, entries.map(() => 'accepted'));
});

test('a job whose earlier submission can\'t be read back is not called refused', async t => {
	const clock = ManualClock.create();
	const tables = MemoryTableService.create(clock);
	const id = '0123456789abcdef' as JobId;
	const submitter = JobSubmitter.create({clock, tables, log: RateLimitedLog.create(Log.createSilent(), clock)});
	const first = submitter.submit(createJob(id), unchecked);
	await clock.advance(100);
	t.is(await first, 'accepted');
	const getRow = tables.getRow.bind(tables);
	tables.getRow = async () => {
		throw new VerdictError('connection refused', {verdict: 'not-run', code: 'platform_unavailable'});
	};

	const repeated = submitter.submit(createJob(id), unchecked);
	await clock.advance(4200);
	t.is(await repeated, 'unknown');
	tables.getRow = getRow;
	const last = submitter.submit(createJob(id), unchecked);
	await clock.advance(100);
	t.is(await last, 'accepted');
});

test('jobs that arrive half a second after the store stopped answering are refused at once', async t => {
	const clock = ManualClock.create();
	const tables = MemoryTableService.create(clock);
	tables.commit = async () => {
		await clock.sleep(1000);
		throw new VerdictError('no answer', {verdict: 'may-have-run', code: 'platform_unavailable'});
	};

	const submitter = JobSubmitter.create({clock, tables, log: RateLimitedLog.create(Log.createSilent(), clock)});
	const answers: Array<{readonly sentAt: number; readonly afterMs: number; readonly outcome: SubmitOutcome}> = [];
	const submit = async (index: number): Promise<void> => {
		const sentAt = clock.readMonotonic();
		const outcome = await submitter.submit(createJob(`${index}`.padStart(16, '0')), unchecked);
		answers.push({sentAt, afterMs: clock.readMonotonic() - sentAt, outcome});
	};

	const startedAt = clock.readMonotonic();
	for (let index = 0; index < 20; index++) {
		void submit(index);
		await clock.advance(100);
	}

	await clock.advance(7000);
	t.is(answers.length, 20);
	for (const {sentAt, afterMs, outcome} of answers) {
		if (sentAt - startedAt > 600) {
			t.deepEqual({afterMs, outcome}, {afterMs: 0, outcome: 'refused'});
		}
	}
});

type EntryLoad = {readonly name: string; readonly entries: number; readonly jobsPerS: number; readonly minAcceptedShare: number};

const entryLoads: readonly EntryLoad[] = [
	{
		name: 'a few entries', entries: 9, jobsPerS: 20, minAcceptedShare: 0.95,
	},
	{
		name: 'a hundred entries', entries: 97, jobsPerS: 60, minAcceptedShare: 0.9,
	},
];

for (const {name, entries, jobsPerS, minAcceptedShare} of entryLoads) {
	test(`a store sixty times slower takes the jobs of ${name} while their callers wait`, async t => {
		const clock = ManualClock.create();
		const tables = MemoryTableService.create(clock);
		const commit = tables.commit.bind(tables);
		const transactionMs = 400;
		const maxWaitMs = 1000;
		const freeAt = new Map<string, number>();
		// Each partition commits one transaction at a time, and turns away what would wait for longer than a second.
		tables.commit = async (transaction: Transaction): Promise<CommitOutcome> => {
			const partition = transaction.writes[0]!.partition!;
			const now = clock.readMonotonic();
			const startsAt = Math.max(now, freeAt.get(partition) ?? 0);
			if (startsAt - now > maxWaitMs) {
				throw new VerdictError('too many wait', {verdict: 'not-run', code: platformBusyCode});
			}

			freeAt.set(partition, startsAt + transactionMs);
			await clock.sleep(startsAt + transactionMs - now);
			return commit(transaction);
		};

		const log = RateLimitedLog.create(Log.createSilent(), clock);
		const submitters = Array.from({length: entries}, () => JobSubmitter.create({clock, tables, log}));
		const seconds = 4;
		const count = jobsPerS * seconds;
		const callerWaitMs = 2250;
		let acceptedInTime = 0;
		const submit = async (index: number): Promise<void> => {
			const sentAt = clock.readMonotonic();
			const outcome = await submitters[(index * 31) % entries]!.submit(createJob((index * 2_654_435_761).toString(16).padStart(16, '0')), unchecked);
			acceptedInTime += outcome === 'accepted' && clock.readMonotonic() - sentAt <= callerWaitMs ? 1 : 0;
		};

		for (let index = 0; index < count; index++) {
			void submit(index);
			await clock.advance(1000 / jobsPerS);
		}

		await clock.advance(6000);
		t.true(acceptedInTime >= count * minAcceptedShare, `${acceptedInTime} of ${count} jobs were accepted in time`);
	});
}

test('while the outcome of a transaction is in doubt, unsent jobs are refused immediately', async t => {
	const clock = ManualClock.create();
	const tables = MemoryTableService.create(clock);
	const commit = tables.commit.bind(tables);
	tables.commit = async (transaction: Transaction): Promise<CommitOutcome> => {
		await clock.sleep(2000);
		throw new VerdictError('no answer', {verdict: 'may-have-run', code: 'platform_unavailable'});
	};

	const submitter = JobSubmitter.create({clock, tables, log: RateLimitedLog.create(Log.createSilent(), clock)});
	const outcomes = new Map<string, SubmitOutcome>();
	const submit = async (id: string): Promise<void> => {
		outcomes.set(id, await submitter.submit(createJob(id), unchecked));
	};

	const [sent, queued, inDoubt, last] = listJobsOfOnePartition(4) as [string, string, string, string];
	const submissions = [submit(sent)];
	await clock.advance(50);
	submissions.push(submit(queued));
	await clock.advance(1500);
	submissions.push(submit(inDoubt));
	await clock.advance(0);
	t.deepEqual([...outcomes], [[inDoubt, 'refused']]);
	await clock.advance(500);
	t.is(outcomes.get(queued), 'refused');
	t.is(outcomes.get(sent), undefined);
	tables.commit = commit;
	await clock.advance(2000);
	await Promise.all(submissions);
	t.is(outcomes.get(sent), 'refused');
	const later = submit(last);
	await clock.advance(100);
	await later;
	t.is(outcomes.get(last), 'accepted');
});

// Guards against a transaction that the store rejects because of its size, which would refuse all jobs in it.
test('jobs that exceed the size of one transaction together are submitted in several', async t => {
	const clock = ManualClock.create();
	const tables = MemoryTableService.create(clock, {valueBytes: 10_000, transactionBytes: 25_000, transactionEntries: 100});
	const submitter = JobSubmitter.create({clock, tables, log: RateLimitedLog.create(Log.createSilent(), clock)});
	const submitted = Promise.all(listJobsOfOnePartition(12).map(async id => submitter.submit({...createJob(id), payload: 'x'.repeat(4000)}, unchecked)));
	await clock.advance(200);
	t.deepEqual(new Set(await submitted), new Set(['accepted']));
	t.is(tables.rejections, 0);
});

const anonymous = AnonymousPrincipal.create();
const [accountA, accountB] = ['a', 'b'].map(name => AccountPrincipal.create({
	name: name as AccountName, weight: 1, cap: noResources, keyHashes: [],
})) as [Principal, Principal];

function createOwnedJob(id: string, {account}: Principal): Job {
	return {...createJob(id), ...(account === undefined ? {} : {account: account.name})};
}

/** Moment of the second submission: in the same batch, while the transaction of the first is in flight, or after it. */
const moments = {'in one batch': 0, 'in flight': 30, afterwards: 8000};

type RepeatCase = {readonly name: string; readonly first: Principal; readonly second: Principal; readonly outcome: SubmitOutcome; readonly owner: string | undefined};

const repeatCases: readonly RepeatCase[] = [
	{
		name: 'the owner', first: accountA, second: accountA, outcome: 'accepted', owner: 'a',
	},
	{
		name: 'another account', first: accountA, second: accountB, outcome: 'foreign', owner: 'a',
	},
	{
		name: 'nobody, of a job with an owner', first: accountA, second: anonymous, outcome: 'foreign', owner: 'a',
	},
	{
		name: 'an account, of a job without an owner', first: anonymous, second: accountB, outcome: 'accepted', owner: undefined,
	},
	{
		name: 'nobody, of a job without an owner', first: anonymous, second: anonymous, outcome: 'accepted', owner: undefined,
	},
	{
		name: 'a request without accounts', first: accountA, second: unchecked, outcome: 'accepted', owner: 'a',
	},
];

/** Fates of the first submission's transaction after which its job exists. */
const survivals: ReadonlyArray<readonly [name: string, faults: readonly Fault[]]> = [['its answer arrives', ['none']], ['its answer is lost', ['lost after', 'none']]];

for (const {name, first, second, outcome, owner} of repeatCases) {
	for (const [moment, afterMs] of Object.entries(moments)) {
		for (const isSameEntry of [true, false]) {
			for (const [survival, faults] of survivals) {
				// Guards against an outcome by which one account learns of, changes or takes over the job of another.
				test(`a job that ${name} submits again ${moment} at ${isSameEntry ? 'the same' : 'another'} entry, when ${survival}`, async t => {
					const clock = ManualClock.create();
					const tables = createTables(clock, faults);
					const commit = tables.commit.bind(tables);
					tables.commit = async (transaction: Transaction): Promise<CommitOutcome> => {
						await clock.sleep(100);
						return commit(transaction);
					};

					const log = RateLimitedLog.create(Log.createSilent(), clock);
					const entries = [JobSubmitter.create({clock, tables, log}), JobSubmitter.create({clock, tables, log})] as const;
					const id = '0123456789abcdef';
					const submitted = entries[0].submit(createOwnedJob(id, first), first);
					await clock.advance(afterMs);
					const repeated = entries[isSameEntry ? 0 : 1].submit(createOwnedJob(id, second), second);
					await clock.advance(9000);
					t.is(await submitted, 'accepted');
					t.is(await repeated, outcome);
					const row = await tables.getRow(getJobKey(id as JobId));
					t.is(decodeJob(id as JobId, row!.value)?.account, owner as AccountName | undefined);
				});
			}
		}
	}
}

// Guards against a tombstone, or a late write, by which the job of one account comes into the place of another's.
for (const fault of ['lost before', 'lost after', 'late'] as const) {
	test(`the transaction of another account is ${fault === 'late' ? 'late' : fault.replace(' ', ' its answer ')}: the job keeps its owner`, async t => {
		const clock = ManualClock.create();
		const tables = createTables(clock, ['none', fault, 'none']);
		const log = RateLimitedLog.create(Log.createSilent(), clock);
		const submitter = JobSubmitter.create({clock, tables, log});
		const id = '0123456789abcdef' as JobId;
		const submit = async (principal: Principal): Promise<SubmitOutcome> => {
			const outcome = submitter.submit(createOwnedJob(id, principal), principal);
			await clock.advance(4100);
			return outcome;
		};

		t.is(await submit(accountA), 'accepted');
		const before = await tables.getRow(getJobKey(id));
		t.is(await submit(accountB), 'foreign');
		for (const write of lateWrites.get(tables)!) {
			await write();
		}

		t.deepEqual(await tables.getRow(getJobKey(id)), before);
		t.is(await submitter.cancel(id, accountB), 'foreign');
		t.is(await tables.getRow(getCancelKey(id)), undefined);
		t.is(await submitter.cancel(id, accountA), 'cancelled');
	});
}

test('a permanently refused job does not belong to the account that submitted it', async t => {
	const clock = ManualClock.create();
	const tables = createTables(clock, ['lost before', 'none']);
	const submitter = JobSubmitter.create({clock, tables, log: RateLimitedLog.create(Log.createSilent(), clock)});
	const id = '0123456789abcdef';
	const refused = submitter.submit(createOwnedJob(id, accountA), accountA);
	await clock.advance(4100);
	t.is(await refused, 'refused');
	const accepted = submitter.submit(createOwnedJob(id, accountB), accountB);
	await clock.advance(100);
	t.is(await accepted, 'accepted');
	const foreign = submitter.submit(createOwnedJob(id, accountA), accountA);
	await clock.advance(100);
	t.is(await foreign, 'foreign');
});
