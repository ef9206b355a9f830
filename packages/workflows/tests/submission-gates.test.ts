import {
	Log, ManualClock, type AccountName, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {MemoryTableService} from '@tamarackwind/clients';
import {isWithinShare, type PoolEstimate, type StepSpec} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	defaultOverloadSettings, getJobKey, getProgressKey, JobQueries, JobSubmitter, OverloadPolicy, RateLimitedLog, SubmissionGate, tombstone, UncheckedPrincipal, type Job, type KnownOverload, type PoolOverload, type RefusalReason,
} from '../src/index.js';

const service = 'north' as ServiceName;
const account = 'flood' as AccountName;
const step: StepSpec = {
	count: 4, resources: {cpu: 100, memory: 10, gpu: 0}, estimatedMs: 1000, after: [], isCheckpointing: false, isGang: false, isSameRack: false, isSpeculative: false, isLongRunning: false, isFiller: false,
};
const job: Job = {
	id: '5c0e7a21d94b36f8' as JobId, service, queue: 'redraw', payload: '', steps: [step], submittedAt: 0, policy: {
		priority: 0, maxAttempts: 1, slackFactor: 1.6, targetLatencyMs: 600,
	},
};

/** Creates an estimate of a pool that needs `ms` for the jobs in time, and as long for the late ones. */
function createEstimate(ms: number, hasIdleVm = false): PoolEstimate {
	return {
		priorities: [{priority: 0, inTime: {beforeMs: 0, points: [[100, ms]]}, late: {beforeMs: ms, points: [[100, 2 * ms]]}}], hasIdleVm, latePosition: 'deadline',
	};
}

const full = {estimate: createEstimate(4000), shares: {}};
const ownJobs = Array.from({length: 100}, (_, index): Job => ({...job, id: index.toString(16).padStart(16, '0') as JobId, account}));
const [withinShare, beyondShare] = [ownJobs.find(({id}) => isWithinShare(id, 0.3))!, ownJobs.find(({id}) => !isWithinShare(id, 0.3))!];
const limited: PoolOverload = {shares: {[account]: 0.3}};

type Case = {
	readonly name: string;
	readonly job?: Job;
	readonly pool?: PoolOverload;
	readonly ageMs?: number;
	readonly isRefusing?: boolean;
	readonly hasOverload?: boolean;
	readonly prepare?: (tables: MemoryTableService, submitter: JobSubmitter) => Promise<void>;
	readonly reason: RefusalReason | undefined;
};

const cases: readonly Case[] = [
	{name: 'whose estimated end is after three times its objective is refused', reason: 'capacity'},
	{name: 'that would end in time is accepted', pool: {...full, estimate: createEstimate(800)}, reason: undefined},
	{name: 'for a pool with an idle VM is accepted', pool: {...full, estimate: createEstimate(4000, true)}, reason: undefined},
	{name: 'for a pool without an estimate is accepted', pool: {shares: {}}, reason: undefined},
	{name: 'for a pool that the holder has not opened is accepted', job: {...job, service: 'south' as ServiceName}, reason: undefined},
	{name: 'is accepted while the estimate is 2 s old', ageMs: 2000, reason: undefined},
	{name: 'is accepted before the first estimate', hasOverload: false, reason: undefined},
	{name: 'is accepted where the settings ask for no refusals', isRefusing: false, reason: undefined},
	{name: 'that is long-running is accepted', job: {...job, steps: [{...step, isLongRunning: true}]}, reason: undefined},
	{name: 'that is due later is accepted', job: {...job, schedule: {repetitions: 1, firstAt: 60_000, intervalMs: 0}}, reason: undefined},
	{
		name: 'beyond the share of its account is refused', job: beyondShare, pool: limited, reason: 'rate',
	},
	{
		name: 'within the share of its account is accepted', job: withinShare, pool: limited, reason: undefined,
	},
	{
		name: 'of an account without a limit is accepted', job: {...beyondShare, account: 'calm' as AccountName}, pool: limited, reason: undefined,
	},
	{
		name: 'beyond the share of its account is accepted while the status is 2 s old', job: beyondShare, pool: limited, ageMs: 2000, reason: undefined,
	},
	{
		name: 'that is known already is not refused', async prepare(tables, submitter) {
			await submitter.submit(job, UncheckedPrincipal.create());
		}, reason: undefined,
	},
	{
		name: 'of which only the progress is left is not refused', async prepare(tables) {
			await tables.commit({checks: [], writes: [{...getProgressKey(service, job.id), value: {state: 'succeeded', steps: []}}]});
		}, reason: undefined,
	},
	{
		name: 'that is known and beyond the share of its account is not refused', job: beyondShare, pool: limited, async prepare(tables, submitter) {
			await submitter.submit(beyondShare, UncheckedPrincipal.create());
		}, reason: undefined,
	},
	{
		name: 'whose earlier attempts were all refused permanently is refused', async prepare(tables) {
			await tables.commit({checks: [], writes: [{...getJobKey(job.id), value: tombstone}]});
		}, reason: 'capacity',
	},
	{
		name: 'that another request submits is not refused', async prepare(tables, submitter) {
			tables.commit = async () => new Promise(() => {});
			void submitter.submit(job, UncheckedPrincipal.create());
		}, reason: undefined,
	},
	{
		name: 'is not refused while the lookup fails', async prepare(tables) {
			tables.getRows = async () => {
				throw new Error('no answer');
			};
		}, reason: undefined,
	},
	{
		name: 'is not refused while the lookup takes long', async prepare(tables) {
			tables.getRows = async () => new Promise(() => {});
		}, reason: undefined,
	},
];

