import {
	ManualClock, type AccountName, type JobId, type ServiceName,
} from '@tamarackwind/core';
import {noResources, type PoolEstimate} from '@tamarackwind/scheduling';
import test from 'ava';
import {
	ActiveJob, defaultOverloadSettings, OverloadPolicy, OverloadTerm, type OverloadedPool, type OverloadSettings,
} from '../src/index.js';

const start = 50_000;
const limits = {valueBytes: 49_152, transactionBytes: 690_000, transactionEntries: 100};
const [flood, calm] = ['flood' as AccountName, 'calm' as AccountName];
const estimate: PoolEstimate = {priorities: [], hasIdleVm: false, latePosition: 'work'};

function createTerm(settings: Partial<OverloadSettings> = {}): {readonly term: OverloadTerm; readonly clock: ManualClock} {
	const clock = ManualClock.create(start);
	const accounts = [flood, calm].map(name => ({
		name, weight: 1, cap: noResources, keyHashes: [],
	}));
	const policy = OverloadPolicy.create({
		getSettings: () => ({...defaultOverloadSettings, ...settings}), getConfiguration: () => ({
			version: 1, queues: [], pools: [], limits: {maxBodyBytes: 1}, accounts,
		}),
	});
	return {term: OverloadTerm.create({clock, policy, epoch: 4}), clock};
}

type PoolOptions = {readonly isIdle?: boolean; readonly waiting?: ReadonlyArray<AccountName | undefined>; readonly hasEstimate?: boolean; readonly capacities?: number[]};

function createPool(name: string, {isIdle = false, waiting = [], hasEstimate = true, capacities = []}: PoolOptions): OverloadedPool {
	return {
		service: name as ServiceName,
		sessions: [{isSchedulable: true, record: {capacity: {cpu: 1000, memory: 1, gpu: 0}}, tasks: new Set(isIdle ? [] : [{}])}, {isSchedulable: false, record: {capacity: {cpu: 5000, memory: 1, gpu: 0}}, tasks: new Set()}] as unknown as OverloadedPool['sessions'],
		backlog: {
			computeWaitingCpu: () => new Map(waiting.map(account => [account, 100])),
			estimate(cpu, hasIdleVm) {
				capacities.push(cpu);
				return hasEstimate ? {...estimate, hasIdleVm} : undefined;
			},
		},
	};
}

function recordJobs(term: OverloadTerm, count: number, account: AccountName | undefined): void {
	for (let index = 0; index < count; index++) {
		term.recordArrival(ActiveJob.create({
			id: `${account ?? 'none'}-${index}` as JobId, service: 'north' as ServiceName, queue: 'north', payload: '', steps: [], submittedAt: start, ...(account === undefined ? {} : {account}), policy: {
				priority: 0, maxAttempts: 1, slackFactor: 1, targetLatencyMs: 1,
			},
		}, {monotonic: start, wall: start}, limits));
	}
}

const cases: ReadonlyArray<[name: string, pool: PoolOptions, jobs: readonly [AccountName | undefined, number], shares: Readonly<Record<string, number>>]> = [
	['an account above its rate while another waits', {waiting: [flood, calm]}, [flood, 51], {flood: 0.5}],
	['an account above its rate while a job without an account waits', {waiting: [undefined]}, [flood, 51], {flood: 0.5}],
	['no account above its rate while only its own work waits', {waiting: [flood]}, [flood, 51], {}],
	['no account above its rate while the pool has an idle worker', {waiting: [calm], isIdle: true}, [flood, 51], {}],
	['no account at its rate', {waiting: [calm]}, [flood, 25], {}],
	['nothing for jobs without an account', {waiting: [calm]}, [undefined, 500], {}],
];

for (const [name, pool, [account, count], shares] of cases) {
	test(`the status names ${name}`, t => {
		const {term} = createTerm();
		recordJobs(term, count, account);
		t.deepEqual(term.describe([createPool('north', pool)], () => 0)?.pools['north' as ServiceName]?.shares as unknown, shares);
	});
}

test('the status names an account only for the pools that are short of capacity', t => {
	const {term} = createTerm();
	recordJobs(term, 51, flood);
	const {pools} = term.describe([createPool('north', {waiting: [calm]}), createPool('south', {})], () => 0)!;
	t.deepEqual(Object.entries(pools).map(([name, {shares}]) => [name, Object.keys(shares)]), [['north', ['flood']], ['south', []]]);
});

test('an estimate counts the workers that accept work and the VMs on their way', t => {
	const {term} = createTerm();
	const capacities: number[] = [];
	const status = term.describe([createPool('north', {capacities, isIdle: true})], () => 700);
	t.deepEqual(capacities, [1700]);
	t.true(status!.pools['north' as ServiceName]!.estimate!.hasIdleVm);
});

test('a pool without an estimate is published without one', t => {
	const status = createTerm().term.describe([createPool('north', {hasEstimate: false})], () => 0);
	t.deepEqual(status as unknown, {epoch: 4, pools: {north: {shares: {}}}});
});

test('nothing is published while the settings ask for no refusals', t => {
	const {term} = createTerm({isRefusing: false});
	t.is(term.describe([createPool('north', {})], () => 0), undefined);
	t.is(term.known, undefined);
});

test('a status is kept for 100 ms, and its age is known', async t => {
	const {term, clock} = createTerm();
	const pools = [createPool('north', {})];
	const first = term.describe(pools, () => 0);
	await clock.advance(99);
	t.is(term.describe(pools, () => 0), first);
	t.is(term.known?.ageMs, 99);
	await clock.advance(1);
	t.not(term.describe(pools, () => 0), first);
	t.is(term.known?.ageMs, 0);
});

// Guards against refusals at the holder by a status that no other entry knows.
test('a status that was not published is not known', t => {
	const {term} = createTerm();
	term.describe([createPool('north', {})], () => 0);
	term.revoke();
	t.is(term.known, undefined);
});