for (const {name, job: submitted = job, pool = full, ageMs = 100, isRefusing = true, hasOverload = true, prepare, reason} of cases) {
	test(`a job ${name}`, async t => {
		const clock = ManualClock.create();
		const tables = MemoryTableService.create(clock);
		const log = RateLimitedLog.create(Log.createSilent(), clock);
		const submitter = JobSubmitter.create({clock, tables, log});
		const policy = OverloadPolicy.create({getSettings: () => ({...defaultOverloadSettings, isRefusing}), getConfiguration: () => undefined});
		const known: KnownOverload = {status: {epoch: 1, pools: {[service]: pool}}, ageMs};
		const gate = SubmissionGate.create({
			clock, policy, submitter, queries: JobQueries.create(tables), getOverload: () => hasOverload ? known : undefined,
		});
		const prepared = prepare?.(tables, submitter);
		await clock.advance(10);
		await prepared;
		const refusal = gate.findRefusal(submitted);
		await clock.advance(300);
		t.is((await refusal)?.reason, reason);
	});
}

// Guards against calls of the store for every submission.
test('a job that is not refused costs no lookup', async t => {
	const clock = ManualClock.create();
	const tables = MemoryTableService.create(clock);
	tables.getRows = async () => {
		throw new Error('looked up');
	};

	const submitter = JobSubmitter.create({clock, tables, log: RateLimitedLog.create(Log.createSilent(), clock)});
	const policy = OverloadPolicy.create({getSettings: () => ({...defaultOverloadSettings, isRefusing: true}), getConfiguration: () => undefined});
	let lookups = 0;
	const queries = JobQueries.create(tables);
	queries.getStatus = async () => {
		lookups++;
		return undefined;
	};

	const gate = SubmissionGate.create({
		clock, policy, submitter, queries, getOverload: () => ({status: {epoch: 1, pools: {[service]: {...full, estimate: createEstimate(100)}}}, ageMs: 0}),
	});
	t.is(await gate.findRefusal(job), undefined);
	t.is(lookups, 0);
});

test('a refusal tells its cause, and when to return', async t => {
	const clock = ManualClock.create();
	const tables = MemoryTableService.create(clock);
	const submitter = JobSubmitter.create({clock, tables, log: RateLimitedLog.create(Log.createSilent(), clock)});
	const policy = OverloadPolicy.create({getSettings: () => ({...defaultOverloadSettings, isRefusing: true}), getConfiguration: () => undefined});
	const gate = SubmissionGate.create({
		clock, policy, submitter, queries: JobQueries.create(tables), getOverload: () => ({status: {epoch: 1, pools: {[service]: full}}, ageMs: 0}),
	});
	const refusal = await gate.findRefusal(job);
	t.is(refusal?.message, 'no capacity in time: estimated end after 9000 ms, limit 6600 ms');
	t.true(refusal!.retryAfterS >= 8 && refusal!.retryAfterS <= 12, `${refusal!.retryAfterS} s`);
});
